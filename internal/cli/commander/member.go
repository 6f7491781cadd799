package commander

import (
	"net/http"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addMember(a *app) {
	member := a.Command("member", "Show and change the members of the control log.")
	list := member.Command("list", "List the members.")
	list.Action(func(*kingpin.ParseContext) error { return getAndPrint(a.api, "/v1/members", printMembers) })
	add := member.Command("add", "Let a new control instance join as a learner.")
	name := add.Arg("name", "Machine name of the instance.").Required().String()
	address := add.Arg("address", "Control address of the instance, IP:PORT.").Required().String()
	add.Action(func(*kingpin.ParseContext) error {
		controlAddress, err := netip.ParseAddrPort(*address)
		if err != nil {
			return usageError{err}
		}
		return a.api.changeMember(replicator.Change{
			Verb: replicator.AddMember, Name: registrar.MachineName(*name), Address: controlAddress,
		})
	})
	addNameCommand := func(verb replicator.Verb, help string) {
		cmd := member.Command(string(verb), help)
		name := cmd.Arg("name", "Machine name of the instance.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.changeMember(replicator.Change{Verb: verb, Name: registrar.MachineName(*name)})
		})
	}
	addNameCommand(replicator.RemoveMember, "Take a control instance out of the log.")
	addNameCommand(replicator.PromoteMember, "Make a learner that has caught up a voter.")
}

func (f *apiFlags) changeMember(c replicator.Change) error {
	_, err := callAndPrint(f, http.MethodPost, "/v1/members", c, printMembers)
	return err
}

func printMembers(t *table, st administrator.MembersStatus) {
	t.printHeader("MEMBER", "ADDRESS", "VOTER", "LEADER", "MATCH")
	for _, m := range st.Members {
		t.printRow(m.Name, m.Address, yesNo(m.Voter), yesNo(m.Leader), m.Match)
	}
}
