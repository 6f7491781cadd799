package commander

import (
	"errors"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
)

func addProof(a *app) {
	configureProof(a, a.Command("proof", "Show whether a customer's traffic has stopped, with the evidence of every node."))
}

// configureProof gives cmd the help, flags, arguments and action of the proof command.
func configureProof(a *app, cmd *kingpin.CmdClause) {
	cmd.HelpLong(`
The proof names every node. A node that is in contact must have reported, after it began to enforce the cut, that it has passed
no packet since and holds no flow. A node that is out of contact must be without a lease. Exit code 6 means "not proved".
With --unconfirmed the nodes that have confirmed are counted instead of listed; the verdict is the same.

Examples:
  peridotstage proof kilang-maju
  peridotstage customer proof kilang-maju --output json > proof.json
  peridotstage proof kilang-maju --unconfirmed
`)
	unconfirmed := cmd.Flag("unconfirmed", "List only nodes that have not confirmed.").Bool()
	name := cmd.Arg("name", "Name of the customer.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		path := "/v1/customers/" + url.PathEscape(*name) + "/proof"
		if *unconfirmed {
			path += "?nodes=unconfirmed"
		}
		p, err := callAndPrint(a.api, http.MethodGet, path, nil, printProof)
		if err == nil && p.Verdict != leaser.Stopped {
			err = exitError{ExitNotProved, errors.New("it is not proved that the traffic has stopped")}
		}
		return err
	})
}

func printProof(t *table, p leaser.Proof) {
	t.printLine("Proof for customer %s", p.Customer.Name)
	t.printLine("Time      %s", formatMilli(p.AtMilli))
	t.printLine("Revision  %d; cut off by revision %d", p.Revision, p.Customer.CutRevision)
	t.printLine("Verdict   %s", p.Verdict)
	t.printLine("")
	t.printLine("%s", p.Conclusion)
	t.printList("Not proved because", p.Reasons)
	t.printLine("")
	t.printHeader("NODE", "ROLE", "ZONE", "STATE", "REVISION", "PASSED", "DROPPED", "PASSED SINCE CUT", "LIVE FLOWS", "LAST PASSED",
		"LAST REPORT", "LEASE UNTIL")
	for _, n := range p.Nodes {
		e := n.Evidence
		t.printRow(n.Machine, n.Role, n.Zone, n.State, n.Revision, e.Passed, e.Dropped, e.PassedSinceCut, e.LiveFlows,
			formatMilli(e.LastPassedMilli), formatMilli(n.HeardMilli), formatMilli(n.LeaseMilli))
	}
	s := p.Totals
	t.printLine("")
	if p.ConfirmedOmitted > 0 {
		t.printLine("%d nodes have confirmed and are not listed.", p.ConfirmedOmitted)
	}
	t.printLine("Totals: %d nodes confirmed, %d fenced, %d not proved; %d packets passed before the cut, %d since; %d dropped; %d live "+
		"flows.", s.Confirmed, s.Fenced, s.NotProved, s.Passed-s.PassedSinceCut, s.PassedSinceCut, s.Dropped, s.LiveFlows)
}
