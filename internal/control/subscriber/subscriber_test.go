package subscriber_test

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

var t0 = time.Unix(1_800_000_000, 0)

func update(r registrar.Revision) registrar.Update {
	zone := &registrar.Zone{Name: "a", Region: "r", Withdrawn: r%2 == 0}
	return registrar.Update{Revision: r, Changes: []registrar.Change{{Kind: registrar.PutZone, Zone: zone}}}
}

// enforcer remembers the newest revision that was put into force.
type enforcer struct{ revision registrar.Revision }

// Update implements subscriber.Enforcer.
func (e *enforcer) Update(w *registrar.World) { e.revision = w.Revision() }

// TestReplies guards against late, repeated or incomplete replies that take the configuration back, and against a lease that
// is longer than the reply allows or covers a revision that is not in force.
func TestReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &enforcer{}
		s := &subscriber.Subscriber{World: registrar.NewWorld(), Enforcers: []subscriber.Enforcer{e}}
		var until time.Time
		for range rapid.IntRange(1, 20).Draw(t, "replies") {
			sentAt := t0.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "sent ms")) * time.Millisecond)
			have := registrar.Revision(rapid.IntRange(0, 8).Draw(t, "revision of the heartbeat"))
			r := subscriber.Reply{
				Revision: have + registrar.Revision(rapid.IntRange(0, 4).Draw(t, "updates")),
				Age:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "age ms")) * time.Millisecond,
				Granted:  rapid.Bool().Draw(t, "granted"),
			}
			for n := have + 1; n <= r.Revision; n++ {
				r.Updates = append(r.Updates, update(n))
			}
			before := s.World.Revision()
			err := s.Accept(sentAt, r)
			after := s.World.Revision()
			require.GreaterOrEqual(t, after, before)
			require.Equal(t, after, e.revision, "the configuration is not in force")
			gap := len(r.Updates) > 0 && before < have
			require.Equal(t, gap || r.Granted && after < r.Revision, err != nil, "%v", err)
			if end := sentAt.Add(subscriber.LeaseTime - r.Age); err == nil && r.Granted && end.After(until) {
				until = end
			}
			require.Equal(t, until, s.ExpireAt())
			require.False(t, s.Valid(until))
		}
	})
}

// TestFullState guards against an older full state that replaces a newer configuration.
func TestFullState(t *testing.T) {
	newer, older := registrar.NewWorld(), registrar.NewWorld()
	for r := registrar.Revision(1); r <= 3; r++ {
		require.NoError(t, newer.Apply(update(r)))
		if r < 3 {
			require.NoError(t, older.Apply(update(r)))
		}
	}
	s := &subscriber.Subscriber{World: registrar.NewWorld()}
	for _, w := range []*registrar.World{newer, older} {
		st := w.State()
		require.NoError(t, s.Accept(t0, subscriber.Reply{Revision: st.Revision, State: &st}))
		require.Equal(t, newer.Digest(), s.World.Digest())
	}
	require.False(t, s.Valid(t0), "a node that was never granted a lease acts")
}

// TestReporter guards against evidence that an instance gets wrong or never gets, and against a customer that was cut off whose
// evidence waits for its turn.
func TestReporter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const customers = 20
		var r subscriber.Reporter
		all := make([]counter.Evidence, customers)
		for i := range all {
			all[i].Customer = registrar.CustomerName(fmt.Sprintf("c%02d", i))
		}
		known, newest := map[registrar.CustomerName]counter.Evidence{}, uint64(0)
		send := func(arrives, answered bool) {
			p := r.Next(append([]counter.Evidence(nil), all...))
			if arrives {
				require.True(t, p.Base == 0 || p.Base == newest, "a report adds to one that the instance does not have")
				for _, e := range p.Evidence {
					known[e.Customer] = e
				}
				newest = p.Sequence
				for _, e := range all {
					require.True(t, e.CutRevision == 0 || known[e.Customer] == e, "evidence of a cut waits")
				}
			}
			if arrives && answered {
				r.Confirm()
			} else {
				r.Restart()
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "heartbeats") {
			e := &all[rapid.IntRange(0, customers-1).Draw(t, "customer")]
			e.Passed++
			if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
				e.CutRevision++
			}
			send(rapid.IntRange(0, 4).Draw(t, "arrives") > 0, rapid.IntRange(0, 4).Draw(t, "answered") > 0)
		}
		// With 8 customers a report, three reports bring everything.
		for range 3 {
			send(true, true)
		}
		for _, e := range all {
			require.Equal(t, e, known[e.Customer])
		}
	})
}
