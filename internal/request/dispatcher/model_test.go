package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/admit/budgeter"
	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	machineCount      = 5
	maxNestedAttempts = 3
)

// configuration is a view of the service with the time at which control confirmed it.
type configuration struct {
	confirmedAt time.Time
	view        registrar.ServiceView
}

// machine is one agent of the model.
type machine struct {
	m         *model
	name      registrar.MachineName
	owner     *claimer.Owner
	directory *claimer.Directory
	// undelivered holds the configurations that the machine has not received.
	undelivered []configuration
	clockError  time.Duration
	incarnation registrar.Incarnation
	attempts    uint64
}

// model runs attempts of one request on several agents, with messages, restarts and changes of owners in random order.
type model struct {
	*rapid.T
	now            time.Time
	machines       []*machine
	newestView     registrar.ServiceView
	delayedCalls   []func()
	nestedAttempts int
	key            claimer.RequestKey
	deadline       time.Time
	// runs counts the runs of the request, and ranContent is the content of the last one.
	runs       int
	ranContent byte
	notRun     map[byte]bool
}

func (m *model) happens(percent int, label string) bool {
	return rapid.IntRange(0, 99).Draw(m.T, label) < percent
}

// Now reads the clock of the machine.
func (a *machine) Now() time.Time { return a.m.now.Add(a.clockError) }

// Valid implements the lease, which is valid until LeaseTime after the first configuration that was not received.
func (a *machine) Valid(time.Time) bool {
	return len(a.undelivered) == 0 || a.m.now.Before(a.undelivered[0].confirmedAt.Add(subscriber.LeaseTime))
}

func (a *machine) After(d time.Duration) <-chan time.Time {
	a.m.now = a.m.now.Add(d)
	a.m.interleave()
	c := make(chan time.Time, 1)
	c <- a.Now()
	return c
}

func (a *machine) receive() {
	for _, c := range a.undelivered {
		a.directory.Update(a.Now(), c.view)
	}
	a.undelivered = nil
}

func (a *machine) restart() {
	a.clockError = time.Duration(rapid.IntRange(-2500, 2500).Draw(a.m.T, "clock error")) * time.Millisecond
	a.incarnation++
	a.directory = &claimer.Directory{}
	a.owner = &claimer.Owner{StartedAt: a.Now(), Directory: a.directory, Lease: a}
	a.undelivered = []configuration{{confirmedAt: a.m.now, view: a.m.newestView}}
	a.receive()
}

// restartWithHandover restarts the machine as in a planned stop: the new process gets the ledger of the old one, and the history
// of owners from another machine.
func (a *machine) restartWithHandover() {
	ledger, ok := a.owner.Seal(a.Now())
	a.m.now = a.m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(a.m.T, "stop")) * time.Millisecond)
	holder := rapid.SampledFrom(a.m.machines).Draw(a.m.T, "holder")
	if holder == a || !holder.Valid(a.m.now) || !ok {
		a.restart()
		return
	}
	history := holder.directory.History()
	a.restart()
	a.owner.Recovers = true
	require.True(a.m, a.owner.Restore(a.Now(), ledger))
	a.directory.Inherit(a.Now(), *history)
}

// Ask sends a call to each peer: the call is delivered, lost or delayed, or its reply is lost.
func (a *machine) Ask(_ context.Context, peers []claimer.Peer, c claimer.Call) <-chan claimer.OwnerReply {
	replies := make(chan claimer.OwnerReply, len(peers))
	for _, p := range peers {
		i := slices.IndexFunc(a.m.machines, func(o *machine) bool { return o.name == p.Machine })
		handle := func() claimer.Reply { return a.m.machines[i].owner.Handle(a.m.machines[i].Now(), c) }
		switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "lost", "reply lost", "late"}).Draw(a.m.T, "call") {
		case "ok":
			replies <- claimer.OwnerReply{Peer: p, Reply: handle()}
		case "reply lost":
			handle()
		case "late":
			a.m.delayedCalls = append(a.m.delayedCalls, func() { handle() })
		}
		a.m.interleave()
	}
	close(replies)
	return replies
}

// admission grants or refuses a slot without waiting.
type admission struct {
	m *model
	*limiter.Limiter
}

func (a *admission) Enter(now, deadline time.Time) (*limiter.Ticket, error) {
	if a.m.happens(15, "refuse") {
		return nil, limiter.ErrFull
	}
	a.Limiter = &limiter.Limiter{Slots: 1}
	return a.Limiter.Enter(now, deadline)
}

// exchange runs the request, or fails before or after the run.
type exchange struct {
	m       *model
	content byte
}

