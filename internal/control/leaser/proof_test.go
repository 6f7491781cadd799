package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	t0  = time.Unix(1_800_000_000, 0)
	cut = registrar.Customer{Name: "cust", Cut: true, CutRevision: 40}
)

func entry(incarnation registrar.Incarnation) registrar.Machine {
	return registrar.Machine{Name: "entry-0", Role: registrar.RoleEntry, Zone: "a", Incarnation: incarnation}
}

// confirmedSession returns the session of a live entry that has passed no packets since the cut.
func confirmedSession() Session {
	return Session{
		Heartbeat: Heartbeat{
			Machine: entry(1), Revision: 41, Evidence: []counter.Evidence{{Customer: "cust", Passed: 7, Dropped: 2, CutRevision: 40}},
		},
		HeardAt: t0.Add(-time.Second), LeaseUntil: t0.Add(time.Second), EvidenceKnown: true,
	}
}

// newProofInput returns the input of a proof for a customer that is cut off. One control instance has the given sessions.
func newProofInput(sessions ...Session) ProofInput {
	return ProofInput{
		Customer: cut, Revision: 41, ConfigurationCurrent: true, Machines: []registrar.Machine{entry(1)},
		Instances: []Instance{{Name: "control-0", Answered: true, StartedAt: t0.Add(-time.Hour), Sessions: sessions}},
	}
}

// makeMissing changes a session to that of a node whose last heartbeat was a minute ago.
func makeMissing(s *Session) { s.HeardAt, s.LeaseUntil = t0.Add(-time.Minute), t0.Add(-58*time.Second) }

// TestOmitConfirmed guards against a shortened proof that differs from the full one in anything but the confirmed nodes.
func TestOmitConfirmed(t *testing.T) {
	c := newProofInput(confirmedSession())
	for i, change := range []func(*Session){func(*Session) {}, makeMissing, func(s *Session) { s.Revision = 39 }} {
		s := confirmedSession()
		s.Machine.Name = registrar.MachineName(fmt.Sprint("entry-", i+1))
		change(&s)
		c.Instances[0].Sessions = append(c.Instances[0].Sessions, s)
	}
	full, short := Prove(t0, c), Prove(t0, c)
	short.OmitConfirmed()
	require.Equal(t, full.Totals.Confirmed, short.ConfirmedOmitted)
	require.Equal(t, 2, short.ConfirmedOmitted)
	for _, n := range full.Nodes {
		if n.State != NodeConfirmed {
			require.Contains(t, short.Nodes, n)
		}
	}
	short.Nodes, short.ConfirmedOmitted = full.Nodes, 0
	require.Equal(t, full, short)
}

// addUnreachable adds an instance that did not answer. The leader knows that its leases end by until.
func addUnreachable(c *ProofInput, until time.Time) {
	c.Instances[0].Peers = []PeerBound{{Name: "control-1", LeaseUntil: until}}
	c.Instances = append(c.Instances, Instance{Name: "control-1"})
}

