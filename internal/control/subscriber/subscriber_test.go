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

// update returns the update to a revision.
func update(revision registrar.Revision) registrar.Update {
	zone := &registrar.Zone{Name: "a", Region: "r", Withdrawn: revision%2 == 0}
	return registrar.Update{Revision: revision, Changes: []registrar.Change{{Kind: registrar.PutZone, Zone: zone}}}
}

// enforcer records the last revision that was put into force.
type enforcer struct{ revision registrar.Revision }

// Update implements subscriber.Enforcer.
func (e *enforcer) Update(w *registrar.World) { e.revision = w.Revision() }

// TestAcceptReplies guards against late, repeated or incomplete replies that roll the configuration back, and against a lease that
// is longer than the reply allows or covers a revision that is not in force.
func TestAcceptReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &enforcer{}
		s := &subscriber.Subscriber{World: registrar.NewWorld(), Enforcers: []subscriber.Enforcer{e}}
		var wantExpireAt time.Time
		for range rapid.IntRange(1, 20).Draw(t, "replies") {
			sentAt := t0.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "sent ms")) * time.Millisecond)
			heartbeatRevision := registrar.Revision(rapid.IntRange(0, 8).Draw(t, "revision of the heartbeat"))
			r := subscriber.Reply{
				Revision: heartbeatRevision + registrar.Revision(rapid.IntRange(0, 4).Draw(t, "updates")),
				Age:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "age ms")) * time.Millisecond,
				Granted:  rapid.Bool().Draw(t, "granted"),
			}
			for n := heartbeatRevision + 1; n <= r.Revision; n++ {
				r.Updates = append(r.Updates, update(n))
			}
			before := s.World.Revision()
			err := s.Accept(sentAt, r)
			after := s.World.Revision()
			require.GreaterOrEqual(t, after, before)
			require.Equal(t, after, e.revision, "the configuration is not in force")
			gap := len(r.Updates) > 0 && before < heartbeatRevision
			require.Equal(t, gap || r.Granted && after < r.Revision, err != nil, "%v", err)
			if expireAt := sentAt.Add(subscriber.LeaseTime - r.Age); err == nil && r.Granted && expireAt.After(wantExpireAt) {
				wantExpireAt = expireAt
			}
			require.Equal(t, wantExpireAt, s.ExpireAt())
			require.False(t, s.Valid(wantExpireAt))
		}
	})
}

// TestFullState guards against a full state that replaces a newer configuration.
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
	require.False(t, s.Valid(t0), "a node that was never granted a lease may act")
}

// TestReporter guards against evidence that is wrong at an instance or never reaches it, and against a report that leaves out the
// changed evidence of a customer that is cut off.
func TestReporter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const customers = 20
		var r subscriber.Reporter
		all := make([]counter.Evidence, customers)
		for i := range all {
			all[i].Customer = registrar.CustomerName(fmt.Sprintf("c%02d", i))
		}
		received, lastReceived := map[registrar.CustomerName]counter.Evidence{}, uint64(0)
		send := func(arrives, replyArrives bool) {
			report := r.Next(append([]counter.Evidence(nil), all...))
			if arrives {
				require.True(t, report.Base == 0 || report.Base == lastReceived, "a report updates one that the instance does not have")
				for _, e := range report.Evidence {
					received[e.Customer] = e
				}
				lastReceived = report.Sequence
				for _, e := range all {
					require.True(t, e.CutRevision == 0 || received[e.Customer] == e,
						"the report leaves out changed evidence of a customer that is cut off")
				}
			}
			if arrives && replyArrives {
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
		// With 8 customers in a report, three reports carry all evidence.
		for range 3 {
			send(true, true)
		}
		for _, e := range all {
			require.Equal(t, e, received[e.Customer])
		}
	})
}
