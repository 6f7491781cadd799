package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_000_000, 0)

// alarm keeps the time at which the limiter wants to be advanced.
type alarm struct{ at time.Time }

func (a *alarm) SetAlarm(at time.Time) { a.at = at }

// upstream drives a limiter in virtual time with more requests than the upstream can serve.
type upstream struct {
	*limiter.Limiter
	alarm   *alarm
	now     time.Time
	tickets []*limiter.Ticket
	// busy is the time spent in slots.
	busy time.Duration
	// peak is the largest number of requests at once.
	peak int
}

func newUpstream(slots registrar.Slots) *upstream {
	u := &upstream{now: start, alarm: &alarm{}}
	u.Limiter = &limiter.Limiter{Slots: slots, Alarm: u.alarm}
	return u
}

// serve keeps the queue filled and serves requests in turns of one service time each, until the time is over.
func (u *upstream) serve(t require.TestingT, until time.Time, service time.Duration, result limiter.Result) {
	for u.now.Before(until) {
		for len(u.tickets) < 8 {
			ticket, err := u.Enter(u.now, u.now.Add(time.Hour))
			require.NoError(t, err)
			u.tickets = append(u.tickets, ticket)
		}
		var running, waiting []*limiter.Ticket
		for _, ticket := range u.tickets {
			if granted(ticket) {
				running = append(running, ticket)
			} else {
				waiting = append(waiting, ticket)
			}
		}
		u.tickets = waiting
		u.peak = max(u.peak, len(running))
		if len(running) == 0 {
			require.True(t, u.alarm.at.After(u.now), "requests wait and no alarm is set")
			u.now = u.alarm.at
			u.Advance(u.now)
			continue
		}
		u.now = u.now.Add(service)
		for _, ticket := range running {
			u.busy += service
			u.Leave(u.now, ticket, result)
		}
	}
}

// enter asks for a slot for a request with a late deadline.
func (u *upstream) enter(t require.TestingT) *limiter.Ticket {
	ticket, err := u.Enter(u.now, u.now.Add(time.Hour))
	require.NoError(t, err)
	return ticket
}

func granted(ticket *limiter.Ticket) bool {
	select {
	case <-ticket.Ready():
		return true
	default:
		return false
	}
}

// one serves the oldest waiting request, or a new one if none waits.
func (u *upstream) one(t require.TestingT, service time.Duration) {
	if len(u.tickets) == 0 {
		u.tickets = append(u.tickets, u.enter(t))
	}
	for !granted(u.tickets[0]) {
		u.now = u.alarm.at
		u.Advance(u.now)
	}
	u.now = u.now.Add(service)
	u.Leave(u.now, u.tickets[0], limiter.Served)
	u.tickets = u.tickets[1:]
}

// TestColdStartLoad guards against a full load on an upstream that has just started: at first it gets less than one slot,
// and not more than one request at once before it had time to settle.
func TestColdStartLoad(t *testing.T) {
	u := newUpstream(3)
	u.serve(t, start.Add(200*time.Millisecond), 10*time.Millisecond, limiter.Served)
	require.Less(t, u.busy, 150*time.Millisecond, "load in slots is not below one")
	u.serve(t, start.Add(9*time.Second), 10*time.Millisecond, limiter.Served)
	require.Equal(t, 1, u.peak)
	u.serve(t, start.Add(12*time.Second), 10*time.Millisecond, limiter.Served)
	require.Equal(t, 3, u.peak)
	require.False(t, u.Stats().Cold)
}

// TestUnannouncedColdStart guards against keeping the load on an upstream that shows by its service time, its errors or its
// connections that it has started again, and against never coming back to full load.
func TestUnannouncedColdStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		service time.Duration
		result  limiter.Result
	}{
		{"latency", 50 * time.Millisecond, limiter.Served},
		{"errors", 10 * time.Millisecond, limiter.Failed},
		{"resets", time.Millisecond, limiter.Lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(2)
			u.serve(t, start.Add(20*time.Second), 10*time.Millisecond, limiter.Served)
			require.InDelta(t, 2, u.Stats().Limit, 0.01)
			turned := u.now
			u.serve(t, turned.Add(3*c.service+5*time.Millisecond), c.service, c.result)
			require.Less(t, u.Stats().Limit, 1.0)
			u.peak = 0
			u.serve(t, turned.Add(3*time.Second), c.service, c.result)
			require.Equal(t, 1, u.peak, "more than one request at once while cold")
			u.serve(t, u.now.Add(30*time.Second), 10*time.Millisecond, limiter.Served)
			require.InDelta(t, 2, u.Stats().Limit, 0.01)
		})
	}
}