// TestProof guards against each known way in which a proof could be wrong.
func TestProof(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(c *ProofInput, s *Session)
		// reason is part of the expected reason for NotProved; empty if Stopped is expected.
		reason string
	}{
		"live, no packets":       {func(*ProofInput, *Session) {}, ""},
		"missing and fenced":     {func(_ *ProofInput, s *Session) { makeMissing(s) }, ""},
		"not cut":                {func(c *ProofInput, _ *Session) { c.Customer.Cut = false }, "not cut off"},
		"outdated configuration": {func(c *ProofInput, _ *Session) { c.ConfigurationCurrent = false }, "does not know the newest"},
		"old revision":           {func(_ *ProofInput, s *Session) { s.Revision = 39 }, "older than the cut"},
		"evidence of an older cut": {
			func(_ *ProofInput, s *Session) { s.Evidence[0].CutRevision = 20 }, "no evidence since",
		},
		"no evidence":         {func(_ *ProofInput, s *Session) { s.Evidence = nil }, "no evidence since"},
		"incomplete evidence": {func(_ *ProofInput, s *Session) { s.EvidenceKnown = false }, "not reported all"},
		"late packet":         {func(_ *ProofInput, s *Session) { s.Evidence[0].PassedSinceCut = 1 }, "passed 1 packets"},
		"late packet, then missing": {
			func(_ *ProofInput, s *Session) { makeMissing(s); s.Evidence[0].PassedSinceCut = 1 }, "passed 1 packets",
		},
		"live flow": {func(_ *ProofInput, s *Session) { s.Evidence[0].LiveFlows = 2 }, "has 2 live flows"},
		"old report, lease still valid": {
			func(_ *ProofInput, s *Session) { s.HeardAt = t0.Add(-2600 * time.Millisecond) }, "may hold a lease until",
		},
		"serves without a lease": {func(_ *ProofInput, s *Session) { makeMissing(s); s.ServesWithoutLease = true }, "serves without a lease"},
		"serves without a lease by the configuration, older session": {
			func(c *ProofInput, s *Session) { makeMissing(s); c.Machines[0].ServesWithoutLease = true }, "serves without a lease",
		},
		"no session": {
			func(c *ProofInput, _ *Session) {
				c.Instances[0].Sessions = nil
				c.Instances[0].StartedAt = t0.Add(-subscriber.LeaseTime)
			}, "before it restarted",
		},
		"no session, long after the restart": {func(c *ProofInput, _ *Session) { c.Instances[0].Sessions = nil }, ""},
		"no session, serves without a lease": {
			func(c *ProofInput, _ *Session) {
				c.Instances[0].Sessions = nil
				c.Machines[0].ServesWithoutLease = true
			}, "serves without",
		},
		"missing, other instance restarted": {
			func(c *ProofInput, s *Session) {
				makeMissing(s)
				c.Instances = append(c.Instances, Instance{Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Second)})
			}, "control-1 may have granted",
		},
		"missing, other instance unreachable": {
			func(c *ProofInput, s *Session) {
				makeMissing(s)
				c.Instances = append(c.Instances, Instance{Name: "control-1"})
			},
			"control-1, which cannot be asked",
		},
		"live, other instance unreachable": {
			func(c *ProofInput, _ *Session) { c.Instances = append(c.Instances, Instance{Name: "control-1"}) },
			"just started may not be known: control instance control-1, which cannot be asked",
		},
		"live, other instance unreachable for long": {func(c *ProofInput, _ *Session) { addUnreachable(c, t0.Add(-1)) }, ""},
		"missing, other instance unreachable for long": {
			func(c *ProofInput, s *Session) { makeMissing(s); addUnreachable(c, t0.Add(-1)) }, "",
		},
		"missing, other instance unreachable for a short time": {
			func(c *ProofInput, s *Session) { makeMissing(s); addUnreachable(c, t0) }, "is missing, and control instance control-1",
		},
		"another instance unreachable without a bound": {
			func(c *ProofInput, s *Session) {
				makeMissing(s)
				addUnreachable(c, t0.Add(-1))
				c.Instances = append(c.Instances, Instance{Name: "control-2"})
			}, "control-2, which cannot be asked",
		},
		"lease by a slow clock": {
			func(_ *ProofInput, s *Session) { makeMissing(s); s.LeaseUntil = t0.Add(-200 * time.Millisecond) }, "may hold a lease until",
		},
		"cut while instances answered": {func(c *ProofInput, _ *Session) { c.CustomerChanged = true }, "ask again"},
		"live, other instance restarted": {
			func(c *ProofInput, _ *Session) {
				c.Instances = append(c.Instances, Instance{Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Second)})
			}, "just started may not be known",
		},
		"lease granted by another instance": {
			func(c *ProofInput, s *Session) {
				makeMissing(s)
				older := *s
				older.HeardAt, older.LeaseUntil = s.HeardAt.Add(-time.Second), t0.Add(time.Second)
				c.Instances = append(c.Instances, Instance{
					Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Hour), Sessions: []Session{older},
				})
			}, "may hold a lease until",
		},
		"restarted, earlier start may hold a lease": {
			func(c *ProofInput, s *Session) {
				earlier := *s
				earlier.Machine.Incarnation, earlier.HeardAt = 9, t0.Add(-3*time.Second)
				c.Instances[0].Sessions = append(c.Instances[0].Sessions, earlier)
			}, "may hold a lease until",
		},
		"restarted, earlier start passed packets": {
			func(c *ProofInput, s *Session) {
				earlier := *s
				makeMissing(&earlier)
				earlier.Machine.Incarnation = 9
				earlier.Evidence = []counter.Evidence{{Customer: "cust", PassedSinceCut: 3, CutRevision: 40}}
				c.Instances[0].Sessions = append(c.Instances[0].Sessions, earlier)
			}, "passed 3 packets",
		},
		"restarted, new start has not reported": {
			func(c *ProofInput, s *Session) {
				makeMissing(s)
				c.Machines[0].Incarnation = 2
				c.Instances[0].StartedAt = t0.Add(-time.Second)
			}, "before it restarted",
		},
		"heartbeat before the configuration names the node": {
			func(c *ProofInput, s *Session) { c.Machines = nil; s.Revision = 39 }, "older than the cut",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newProofInput(confirmedSession())
			tc.change(&c, &c.Instances[0].Sessions[0])
			p := Prove(t0, c)
			if tc.reason == "" {
				require.Equal(t, Stopped, p.Verdict, "%v", p.Reasons)
				require.Contains(t, p.Conclusion, "STOPPED")
				return
			}
			require.Equal(t, NotProved, p.Verdict)
			require.Contains(t, fmt.Sprint(p.Reasons), tc.reason)
		})
	}
}

