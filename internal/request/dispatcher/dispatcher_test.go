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

// budget is a retry budget with a fixed number of retries.
type budget struct{ retriesLeft int }

func (b *budget) FirstTry(registrar.CustomerName) {}

func (b *budget) Retry(registrar.CustomerName) bool {
	b.retriesLeft--
	return b.retriesLeft >= 0
}

// systemClock is the clock of the machine.
type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// unlimitedSlots grants a slot to every request.
type unlimitedSlots struct{ *limiter.Limiter }

func (s *unlimitedSlots) Enter(now, deadline time.Time) (*limiter.Ticket, error) {
	s.Limiter = &limiter.Limiter{Slots: 1}
	return s.Limiter.Enter(now, deadline)
}

// scriptedExchange returns the given results in order.
type scriptedExchange struct {
	results []dispatcher.ForwardResult
	tries   int
	// onAttempt is called by each attempt.
	onAttempt func()
}

func (p *scriptedExchange) Forward(context.Context) dispatcher.ForwardResult {
	if p.onAttempt != nil {
		p.onAttempt()
	}
	p.tries++
	return p.results[p.tries-1]
}

// TestOutcomes guards against sending a request twice that is not safe to repeat, and against the outcome "not run" after the
// request may have reached the upstream.
func TestOutcomes(t *testing.T) {
	refused := dispatcher.ForwardResult{Result: limiter.Lost}
	brokenAfterSend := dispatcher.ForwardResult{Reached: true, Result: limiter.Lost}
	truncated := dispatcher.ForwardResult{Reached: true, AnswerStarted: true, Result: limiter.Lost}
	answered := dispatcher.ForwardResult{Reached: true, AnswerStarted: true, AnswerComplete: true}
	for _, c := range []struct {
		name    string
		method  string
		retries int
		results []dispatcher.ForwardResult
		tries   int
		want    dispatcher.Outcome
	}{
		{"answered", "GET", 1, []dispatcher.ForwardResult{answered}, 1, dispatcher.Done},
		{"safe request is retried", "GET", 1, []dispatcher.ForwardResult{brokenAfterSend, answered}, 2, dispatcher.Done},
		{"budget exhausted", "HEAD", 1, []dispatcher.ForwardResult{brokenAfterSend, brokenAfterSend}, 2, dispatcher.Unknown},
		{"refused and budget exhausted", "GET", 1, []dispatcher.ForwardResult{refused, refused}, 2, dispatcher.NotRun},
		{"sent, then refused on retry", "GET", 1, []dispatcher.ForwardResult{brokenAfterSend, refused}, 2, dispatcher.Unknown},
		{"truncated answer is not retried", "GET", 1, []dispatcher.ForwardResult{truncated}, 1, dispatcher.Unknown},
		{"POST is not retried", "POST", 1, []dispatcher.ForwardResult{brokenAfterSend}, 1, dispatcher.Unknown},
		{"PUT is not retried", "PUT", 1, []dispatcher.ForwardResult{brokenAfterSend}, 1, dispatcher.Unknown},
		{"POST is retried if refused", "POST", 1, []dispatcher.ForwardResult{refused, answered}, 2, dispatcher.Done},
		{"POST without budget", "POST", 0, []dispatcher.ForwardResult{refused}, 1, dispatcher.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &dispatcher.Dispatcher{Clock: systemClock{}, Admission: &unlimitedSlots{}, Budget: &budget{retriesLeft: c.retries}}
			x := &scriptedExchange{results: c.results}
			decision := d.Dispatch(context.Background(), dispatcher.Request{
				Class: dispatcher.ClassOf(c.method, ""), Deadline: time.Now().Add(time.Minute),
			}, x)
			require.Equal(t, c.want, decision.Outcome)
			require.Equal(t, c.tries, x.tries)
		})
	}
}

// TestCancelledInQueue guards against forwarding a request later that was cancelled in the queue.
func TestCancelledInQueue(t *testing.T) {
	l := &limiter.Limiter{Slots: 1}
	holder, err := l.Enter(time.Now(), time.Now().Add(time.Minute))
	require.NoError(t, err)
	d := &dispatcher.Dispatcher{Clock: systemClock{}, Admission: l, Budget: &budget{}}
	ctx, cancel := context.WithCancel(context.Background())
	x := &scriptedExchange{}
	decisions := make(chan dispatcher.Decision)
	go func() { decisions <- d.Dispatch(ctx, dispatcher.Request{Deadline: time.Now().Add(time.Minute)}, x) }()
	require.Eventually(t, func() bool { return l.Stats().Queued == 1 }, time.Minute, time.Millisecond)
	cancel()
	require.Equal(t, dispatcher.NotRun, (<-decisions).Outcome)
	l.Leave(time.Now(), holder, limiter.Served)
	require.Zero(t, l.Stats().Queued+l.Stats().Running+x.tries)
}

// TestCancelledInSlot guards against the outcome "not run" for a request that is cancelled while the upstream runs it.
func TestCancelledInSlot(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dispatcher.Dispatcher{Clock: systemClock{}, Admission: &unlimitedSlots{}, Budget: &budget{retriesLeft: 5}}
	x := &scriptedExchange{results: []dispatcher.ForwardResult{{Reached: true, Result: limiter.Abandoned}}, onAttempt: cancel}
	decision := d.Dispatch(ctx, dispatcher.Request{Deadline: time.Now().Add(time.Minute)}, x)
	require.Equal(t, dispatcher.Unknown, decision.Outcome)
	require.Equal(t, 1, x.tries, "a cancelled request was retried")
}