// TestSlowRequestHoldsSlots guards against starting requests beside one that shows by its age that the upstream may have
// turned cold, and against waiting without end for such a request.
func TestSlowRequestHoldsSlots(t *testing.T) {
	u := newUpstream(2)
	u.serve(t, start.Add(20*time.Second), 10*time.Millisecond, limiter.Served)
	for len(u.tickets) > 0 {
		u.one(t, 10*time.Millisecond)
	}
	first := u.enter(t)
	require.NotNil(t, first)
	u.now = u.now.Add(30 * time.Millisecond)
	second := u.enter(t)
	require.False(t, granted(second), "a request starts beside one that takes three times the warm service time")
	u.Leave(u.now, first, limiter.Served)
	require.True(t, granted(second))
	u.now = u.now.Add(30 * time.Millisecond)
	third := u.enter(t)
	require.False(t, granted(third))
	require.Less(t, u.alarm.at.Sub(u.now), time.Second)
	u.now = u.alarm.at
	u.Advance(u.now)
	require.True(t, granted(third), "a request that never ends stops all others")
	u.Leave(u.now, third, limiter.Served)
	u.now = u.now.Add(50 * time.Millisecond)
	fourth, fifth := u.enter(t), u.enter(t)
	u.Leave(u.now, second, limiter.Served)
	require.True(t, granted(fourth))
	require.Less(t, u.alarm.at.Sub(u.now), time.Second, "no alarm ends the wait for a request that may never end")
	require.False(t, granted(fifth), "a request starts beside the one that decides whether the upstream is cold")
	u.now = u.now.Add(10 * time.Millisecond)
	u.Leave(u.now, fourth, limiter.Served)
	require.True(t, granted(fifth))
	require.True(t, granted(u.enter(t)), "the limit stays low after a warm answer")
}

// TestWeightRecoversUnderLowLoad guards against a returned upstream that gets few requests and so keeps a part of its weight
// long after it has become warm, and against the whole weight while it is still cold.
func TestWeightRecoversUnderLowLoad(t *testing.T) {
	u := newUpstream(3)
	u.serve(t, start.Add(30*time.Second), 10*time.Millisecond, limiter.Served)
	warm := float64(u.Weight(u.now))
	returned := u.now
	u.TurnCold(u.now)
	require.Less(t, float64(u.Weight(u.now)), warm/2, "the whole weight at the return")
	for u.now.Before(returned.Add(5 * time.Second)) {
		u.one(t, 40*time.Millisecond)
		u.now = u.now.Add(time.Second)
	}
	require.Less(t, float64(u.Weight(u.now)), warm/2, "the whole weight while requests are slow")
	for u.now.Before(returned.Add(20 * time.Second)) {
		u.one(t, 10*time.Millisecond)
		u.now = u.now.Add(time.Second)
	}
	require.InEpsilon(t, warm, float64(u.Weight(u.now)), 0.2)

	fresh := newUpstream(3)
	for fresh.now.Before(start.Add(10 * time.Second)) {
		fresh.one(t, 40*time.Millisecond)
		require.Less(t, float64(fresh.Weight(fresh.now)), warm/2, "the whole weight before the upstream had time to settle")
		fresh.now = fresh.now.Add(time.Second)
	}
	for fresh.now.Before(start.Add(20 * time.Second)) {
		fresh.one(t, 10*time.Millisecond)
		fresh.now = fresh.now.Add(time.Second)
	}
	require.InEpsilon(t, warm, float64(fresh.Weight(fresh.now)), 0.2, "an upstream that was not measured before")
}

// TestLastingSlowness guards against taking a lasting rise in service time for a cold start without end.
func TestLastingSlowness(t *testing.T) {
	u := newUpstream(2)
	u.serve(t, start.Add(20*time.Second), 10*time.Millisecond, limiter.Served)
	u.serve(t, u.now.Add(90*time.Second), 50*time.Millisecond, limiter.Served)
	require.InDelta(t, 2, u.Stats().Limit, 0.01)
}

// TestWeight guards the comparison of upstreams: speeds of 1:8 must give weights of 1:8, a cold one must announce less, and
// the step to the full weight must pass the 20% that control ignores.
func TestWeight(t *testing.T) {
	fast, slow := newUpstream(2), newUpstream(2)
	require.Equal(t, 2*limiter.Unmeasured, fast.Weight(start))
	fast.serve(t, start.Add(5*time.Second), 5*time.Millisecond, limiter.Served)
	cold := fast.Weight(fast.now)
	fast.serve(t, start.Add(30*time.Second), 5*time.Millisecond, limiter.Served)
	slow.serve(t, start.Add(30*time.Second), 40*time.Millisecond, limiter.Served)
	require.InDelta(t, 8, float64(fast.Weight(fast.now))/float64(slow.Weight(slow.now)), 0.1)
	require.Greater(t, float64(fast.Weight(fast.now)), 1.2*float64(cold))
	warm := float64(fast.Weight(fast.now))
	fast.serve(t, fast.now.Add(30*time.Millisecond), 15*time.Millisecond, limiter.Served)
	require.False(t, fast.Stats().Cold, "a stall of 30 ms counts as a cold start")
	fast.serve(t, fast.now.Add(100*time.Millisecond), 50*time.Millisecond, limiter.Served)
	require.Less(t, fast.Stats().Limit, 1.0)
	for range 20 {
		require.InEpsilon(t, warm, float64(fast.Weight(fast.now)), 0.2, "a stall moves the weight")
		fast.serve(t, fast.now.Add(100*time.Millisecond), 5*time.Millisecond, limiter.Served)
	}
	fast.serve(t, fast.now.Add(time.Second), time.Millisecond, limiter.Failed)
	require.Less(t, fast.Weight(fast.now), cold, "errors that come fast look like capacity")
}

