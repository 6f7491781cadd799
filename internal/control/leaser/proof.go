package leaser

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// freshTime is how old the report of a live node may be. A node that has not been heard for longer has no lease.
const freshTime = subscriber.LeaseTime

// Verdict is the conclusion of a proof.
type Verdict string

// The verdicts.
const (
	// Stopped means that no node can pass the customer's packets.
	Stopped Verdict = "stopped"
	// NotProved means that some node may still pass packets.
	NotProved Verdict = "not_proved"
)

// NodeState says what a node contributes to a proof.
type NodeState string

// The states of a node.
const (
	// NodeConfirmed nodes are live and have reported zero since they began to enforce the cut.
	NodeConfirmed NodeState = "confirmed"
	// NodeFenced nodes are missing and cannot hold a lease any more.
	NodeFenced NodeState = "fenced"
	// NodeUnproved nodes may still pass packets.
	NodeUnproved NodeState = "not_proved"
)

// NodeProof is the evidence of one start of a node.
type NodeProof struct {
	Machine     registrar.MachineName `json:"machine"`
	Role        registrar.Role        `json:"role"`
	Zone        registrar.ZoneName    `json:"zone"`
	Incarnation registrar.Incarnation `json:"incarnation"`
	State       NodeState             `json:"state"`
	// Revision is the newest revision that the node reported as in force.
	Revision registrar.Revision `json:"revision"`
	Evidence counter.Evidence   `json:"evidence"`
	// HeardMilli is when the node was last heard, and LeaseMilli until when it may hold a lease, in Unix milliseconds; 0 if
	// unknown.
	HeardMilli int64 `json:"heard_unix_ms"`
	LeaseMilli int64 `json:"lease_until_unix_ms"`
	// Fenced is true if the node is missing and cannot hold a lease any more.
	Fenced bool `json:"fenced"`
	// Problem says why the node does not support the verdict; empty if it does.
	Problem string `json:"problem,omitempty"`
}

// Totals sum up the nodes of a proof.
type Totals struct {
	Confirmed      int    `json:"confirmed"`
	Fenced         int    `json:"fenced"`
	NotProved      int    `json:"not_proved"`
	Passed         uint64 `json:"passed"`
	Dropped        uint64 `json:"dropped"`
	PassedSinceCut uint64 `json:"passed_since_cut"`
	LiveFlows      uint64 `json:"live_flows"`
}

// Proof shows whether the traffic of a customer has stopped.
type Proof struct {
	Customer registrar.Customer `json:"customer"`
	// AtMilli is the time of the proof in Unix milliseconds.
	AtMilli int64 `json:"at_unix_ms"`
	// Revision is the configuration that the proof was made for.
	Revision registrar.Revision `json:"revision"`
	Verdict  Verdict            `json:"verdict"`
	// Conclusion says the verdict in words.
	Conclusion string      `json:"conclusion"`
	Nodes      []NodeProof `json:"nodes"`
	// ConfirmedOmitted is how many confirmed nodes are left out of Nodes. Totals and the verdict count them all the same.
	ConfirmedOmitted int    `json:"confirmed_omitted"`
	Totals           Totals `json:"totals"`
	// Reasons say why the verdict is not Stopped.
	Reasons []string `json:"reasons,omitempty"`
}

// Case is what a proof is made from.
type Case struct {
	Customer registrar.Customer
	// Revision is the configuration that Customer and Machines come from.
	Revision registrar.Revision
	// Changed is true if Customer is not what it was before the instances were asked. Nodes may then have got leases without the
	// cut after their instance had answered.
	Changed bool
	// Vouched is true if this instance knows the newest confirmed configuration.
	Vouched  bool
	Machines []registrar.Machine
	// Instances are all control instances, including those that could not be asked.
	Instances []Instance
}

// Prove concludes whether a customer's traffic has stopped. It says Stopped only if every start of every node is either
// confirmed or fenced.
func Prove(now time.Time, c Case) Proof {
	p := Proof{
		Customer: c.Customer, AtMilli: now.UnixMilli(), Revision: c.Revision, Verdict: Stopped, Nodes: []NodeProof{},
	}
	if !c.Customer.Cut {
		p.Reasons = append(p.Reasons, "customer is not cut off")
	}
	if !c.Vouched {
		p.Reasons = append(p.Reasons, "this control instance does not know the newest configuration; ask another one")
	}
	if c.Changed {
		p.Reasons = append(p.Reasons, "the customer was changed while the control instances were asked; ask again")
	}
	for _, i := range c.Instances {
		if problem := c.hiddenLeases(now, i); problem != "" {
			p.Reasons = append(p.Reasons, "nodes that have just started may not be known: "+problem)
		}
	}
	for _, n := range c.nodes(now) {
		if n.Problem != "" {
			p.Reasons = append(p.Reasons, string(n.Machine)+": "+n.Problem)
		}
		p.Nodes = append(p.Nodes, n)
		p.Totals.add(n)
	}
	if len(p.Reasons) > 0 {
		p.Verdict = NotProved
	}
	p.Conclusion = p.conclude()
	return p
}

// OmitConfirmed leaves the confirmed nodes out of the list and counts them. With 8,900 nodes the whole list takes 4.7 MB as JSON.
func (p *Proof) OmitConfirmed() {
	all := len(p.Nodes)
	p.Nodes = slices.DeleteFunc(p.Nodes, func(n NodeProof) bool { return n.State == NodeConfirmed })
	p.ConfirmedOmitted = all - len(p.Nodes)
}

func (t *Totals) add(n NodeProof) {
	switch n.State {
	case NodeConfirmed:
		t.Confirmed++
	case NodeFenced:
		t.Fenced++
	default:
		t.NotProved++
	}
	t.Passed += n.Evidence.Passed
	t.Dropped += n.Evidence.Dropped
	t.PassedSinceCut += n.Evidence.PassedSinceCut
	t.LiveFlows += n.Evidence.LiveFlows
}

