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
	cut = registrar.Customer{Name: "cust", Cut: true, CutAt: 40}
)

func entry(inc registrar.Incarnation) registrar.Machine {
	return registrar.Machine{Name: "entry-0", Role: registrar.RoleEntry, Zone: "a", Incarnation: inc}
}

// zero is the session of a live entry that reported zero since the cut.
func zero() Session {
	return Session{
		Heartbeat: Heartbeat{
			Machine: entry(1), Revision: 41, Evidence: []counter.Evidence{{Customer: "cust", Passed: 7, Dropped: 2, CutRevision: 40}},
		},
		HeardAt: t0.Add(-time.Second), LeaseUntil: t0.Add(time.Second), EvidenceKnown: true,
	}
}

func caseOf(sessions ...Session) Case {
	return Case{
		Customer: cut, Revision: 41, Vouched: true, Machines: []registrar.Machine{entry(1)},
		Instances: []Instance{{Name: "control-0", Answered: true, StartedAt: t0.Add(-time.Hour), Sessions: sessions}},
	}
}

// gone turns a session into that of a node that was last heard a minute ago.
func gone(s *Session) { s.HeardAt, s.LeaseUntil = t0.Add(-time.Minute), t0.Add(-58*time.Second) }

// TestOmitConfirmed guards against a short proof that says something else than the whole one, or hides a node that has not
// confirmed.
func TestOmitConfirmed(t *testing.T) {
	c := caseOf(zero())
	for i, change := range []func(*Session){func(*Session) {}, gone, func(s *Session) { s.Revision = 39 }} {
		s := zero()
		s.Machine.Name = registrar.MachineName(fmt.Sprint("entry-", i+1))
		change(&s)
		c.Instances[0].Sessions = append(c.Instances[0].Sessions, s)
	}
	whole, short := Prove(t0, c), Prove(t0, c)
	short.OmitConfirmed()
	require.Equal(t, whole.Totals.Confirmed, short.ConfirmedOmitted)
	require.Equal(t, 2, short.ConfirmedOmitted)
	for _, n := range whole.Nodes {
		if n.State != NodeConfirmed {
			require.Contains(t, short.Nodes, n)
		}
	}
	short.Nodes, short.ConfirmedOmitted = whole.Nodes, 0
	require.Equal(t, whole, short)
}

// unreachable adds an instance whose leases have a bound that the leader knows.
func unreachable(c *Case, until time.Time) {
	c.Instances[0].Peers = []PeerBound{{Name: "control-1", LeaseUntil: until}}
	c.Instances = append(c.Instances, Instance{Name: "control-1"})
}

