package leaser

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Verdict is the conclusion of a proof.
type Verdict string

// The verdicts.
const (
	// Stopped means that no node can pass the customer's packets.
	Stopped Verdict = "stopped"
	// NotProved means that some node may still pass packets.
	NotProved Verdict = "not_proved"
)

// NodeProof is the evidence of one node.
type NodeProof struct {
	Machine  registrar.MachineName `json:"machine"`
	Role     registrar.Role        `json:"role"`
	Revision registrar.Revision    `json:"revision"`
	Evidence counter.Evidence      `json:"evidence"`
	// Fenced is true if the node is missing and cannot hold a lease any more.
	Fenced bool `json:"fenced"`
	// Problem says why the node does not support the verdict; empty if it does.
	Problem string `json:"problem,omitempty"`
}

// Proof shows whether the traffic of a customer has stopped.
type Proof struct {
	Customer registrar.Customer `json:"customer"`
	Verdict  Verdict            `json:"verdict"`
	Nodes    []NodeProof        `json:"nodes"`
	// Reasons say why the verdict is not Stopped.
	Reasons []string `json:"reasons,omitempty"`
}

// Prove concludes from the sessions of all nodes whether a customer's traffic has stopped.
func Prove(now time.Time, c registrar.Customer, machines []registrar.Machine, sessions []Session) Proof {
	p := Proof{Customer: c, Verdict: Stopped}
	if !c.Cut {
		p.Reasons = append(p.Reasons, "customer is not cut off")
	}
	known := map[registrar.MachineName]Session{}
	for _, s := range sessions {
		known[s.Machine.Name] = s
	}
	for _, m := range machines {
		if m.Role == registrar.RoleControl {
			continue
		}
		s, ok := known[m.Name]
		n := proveNode(now, c, m, s, ok)
		if n.Problem != "" {
			p.Reasons = append(p.Reasons, string(m.Name)+": "+n.Problem)
		}
		p.Nodes = append(p.Nodes, n)
	}
	if len(p.Reasons) > 0 {
		p.Verdict = NotProved
	}
	return p
}

func proveNode(now time.Time, c registrar.Customer, m registrar.Machine, s Session, ok bool) NodeProof {
	n := NodeProof{Machine: m.Name, Role: m.Role, Revision: s.Revision}
	for _, e := range s.Evidence {
		if e.Customer == c.Name {
			n.Evidence = e
		}
	}
	switch {
	case !ok:
		n.Problem = "has not been heard since this control instance started"
	case now.After(s.LeaseUntil) && s.ServeExpired:
		n.Problem = "is missing and serves without a lease"
	case now.After(s.LeaseUntil):
		n.Fenced = true
	case s.Revision < c.CutAt:
		n.Problem = "does not enforce the cut yet"
	case n.Evidence.PassedSinceCut > 0:
		n.Problem = "passed packets since the cut"
	case n.Evidence.LiveFlows > 0:
		n.Problem = "has live flows"
	}
	return n
}
