package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// budget allows a number of retries.
type budget struct{ left int }

func (b *budget) FirstTry(registrar.CustomerName) {}

func (b *budget) Retry(registrar.CustomerName) bool {
	b.left--
	return b.left >= 0
}

// plainClock is the clock of the machine.
type plainClock struct{}

func (plainClock) Now() time.Time                         { return time.Now() }
func (plainClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// slots grants every request a slot of its own.
type slots struct{ *limiter.Limiter }

func (s *slots) Enter(now, deadline time.Time) (*limiter.Ticket, error) {
	s.Limiter = &limiter.Limiter{Slots: 1}
	return s.Limiter.Enter(now, deadline)
}

// passages ends the passages of a request in the given ways.
type passages struct {
	ends  []dispatcher.Passage
	tries int
	// during is called in each passage.
	during func()
}

func (p *passages) Pass(context.Context) dispatcher.Passage {
	if p.during != nil {
		p.during()
	}
	p.tries++
	return p.ends[p.tries-1]
}

// TestOutcomes guards which requests are tried again and what a caller is told: a request that is not safe to repeat must not
// be sent twice, and an error after sending must not be called "not run".
func TestOutcomes(t *testing.T) {
	refused := dispatcher.Passage{Result: limiter.Lost}
	lost := dispatcher.Passage{Reached: true, Result: limiter.Lost}
	cut := dispatcher.Passage{Reached: true, Begun: true, Result: limiter.Lost}
	whole := dispatcher.Passage{Reached: true, Begun: true, Whole: true}
	for _, c := range []struct {
		name    string
		method  string
		retries int
		ends    []dispatcher.Passage
		tries   int
		want    dispatcher.Outcome
	}{
		{"answered", "GET", 1, []dispatcher.Passage{whole}, 1, dispatcher.Done},
		{"safe request retried", "GET", 1, []dispatcher.Passage{lost, whole}, 2, dispatcher.Done},
		{"budget used up", "HEAD", 1, []dispatcher.Passage{lost, lost}, 2, dispatcher.Unknown},
		{"refused and budget used up", "GET", 1, []dispatcher.Passage{refused, refused}, 2, dispatcher.NotRun},
		{"reached before refused", "GET", 1, []dispatcher.Passage{lost, refused}, 2, dispatcher.Unknown},
		{"cut answer is not repeated", "GET", 1, []dispatcher.Passage{cut}, 1, dispatcher.Unknown},
		{"post not repeated", "POST", 1, []dispatcher.Passage{lost}, 1, dispatcher.Unknown},
		{"put not repeated", "PUT", 1, []dispatcher.Passage{lost}, 1, dispatcher.Unknown},
		{"post that reached nothing", "POST", 1, []dispatcher.Passage{refused, whole}, 2, dispatcher.Done},
		{"post without budget", "POST", 0, []dispatcher.Passage{refused}, 1, dispatcher.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &dispatcher.Dispatcher{Clock: plainClock{}, Admission: &slots{}, Budget: &budget{left: c.retries}}
			x := &passages{ends: c.ends}
			out := d.Dispatch(context.Background(), dispatcher.Request{
				Class: dispatcher.ClassOf(c.method, ""), Deadline: time.Now().Add(time.Minute),
			}, x)
			require.Equal(t, c.want, out.Outcome)
			require.Equal(t, c.tries, x.tries)
		})
	}
}

// TestCancelledInQueue guards that a caller which gives up in the queue leaves no request behind that runs later.
func TestCancelledInQueue(t *testing.T) {
	l := &limiter.Limiter{Slots: 1}
	holder, err := l.Enter(time.Now(), time.Now().Add(time.Minute))
	require.NoError(t, err)
	d := &dispatcher.Dispatcher{Clock: plainClock{}, Admission: l, Budget: &budget{}}
	ctx, cancel := context.WithCancel(context.Background())
	x := &passages{}
	ends := make(chan dispatcher.Decision)
	go func() { ends <- d.Dispatch(ctx, dispatcher.Request{Deadline: time.Now().Add(time.Minute)}, x) }()
	require.Eventually(t, func() bool { return l.Stats().Queued == 1 }, time.Minute, time.Millisecond)
	cancel()
	require.Equal(t, dispatcher.NotRun, (<-ends).Outcome)
	l.Leave(time.Now(), holder, limiter.Served)
	require.Zero(t, l.Stats().Queued+l.Stats().Running+x.tries)
}

// TestCancelledInSlot guards the outcome of a request that is cancelled while the upstream works on it.
func TestCancelledInSlot(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dispatcher.Dispatcher{Clock: plainClock{}, Admission: &slots{}, Budget: &budget{left: 5}}
	x := &passages{ends: []dispatcher.Passage{{Reached: true, Result: limiter.Abandoned}}, during: cancel}
	out := d.Dispatch(ctx, dispatcher.Request{Deadline: time.Now().Add(time.Minute)}, x)
	require.Equal(t, dispatcher.Unknown, out.Outcome)
	require.Equal(t, 1, x.tries, "a cancelled request was tried again")
}
