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

// maxHeartbeatAge is the age of the last heartbeat up to which a node counts as live. A lease that was granted with an older
// heartbeat has expired.
const maxHeartbeatAge = subscriber.LeaseTime

// Verdict is the conclusion of a proof.
type Verdict string

// The verdicts.
const (
	// Stopped means that no node can pass packets of the customer.
	Stopped Verdict = "stopped"
	// NotProved means that a node may still pass packets of the customer.
	NotProved Verdict = "not_proved"
)

// NodeState is the conclusion of a proof about one node.
type NodeState string

// The states of a node.
const (
	// NodeConfirmed nodes are live, and have reported no passed packets and no live flows since they began to enforce the cut.
	NodeConfirmed NodeState = "confirmed"
	// NodeFenced nodes send no heartbeats and can no longer hold a lease.
	NodeFenced NodeState = "fenced"
	// NodeUnproved nodes may still pass packets.
	NodeUnproved NodeState = "not_proved"
)

// NodeProof is the evidence of one incarnation of a node.
type NodeProof struct {
	Machine     registrar.MachineName `json:"machine"`
	Role        registrar.Role        `json:"role"`
	Zone        registrar.ZoneName    `json:"zone"`
	Incarnation registrar.Incarnation `json:"incarnation"`
	State       NodeState             `json:"state"`
	// Revision is the revision that the node enforced at its last heartbeat.
	Revision registrar.Revision `json:"revision"`
	Evidence counter.Evidence   `json:"evidence"`
	// HeardMilli is the time of the node's last heartbeat, and LeaseMilli the latest time at which it may hold a lease, in Unix
	// milliseconds; 0 if unknown.
	HeardMilli int64 `json:"heard_unix_ms"`
	LeaseMilli int64 `json:"lease_until_unix_ms"`
	// Fenced is true if the node sends no heartbeats and can no longer hold a lease.
	Fenced bool `json:"fenced"`
	// Problem says why the node prevents the verdict Stopped; empty if it does not.
	Problem string `json:"problem,omitempty"`
}

// Totals holds the totals over the nodes of a proof.
type Totals struct {
	Confirmed      int    `json:"confirmed"`
	Fenced         int    `json:"fenced"`
	NotProved      int    `json:"not_proved"`
	Passed         uint64 `json:"passed"`
	Dropped        uint64 `json:"dropped"`
	PassedSinceCut uint64 `json:"passed_since_cut"`
	LiveFlows      uint64 `json:"live_flows"`
}

// Proof states whether the traffic of a customer has stopped, with the evidence of each node.
type Proof struct {
	Customer registrar.Customer `json:"customer"`
	// AtMilli is the time of the proof in Unix milliseconds.
	AtMilli int64 `json:"at_unix_ms"`
	// Revision is the configuration that the proof was made for.
	Revision registrar.Revision `json:"revision"`
	Verdict  Verdict            `json:"verdict"`
	// Conclusion states the verdict in words.
	Conclusion string      `json:"conclusion"`
	Nodes      []NodeProof `json:"nodes"`
	// ConfirmedOmitted is the number of confirmed nodes that are left out of Nodes. Totals and the verdict include them.
	ConfirmedOmitted int    `json:"confirmed_omitted"`
	Totals           Totals `json:"totals"`
	// Reasons say why the verdict is not Stopped.
	Reasons []string `json:"reasons,omitempty"`
}

// ProofInput is the input of Prove: the configuration and the sessions of all control instances.
type ProofInput struct {
	Customer registrar.Customer
	// Revision is the configuration that Customer and Machines come from.
	Revision registrar.Revision
	// CustomerChanged is true if Customer changed while the instances were asked. A node may then have got a lease without the
	// cut after its instance had answered.
	CustomerChanged bool
	// ConfigurationCurrent is true if this instance knows the newest confirmed configuration.
	ConfigurationCurrent bool
	Machines             []registrar.Machine
	// Instances holds all control instances, including those that did not answer.
	Instances []Instance
}

// Prove determines whether a customer's traffic has stopped. The verdict is Stopped only if each incarnation of each node
// is in the state NodeConfirmed or NodeFenced.
func Prove(now time.Time, c ProofInput) Proof {
	proof := Proof{
		Customer: c.Customer, AtMilli: now.UnixMilli(), Revision: c.Revision, Verdict: Stopped, Nodes: []NodeProof{},
	}
	if !c.Customer.Cut {
		proof.Reasons = append(proof.Reasons, "customer is not cut off")
	}
	if !c.ConfigurationCurrent {
		proof.Reasons = append(proof.Reasons, "this control instance does not know the newest configuration; ask another one")
	}
	if c.CustomerChanged {
		proof.Reasons = append(proof.Reasons, "the customer was changed while the control instances were asked; ask again")
	}
	for _, i := range c.Instances {
		if problem := c.unlistedLeaseProblem(now, i); problem != "" {
			proof.Reasons = append(proof.Reasons, "nodes that have just started may not be known: "+problem)
		}
	}
	for _, n := range c.nodes(now) {
		if n.Problem != "" {
			proof.Reasons = append(proof.Reasons, string(n.Machine)+": "+n.Problem)
		}
		proof.Nodes = append(proof.Nodes, n)
		proof.Totals.add(n)
	}
	if len(proof.Reasons) > 0 {
		proof.Verdict = NotProved
	}
	proof.Conclusion = proof.conclusion()
	return proof
}