func (p *Proof) conclude() string {
	at := time.UnixMilli(p.AtMilli).UTC().Format(time.RFC3339)
	if p.Verdict == NotProved {
		return fmt.Sprintf("NOT PROVED at %s: it cannot be shown that the traffic of customer %s has stopped.", at, p.Customer.Name)
	}
	return fmt.Sprintf("STOPPED at %s: the traffic of customer %s was cut off by revision %d. %d nodes have confirmed that they "+
		"enforce it, have passed no packet of the customer since and hold no flow of the customer. %d nodes are out of contact "+
		"and without a lease, so they pass nothing.", at, p.Customer.Name, p.Customer.CutAt, p.Totals.Confirmed, p.Totals.Fenced)
}

// nodes returns the evidence of each start of each entry and agent, sorted by machine.
func (c Case) nodes(now time.Time) []NodeProof {
	byMachine := map[registrar.MachineName][]Session{}
	machines := map[registrar.MachineName]registrar.Machine{}
	for _, m := range c.Machines {
		machines[m.Name] = m
	}
	for _, s := range Merge(c.Instances) {
		byMachine[s.Machine.Name] = append(byMachine[s.Machine.Name], s)
		// A node may be heard before the log names it.
		if _, ok := machines[s.Machine.Name]; !ok {
			machines[s.Machine.Name] = s.Machine
		}
	}
	var all []NodeProof
	for _, m := range machines {
		if m.Role == registrar.RoleControl {
			continue
		}
		starts := byMachine[m.Name]
		if !slices.ContainsFunc(starts, func(s Session) bool { return s.Machine.Incarnation == m.Incarnation }) {
			// The configuration knows a start that no instance has heard.
			starts = append(starts, Session{Heartbeat: Heartbeat{Machine: m, ServeExpired: m.ServesExpired}})
		}
		for _, s := range starts {
			// A node acts on a changed lease_expired once the log has it. The instance that heard of the change may have restarted
			// since, so that only an older session is left.
			s.ServeExpired = s.ServeExpired || m.ServesExpired && s.Machine.Incarnation == m.Incarnation
			all = append(all, c.prove(now, s))
		}
	}
	slices.SortFunc(all, func(a, b NodeProof) int {
		return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.HeardMilli, b.HeardMilli),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

func (c Case) prove(now time.Time, s Session) NodeProof {
	m := s.Machine
	n := NodeProof{
		Machine: m.Name, Role: m.Role, Zone: m.Zone, Incarnation: m.Incarnation, Revision: s.Revision, State: NodeUnproved,
		Evidence: counter.Evidence{Customer: c.Customer.Name},
	}
	if !s.HeardAt.IsZero() {
		n.HeardMilli = s.HeardAt.UnixMilli()
	}
	if !s.LeaseUntil.IsZero() {
		n.LeaseMilli = s.LeaseUntil.UnixMilli()
	}
	for _, e := range s.Evidence {
		if e.Customer == c.Customer.Name {
			n.Evidence = e
		}
	}
	settled := n.Evidence.CutRevision == c.Customer.CutAt
	switch fresh := !now.After(s.HeardAt.Add(freshTime)); {
	case settled && n.Evidence.PassedSinceCut > 0:
		n.Problem = fmt.Sprintf("passed %d packets since it began to enforce the cut", n.Evidence.PassedSinceCut)
	case fresh:
		n.Problem = c.liveProblem(s, n)
		n.State = NodeConfirmed
	default:
		n.Problem = c.missingProblem(now, s)
		n.State, n.Fenced = NodeFenced, n.Problem == ""
	}
	if n.Problem != "" {
		n.State = NodeUnproved
	}
	return n
}

// liveProblem says why the report of a live node does not show that the customer's traffic has stopped.
func (c Case) liveProblem(s Session, n NodeProof) string {
	switch {
	case s.Revision < c.Customer.CutAt:
		return fmt.Sprintf("enforces revision %d, which is older than the cut", s.Revision)
	case !s.EvidenceKnown:
		return "has not reported all of its evidence"
	case n.Evidence.CutRevision != c.Customer.CutAt:
		return "has reported no evidence since it began to enforce the cut"
	case n.Evidence.LiveFlows > 0:
		return fmt.Sprintf("has %d live flows", n.Evidence.LiveFlows)
	}
	return ""
}

// missingProblem says why a node that is not heard may still pass packets.
func (c Case) missingProblem(now time.Time, s Session) string {
	if s.ServeExpired {
		return "is missing and serves without a lease"
	}
	if !now.After(s.LeaseUntil.Add(subscriber.LeaseBound - subscriber.LeaseTime)) {
		return "is missing and may hold a lease until " + clock(s.LeaseUntil)
	}
	for _, i := range c.Instances {
		if problem := c.hiddenLeases(now, i); problem != "" {
			return "is missing, and " + problem
		}
	}
	return ""
}

// hiddenLeases says why leases may be valid that an instance has granted but does not show among its sessions.
func (c Case) hiddenLeases(now time.Time, i Instance) string {
	until, bounded := leasesUntil(i, c.Instances)
	switch {
	case !bounded:
		return fmt.Sprintf("control instance %s, which cannot be asked, may have granted a lease", i.Name)
	case now.After(until):
		return ""
	case i.Answered:
		return fmt.Sprintf("control instance %s may have granted a lease until %s before it restarted", i.Name, clock(until))
	}
	return fmt.Sprintf("control instance %s, which cannot be asked, may have granted a lease until %s", i.Name, clock(until))
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
