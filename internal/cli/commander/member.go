package commander

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const membersPath = "/v1/members"

func addMember(a *app) {
	member := a.Command("member", "Show and change the members of the control log.").HelpLong(`
A new control instance joins as a learner and becomes a voter when it is promoted. An instance that has lost its disk comes
back by itself. The settings of all instances list the members by name.

Examples:
  peridotstage member list
  peridotstage member add control-d 10.0.1.24:7000
  peridotstage member promote control-d
  peridotstage member remove control-a
`)
	list := member.Command("list", "List the members.").HelpLong("\nExamples:\n  peridotstage member list\n")
	list.Action(func(*kingpin.ParseContext) error { return get(a.api, membersPath, printMembers) })
	add := member.Command("add", "Let a new control instance join as a learner.").
		HelpLong("\nExamples:\n  peridotstage member add control-d 10.0.1.24:7000\n")
	name := add.Arg("name", "Machine name of the instance.").Required().String()
	address := add.Arg("address", "Control address of the instance, IP:PORT.").Required().String()
	add.Action(func(*kingpin.ParseContext) error {
		at, err := netip.ParseAddrPort(*address)
		if err != nil {
			return usageError{err}
		}
		return a.api.changeMember(replicator.Change{
			Verb: replicator.AddMember, Name: registrar.MachineName(*name), Address: at,
		})
	})
	named := func(verb replicator.Verb, help string) {
		cmd := member.Command(string(verb), help).
			HelpLong("\nExamples:\n  peridotstage member " + string(verb) + " control-d\n")
		name := cmd.Arg("name", "Machine name of the instance.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.changeMember(replicator.Change{Verb: verb, Name: registrar.MachineName(*name)})
		})
	}
	named(replicator.RemoveMember, "Take a control instance out of the log.")
	named(replicator.PromoteMember, "Make a learner that has caught up a voter.")
}

func (f *apiFlags) changeMember(c replicator.Change) error {
	_, err := call(f, http.MethodPost, membersPath, c, printMembers)
	return err
}

func printMembers(t *table, st administrator.MembersStatus) {
	t.header("NAME", "ADDRESS", "PART", "ID")
	for _, m := range st.Members {
		part := "learner"
		switch {
		case m.Leader:
			part = "leader"
		case m.Voter:
			part = "voter"
		case m.ID == 0:
			part = "not joined yet"
		}
		t.row(string(m.Name), m.Address.String(), part, fmt.Sprintf("%016x", uint64(m.ID)))
	}
}