// OmitConfirmed removes the confirmed nodes from Nodes and counts them in ConfirmedOmitted. With 8,900 nodes the whole list takes
// 4.7 MB as JSON.
func (p *Proof) OmitConfirmed() {
	total := len(p.Nodes)
	p.Nodes = slices.DeleteFunc(p.Nodes, func(n NodeProof) bool { return n.State == NodeConfirmed })
	p.ConfirmedOmitted = total - len(p.Nodes)
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

// conclusion returns the verdict in words.
func (p *Proof) conclusion() string {
	timestamp := time.UnixMilli(p.AtMilli).UTC().Format(time.RFC3339)
	if p.Verdict == NotProved {
		return fmt.Sprintf("NOT PROVED at %s: it cannot be shown that the traffic of customer %s has stopped.",
			timestamp, p.Customer.Name)
	}
	return fmt.Sprintf("STOPPED at %s: the traffic of customer %s was cut off by revision %d. %d nodes have confirmed that they "+
		"enforce it, have passed no packet of the customer since and hold no flow of the customer. %d nodes are out of contact "+
		"and without a lease, so they pass nothing.",
		timestamp, p.Customer.Name, p.Customer.CutRevision, p.Totals.Confirmed, p.Totals.Fenced)
}

// nodes returns the proof of each incarnation of each entry and agent, sorted by machine.
func (c ProofInput) nodes(now time.Time) []NodeProof {
	byMachine := map[registrar.MachineName][]Session{}
	machines := map[registrar.MachineName]registrar.Machine{}
	for _, m := range c.Machines {
		machines[m.Name] = m
	}
	for _, s := range Merge(c.Instances) {
		byMachine[s.Machine.Name] = append(byMachine[s.Machine.Name], s)
		// A node may send heartbeats before the configuration names it.
		if _, ok := machines[s.Machine.Name]; !ok {
			machines[s.Machine.Name] = s.Machine
		}
	}
	var proofs []NodeProof
	for _, m := range machines {
		if m.Role == registrar.RoleControl {
			continue
		}
		sessions := byMachine[m.Name]
		if !slices.ContainsFunc(sessions, func(s Session) bool { return s.Machine.Incarnation == m.Incarnation }) {
			// The configuration names an incarnation that no instance has a session of.
			sessions = append(sessions, Session{Heartbeat: Heartbeat{Machine: m, ServesWithoutLease: m.ServesWithoutLease}})
		}
		for _, s := range sessions {
			// A node applies a changed lease_expired setting once the control log holds it. The instance that received the change may
			// have restarted since, so that only a session with the old setting is left.
			s.ServesWithoutLease = s.ServesWithoutLease || m.ServesWithoutLease && s.Machine.Incarnation == m.Incarnation
			proofs = append(proofs, c.prove(now, s))
		}
	}
	slices.SortFunc(proofs, func(a, b NodeProof) int {
		return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.HeardMilli, b.HeardMilli),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return proofs
}

// prove returns the proof of one incarnation of a node.
func (c ProofInput) prove(now time.Time, s Session) NodeProof {
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
	enforcesCut := n.Evidence.CutRevision == c.Customer.CutRevision
	switch live := !now.After(s.HeardAt.Add(maxHeartbeatAge)); {
	case enforcesCut && n.Evidence.PassedSinceCut > 0:
		n.Problem = fmt.Sprintf("passed %d packets since it began to enforce the cut", n.Evidence.PassedSinceCut)
	case live:
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

// liveProblem returns the reason why the last heartbeat of a live node does not prove that the customer's traffic has stopped;
// empty if it does.
func (c ProofInput) liveProblem(s Session, n NodeProof) string {
	switch {
	case s.Revision < c.Customer.CutRevision:
		return fmt.Sprintf("enforces revision %d, which is older than the cut", s.Revision)
	case !s.EvidenceKnown:
		return "has not reported all of its evidence"
	case n.Evidence.CutRevision != c.Customer.CutRevision:
		return "has reported no evidence since it began to enforce the cut"
	case n.Evidence.LiveFlows > 0:
		return fmt.Sprintf("has %d live flows", n.Evidence.LiveFlows)
	}
	return ""
}

// missingProblem returns the reason why a node that sends no heartbeats may still pass packets; empty if it cannot.
func (c ProofInput) missingProblem(now time.Time, s Session) string {
	if s.ServesWithoutLease {
		return "is missing and serves without a lease"
	}
	if !now.After(s.LeaseUntil.Add(subscriber.LeaseBound - subscriber.LeaseTime)) {
		return "is missing and may hold a lease until " + formatClock(s.LeaseUntil)
	}
	for _, i := range c.Instances {
		if problem := c.unlistedLeaseProblem(now, i); problem != "" {
			return "is missing, and " + problem
		}
	}
	return ""
}

// unlistedLeaseProblem returns the reason why a lease may be valid that an instance has granted but that is not among its sessions;
// empty if there can be none.
func (c ProofInput) unlistedLeaseProblem(now time.Time, i Instance) string {
	until, bounded := unlistedLeaseUntil(i, c.Instances)
	switch {
	case !bounded:
		return fmt.Sprintf("control instance %s, which cannot be asked, may have granted a lease", i.Name)
	case now.After(until):
		return ""
	case i.Answered:
		return fmt.Sprintf("control instance %s may have granted a lease until %s before it restarted", i.Name, formatClock(until))
	}
	return fmt.Sprintf("control instance %s, which cannot be asked, may have granted a lease until %s", i.Name, formatClock(until))
}

// formatClock returns the time of day in UTC with milliseconds.
func formatClock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