// nodeModel is the actual state of a node, as opposed to what control instances know of it.
type nodeModel struct {
	leaseUntil         time.Time
	servesWithoutLease bool
	enforcesCut        bool
	passedSinceCut     uint64
}

// mayPass reports whether the node can still pass a packet of the customer.
func (m nodeModel) mayPass(now time.Time) bool {
	return !m.enforcesCut && (m.servesWithoutLease || !now.After(m.leaseUntil))
}

// TestProofSound guards against a proof with the verdict Stopped while the node can still pass packets. One node sends heartbeats
// to two instances before and after a cut is confirmed, with restarts of the node and of the instances, lost replies and unreachable
// instances.
func TestProofSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		leasers := []*Leaser{{}, {}}
		startedAt := []time.Time{t0.Add(-time.Hour), t0.Add(-time.Hour)}
		// grantedAt holds the time at which each instance granted its last lease.
		grantedAt := make([]time.Time, 2)
		node := nodeModel{servesWithoutLease: rapid.Bool().Draw(t, "serves without lease")}
		h := Heartbeat{Machine: entry(1), Revision: 39, ServesWithoutLease: node.servesWithoutLease}
		h.Machine.ServesWithoutLease = node.servesWithoutLease
		configured := h.Machine
		cutConfirmed := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 400, 1100, 2600}).Draw(t, "ms")) * time.Millisecond)
			target := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				h.Sequence++
				h.Evidence = nil
				if node.enforcesCut {
					h.Evidence = []counter.Evidence{{Customer: "cust", PassedSinceCut: node.passedSinceCut, CutRevision: 40}}
				}
				configured = h.Machine
				leasers[target].Record(now, h, true)
				grantedAt[target] = now
				if rapid.Bool().Draw(t, "reply arrives") {
					node.leaseUntil = now.Add(subscriber.LeaseTime)
					if cutConfirmed {
						node.enforcesCut, h.Revision = true, 41
					}
				}
			case 2:
				leasers[target], startedAt[target] = &Leaser{}, now
			case 3:
				if node.enforcesCut && rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
					node.passedSinceCut++
				}
			case 4:
				// The machine restarts. The configuration names the new incarnation only after its next heartbeat.
				node = nodeModel{servesWithoutLease: node.servesWithoutLease}
				h.Machine.Incarnation++
				h.Sequence, h.Revision = 0, 0
			case 5:
				cutConfirmed = true
			}
			if !cutConfirmed {
				continue
			}
			for unreachable := -1; unreachable < len(leasers); unreachable++ {
				c := ProofInput{Customer: cut, Revision: 41, ConfigurationCurrent: true, Machines: []registrar.Machine{configured}}
				var peers []PeerBound
				if unreachable >= 0 && rapid.Bool().Draw(t, "leader answers") {
					peers = []PeerBound{{
						Name:       registrar.MachineName(fmt.Sprint("control-", unreachable)),
						LeaseUntil: grantedAt[unreachable].Add(subscriber.LeaseBound),
					}}
				}
				for i, l := range leasers {
					instance := Instance{Name: registrar.MachineName(fmt.Sprint("control-", i))}
					if i != unreachable {
						instance.Answered, instance.StartedAt, instance.Sessions = true, startedAt[i], l.Sessions()
						instance.Peers = peers
					}
					c.Instances = append(c.Instances, instance)
				}
				// An incarnation that never had a lease passes no packets, whether it serves without a lease or not.
				if p := Prove(now, c); p.Verdict == Stopped && !node.leaseUntil.IsZero() {
					require.False(t, node.mayPass(now), "the verdict is Stopped, but the node can pass packets")
				}
			}
		}
	})
}
