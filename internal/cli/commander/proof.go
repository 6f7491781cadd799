package commander

import (
	"errors"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
)

func addProof(a *app) {
	addProofTo(a, a.Command("proof", "Show whether a customer's traffic has stopped, with the evidence of every node."))
}

func addProofTo(a *app, cmd *kingpin.CmdClause) {
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
		p, err := call(a.api, http.MethodGet, path, nil, printProof)
		if err == nil && p.Verdict != leaser.Stopped {
			err = exitError{ExitNotProved, errors.New("it is not proved that the traffic has stopped")}
		}
		return err
	})
}

func printProof(t *table, p leaser.Proof) {
	t.line("Proof for customer %s", p.Customer.Name)
	t.line("Time      %s", moment(p.AtMilli))
	t.line("Revision  %d; cut off by revision %d", p.Revision, p.Customer.CutAt)
	t.line("Verdict   %s", p.Verdict)
	t.line("")
	t.line("%s", p.Conclusion)
	t.list("Not proved because", p.Reasons)
	t.line("")
	t.header("NODE", "ROLE", "ZONE", "STATE", "REVISION", "PASSED", "DROPPED", "PASSED SINCE CUT", "LIVE FLOWS", "LAST PASSED",
		"LAST REPORT", "LEASE UNTIL")
	for _, n := range p.Nodes {
		e := n.Evidence
		t.row(n.Machine, n.Role, n.Zone, n.State, n.Revision, e.Passed, e.Dropped, e.PassedSinceCut, e.LiveFlows,
			moment(e.LastPassedMilli), moment(n.HeardMilli), moment(n.LeaseMilli))
	}
	s := p.Totals
	t.line("")
	if p.ConfirmedOmitted > 0 {
		t.line("%d nodes have confirmed and are not listed.", p.ConfirmedOmitted)
	}
	t.line("Totals: %d nodes confirmed, %d fenced, %d not proved; %d packets passed before the cut, %d since; %d dropped; %d live "+
		"flows.", s.Confirmed, s.Fenced, s.NotProved, s.Passed-s.PassedSinceCut, s.PassedSinceCut, s.Dropped, s.LiveFlows)
}