// TestPeersSetExpectation guards against feedback between upstreams that each assume the weight of the others.
func TestPeersSetExpectation(t *testing.T) {
	u := newUpstream(2)
	u.Expect(8000)
	require.Equal(t, registrar.Weight(4000), u.Weight(start))
	u.Expect(10)
	require.Equal(t, registrar.Weight(4000), u.Weight(start))
}

// TestAdmitFlow guards the spill of new flows: a busy or failing upstream sends them to the second choice.
func TestAdmitFlow(t *testing.T) {
	u := newUpstream(1)
	require.True(t, u.AdmitFlow(start))
	u.serve(t, start.Add(30*time.Second), 100*time.Millisecond, limiter.Served)
	for range 30 {
		_, err := u.Enter(u.now, u.now.Add(time.Hour))
		require.NoError(t, err)
	}
	require.False(t, u.AdmitFlow(u.now))
	f := newUpstream(1)
	f.serve(t, start.Add(time.Second), time.Millisecond, limiter.Lost)
	require.False(t, f.AdmitFlow(f.now))
}

// TestLimiterModel guards the queue: at any order of events a slot is never granted twice or beyond the limit, never after a
// deadline, an earlier deadline goes first, and a refused or cancelled request never gets a slot.
func TestLimiterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := registrar.Slots(rapid.IntRange(1, 4).Draw(t, "slots"))
		a := &alarm{}
		l := &limiter.Limiter{Slots: slots, Alarm: a}
		now := start
		deadlines := map[*limiter.Ticket]time.Time{}
		running := map[*limiter.Ticket]bool{}
		settle := func() {
			var lastGranted, firstQueued time.Time
			for ticket, deadline := range deadlines {
				select {
				case <-ticket.Ready():
				default:
					require.False(t, now.After(deadline), "a queued request outlived its deadline")
					if firstQueued.IsZero() || deadline.Before(firstQueued) {
						firstQueued = deadline
					}
					continue
				}
				delete(deadlines, ticket)
				if ticket.Err() != nil {
					continue
				}
				require.False(t, now.After(deadline), "granted after its deadline")
				running[ticket] = true
				if deadline.After(lastGranted) {
					lastGranted = deadline
				}
			}
			require.False(t, !firstQueued.IsZero() && lastGranted.After(firstQueued), "a later deadline went first")
			st := l.Stats()
			require.Equal(t, len(running), st.Running)
			require.LessOrEqual(t, st.Running, int(slots))
			require.Equal(t, len(deadlines), st.Queued)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				deadline := now.Add(time.Duration(rapid.IntRange(-10, 500).Draw(t, "ms")) * time.Millisecond)
				ticket, err := l.Enter(now, deadline)
				require.Equal(t, err == nil, ticket != nil)
				if ticket != nil {
					deadlines[ticket] = deadline
				}
				settle()
			},
			"leave": func(t *rapid.T) {
				result := limiter.Result(rapid.IntRange(0, 3).Draw(t, "result"))
				for ticket := range running {
					delete(running, ticket)
					l.Leave(now, ticket, result)
					l.Leave(now, ticket, limiter.Served)
					break
				}
				settle()
			},
			"cancel": func(t *rapid.T) {
				for ticket := range deadlines {
					require.True(t, l.Cancel(now, ticket))
					require.ErrorIs(t, ticket.Err(), limiter.ErrCancelled)
					break
				}
				for ticket := range running {
					require.False(t, l.Cancel(now, ticket))
					break
				}
				settle()
			},
			"cold": func(*rapid.T) { l.TurnCold(now) },
			"wait": func(t *rapid.T) {
				next := now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				for a.at.After(now) && a.at.Before(next) {
					now = a.at
					l.Advance(now)
					settle()
				}
				now = next
				l.Advance(now)
				settle()
			},
		})
	})
}

// TestSetSlots guards against a reloaded number of slots that is not in force, in either direction.
func TestSetSlots(t *testing.T) {
	u := newUpstream(3)
	u.serve(t, start.Add(12*time.Second), 10*time.Millisecond, limiter.Served)
	for _, slots := range []registrar.Slots{1, 5} {
		u.SetSlots(u.now, slots)
		// The requests in progress finish before the peak counts.
		u.serve(t, u.now.Add(10*time.Millisecond), 10*time.Millisecond, limiter.Served)
		u.peak = 0
		u.serve(t, u.now.Add(time.Second), 10*time.Millisecond, limiter.Served)
		require.Equal(t, int(slots), u.peak)
	}
}