func (x *exchange) Forward(context.Context) dispatcher.ForwardResult {
	x.m.interleave()
	switch rapid.SampledFrom([]string{"done", "done", "refused", "lost before", "lost after"}).Draw(x.m.T, "passage") {
	case "refused":
		return dispatcher.ForwardResult{Result: limiter.Lost}
	case "lost before":
		return dispatcher.ForwardResult{Reached: true, Result: limiter.Lost}
	case "lost after":
		x.m.run(x.content)
		return dispatcher.ForwardResult{Reached: true, Result: limiter.Lost}
	}
	x.m.run(x.content)
	return dispatcher.ForwardResult{
		Reached: true, AnswerStarted: true, AnswerComplete: true,
		Answer: &claimer.Answer{Status: http.StatusOK, Body: []byte{x.content}},
	}
}

func (m *model) run(content byte) {
	m.runs++
	m.ranContent = content
	require.LessOrEqual(m, m.runs, 1, "the request ran twice")
	require.False(m, m.notRun[content], "the request ran after the outcome not-run")
}

// interleave draws events that happen between two steps of an attempt.
func (m *model) interleave() {
	if m.happens(20, "time passes") {
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 2400, 2600, 20000, 68000}).Draw(m.T, "ms")) * time.Millisecond)
	}
	if m.happens(10, "late call") && len(m.delayedCalls) > 0 {
		call := m.delayedCalls[0]
		m.delayedCalls = m.delayedCalls[1:]
		call()
	}
	if m.happens(5, "restart") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").restart()
	}
	if m.happens(5, "planned restart") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").restartWithHandover()
	}
	if m.happens(5, "change") {
		m.changeOwners()
	}
	if m.happens(20, "configuration arrives") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").receive()
	}
	if m.happens(10, "resend") && m.nestedAttempts < maxNestedAttempts {
		m.attempt()
	}
}

// changeOwners confirms a configuration in which a random set of agents is silent.
func (m *model) changeOwners() {
	m.newestView = registrar.ServiceView{}
	for i, a := range m.machines {
		m.newestView.Upstreams = append(m.newestView.Upstreams, registrar.UpstreamView{
			Upstream: registrar.Upstream{
				Machine: a.name, Silent: m.happens(30, "silent"), Zone: registrar.ZoneName(fmt.Sprintf("johor-%d", i%3)),
			},
			ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000"),
		})
	}
	for _, a := range m.machines {
		a.undelivered = append(a.undelivered, configuration{confirmedAt: m.now, view: m.newestView})
	}
}

// attempt sends the request to a random agent and checks the outcome.
func (m *model) attempt() {
	m.nestedAttempts++
	defer func() { m.nestedAttempts-- }()
	a := rapid.SampledFrom(m.machines).Draw(m.T, "agent")
	content := byte(1)
	if m.happens(10, "other content") {
		content = 2
	}
	incarnation := a.incarnation
	d := &dispatcher.Dispatcher{
		Clock: a, Admission: &admission{m: m}, Budget: &budgeter.Budgeter{}, Claims: a, Directory: a.directory, Lease: a,
		Attempts: func() claimer.Attempt {
			a.attempts++
			return claimer.Attempt{Machine: a.name, Incarnation: incarnation, Number: a.attempts}
		},
	}
	deadline := a.Now().Add(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	decision := d.Dispatch(ctx, dispatcher.Request{
		Class: dispatcher.Claimed, Customer: "estate", Deadline: deadline, Key: m.key, KeyDeadline: m.deadline,
		Digest: claimer.Digest{content},
	}, &exchange{m: m, content: content})
	switch decision.Outcome {
	case dispatcher.Done:
		require.Equal(m, 1, m.runs)
		require.Equal(m, content, m.ranContent, "the answer belongs to other content")
		if decision.StoredAnswer != nil {
			require.Equal(m, []byte{content}, decision.StoredAnswer.Body)
		}
	case dispatcher.NotRun:
		require.False(m, m.runs > 0 && m.ranContent == content, "outcome not-run of a request that ran: %v", decision.Reason)
		m.notRun[content] = true
	}
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, now: time.UnixMilli(1_000_000_000), notRun: map[byte]bool{}}
	for i := range machineCount {
		m.machines = append(m.machines, &machine{m: m, name: registrar.MachineName(fmt.Sprintf("agent-%d", i))})
	}
	m.changeOwners()
	for _, a := range m.machines {
		a.restart()
	}
	if !m.happens(20, "young") {
		m.now = m.now.Add(10 * time.Minute)
	}
	m.deadline = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
	m.key = claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: fmt.Sprintf("%d-job", m.deadline.UnixMilli())}
	return m
}

// TestAtMostOnce guards against a second run of a request, a run after the outcome "not run", and an answer to other content,
// with lost and delayed calls, restarts of agents, clock errors, changes of owners and resends in random order.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			m.attempt()
			m.interleave()
		}
	})
}