// TestProof guards against each known way in which a proof could lie.
func TestProof(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(c *Case, s *Session)
		// reason is part of the reason why nothing is proved; empty if the proof must succeed.
		reason string
	}{
		"live with zero":     {func(*Case, *Session) {}, ""},
		"missing and fenced": {func(_ *Case, s *Session) { gone(s) }, ""},
		"not cut":            {func(c *Case, _ *Session) { c.Customer.Cut = false }, "not cut off"},
		"instance cut off":   {func(c *Case, _ *Session) { c.Vouched = false }, "does not know the newest"},
		"old revision":       {func(_ *Case, s *Session) { s.Revision = 39 }, "older than the cut"},
		"evidence of an older cut": {
			func(_ *Case, s *Session) { s.Evidence[0].CutRevision = 20 }, "no evidence since",
		},
		"no evidence":         {func(_ *Case, s *Session) { s.Evidence = nil }, "no evidence since"},
		"incomplete evidence": {func(_ *Case, s *Session) { s.EvidenceKnown = false }, "not reported all"},
		"late packet":         {func(_ *Case, s *Session) { s.Evidence[0].PassedSinceCut = 1 }, "passed 1 packets"},
		"late packet, then missing": {
			func(_ *Case, s *Session) { gone(s); s.Evidence[0].PassedSinceCut = 1 }, "passed 1 packets",
		},
		"live flow": {func(_ *Case, s *Session) { s.Evidence[0].LiveFlows = 2 }, "has 2 live flows"},
		"old report, lease still valid": {
			func(_ *Case, s *Session) { s.HeardAt = t0.Add(-2600 * time.Millisecond) }, "may hold a lease until",
		},
		"serves without a lease": {func(_ *Case, s *Session) { gone(s); s.ServeExpired = true }, "serves without a lease"},
		"serves without a lease by the log, older session": {
			func(c *Case, s *Session) { gone(s); c.Machines[0].ServesExpired = true }, "serves without a lease",
		},
		"never heard": {
			func(c *Case, _ *Session) {
				c.Instances[0].Sessions = nil
				c.Instances[0].StartedAt = t0.Add(-subscriber.LeaseTime)
			}, "before it restarted",
		},
		"never heard, long after the restart": {func(c *Case, _ *Session) { c.Instances[0].Sessions = nil }, ""},
		"never heard, serves without a lease": {
			func(c *Case, _ *Session) { c.Instances[0].Sessions = nil; c.Machines[0].ServesExpired = true }, "serves without",
		},
		"missing, other instance restarted": {
			func(c *Case, s *Session) {
				gone(s)
				c.Instances = append(c.Instances, Instance{Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Second)})
			}, "control-1 may have granted",
		},
		"missing, other instance out of reach": {
			func(c *Case, s *Session) { gone(s); c.Instances = append(c.Instances, Instance{Name: "control-1"}) },
			"control-1, which cannot be asked",
		},
		"live, other instance out of reach": {
			func(c *Case, _ *Session) { c.Instances = append(c.Instances, Instance{Name: "control-1"}) },
			"just started may not be known: control instance control-1, which cannot be asked",
		},
		"live, other instance out of reach for long": {func(c *Case, _ *Session) { unreachable(c, t0.Add(-1)) }, ""},
		"missing, other instance out of reach for long": {
			func(c *Case, s *Session) { gone(s); unreachable(c, t0.Add(-1)) }, "",
		},
		"missing, other instance out of reach for a short time": {
			func(c *Case, s *Session) { gone(s); unreachable(c, t0) }, "is missing, and control instance control-1",
		},
		"another instance out of reach for long": {
			func(c *Case, s *Session) {
				gone(s)
				unreachable(c, t0.Add(-1))
				c.Instances = append(c.Instances, Instance{Name: "control-2"})
			}, "control-2, which cannot be asked",
		},
		"lease at a slow clock": {
			func(_ *Case, s *Session) { gone(s); s.LeaseUntil = t0.Add(-200 * time.Millisecond) }, "may hold a lease until",
		},
		"cut while instances answered": {func(c *Case, _ *Session) { c.Changed = true }, "ask again"},
		"live, other instance restarted": {
			func(c *Case, _ *Session) {
				c.Instances = append(c.Instances, Instance{Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Second)})
			}, "just started may not be known",
		},
		"lease granted by another instance": {
			func(c *Case, s *Session) {
				gone(s)
				older := *s
				older.HeardAt, older.LeaseUntil = s.HeardAt.Add(-time.Second), t0.Add(time.Second)
				c.Instances = append(c.Instances, Instance{
					Name: "control-1", Answered: true, StartedAt: t0.Add(-time.Hour), Sessions: []Session{older},
				})
			}, "may hold a lease until",
		},
		"restarted, earlier start may hold a lease": {
			func(c *Case, s *Session) {
				earlier := *s
				earlier.Machine.Incarnation, earlier.HeardAt = 9, t0.Add(-3*time.Second)
				c.Instances[0].Sessions = append(c.Instances[0].Sessions, earlier)
			}, "may hold a lease until",
		},
		"restarted, earlier start passed packets": {
			func(c *Case, s *Session) {
				earlier := *s
				gone(&earlier)
				earlier.Machine.Incarnation = 9
				earlier.Evidence = []counter.Evidence{{Customer: "cust", PassedSinceCut: 3, CutRevision: 40}}
				c.Instances[0].Sessions = append(c.Instances[0].Sessions, earlier)
			}, "passed 3 packets",
		},
		"restarted, new start has not reported": {
			func(c *Case, s *Session) {
				gone(s)
				c.Machines[0].Incarnation = 2
				c.Instances[0].StartedAt = t0.Add(-time.Second)
			}, "before it restarted",
		},
		"heard before the log names it": {
			func(c *Case, s *Session) { c.Machines = nil; s.Revision = 39 }, "older than the cut",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := caseOf(zero())
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

// model is a node as it really is, next to what control has heard of it.
type model struct {
	leaseUntil time.Time
	serves     bool
	enforces   bool
	passed     uint64
}

// mayPass reports whether the node can still pass a packet of the customer.
func (m model) mayPass(now time.Time) bool {
	return !m.enforces && (m.serves || !now.After(m.leaseUntil))
}

// TestProofNeverLies drives one node through heartbeats at two instances before and after a cut is confirmed, with restarts of
// all of them, lost replies and instances out of reach, and guards against a proof that says "stopped" while the node can pass a packet or has passed one since it enforced the cut.
func TestProofNeverLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		leasers := []*Leaser{{}, {}}
		started := []time.Time{t0.Add(-time.Hour), t0.Add(-time.Hour)}
		// granted is when each instance granted its last lease.
		granted := make([]time.Time, 2)
		node := model{serves: rapid.Bool().Draw(t, "serves")}
		h := Heartbeat{Machine: entry(1), Revision: 39, ServeExpired: node.serves}
		h.Machine.ServesExpired = node.serves
		logged := h.Machine
		confirmed := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 400, 1100, 2600}).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				h.Sequence++
				h.Evidence = nil
				if node.enforces {
					h.Evidence = []counter.Evidence{{Customer: "cust", PassedSinceCut: node.passed, CutRevision: 40}}
				}
				logged = h.Machine
				leasers[at].Record(now, h, true)
				granted[at] = now
				if rapid.Bool().Draw(t, "reply arrives") {
					node.leaseUntil = now.Add(subscriber.LeaseTime)
					if confirmed {
						node.enforces, h.Revision = true, 41
					}
				}
			case 2:
				leasers[at], started[at] = &Leaser{}, now
			case 3:
				if node.enforces && rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
					node.passed++
				}
			case 4:
				// The machine restarts. It is not known to the log until its next heartbeat.
				node = model{serves: node.serves}
				h.Machine.Incarnation++
				h.Sequence, h.Revision = 0, 0
			case 5:
				confirmed = true
			}
			if !confirmed {
				continue
			}
			for lost := -1; lost < len(leasers); lost++ {
				c := Case{Customer: cut, Revision: 41, Vouched: true, Machines: []registrar.Machine{logged}}
				var peers []PeerBound
				if lost >= 0 && rapid.Bool().Draw(t, "leader answers") {
					peers = []PeerBound{{Name: registrar.MachineName(fmt.Sprint("control-", lost)), LeaseUntil: granted[lost].Add(subscriber.LeaseBound)}}
				}
				for i, l := range leasers {
					instance := Instance{Name: registrar.MachineName(fmt.Sprint("control-", i))}
					if i != lost {
						instance.Answered, instance.StartedAt, instance.Sessions = true, started[i], l.Sessions()
						instance.Peers = peers
					}
					c.Instances = append(c.Instances, instance)
				}
				// A start that never had a lease passes nothing, whatever its setting.
				if p := Prove(now, c); p.Verdict == Stopped && !node.leaseUntil.IsZero() {
					require.False(t, node.mayPass(now), "stopped, but the node can pass packets")
				}
			}
		}
	})
}
