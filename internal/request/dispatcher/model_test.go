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
	machineCount = 5
	maxNesting   = 3
)

// change is a configuration with its time of confirmation.
type change struct {
	at   time.Time
	view registrar.ServiceView
}

// machine is one agent of the model.
type machine struct {
	m         *model
	name      registrar.MachineName
	owner     *claimer.Owner
	directory *claimer.Directory
	// pending are the configurations that have not arrived.
	pending []change
	// offset is the error of the machine's clock.
	offset   time.Duration
	life     registrar.Incarnation
	attempts uint64
}

// model runs attempts of one request on several agents, with every message, restart and change of owners in any order.
type model struct {
	*rapid.T
	now      time.Time
	machines []*machine
	newest   registrar.ServiceView
	late     []func()
	nesting  int
	key      claimer.RequestKey
	deadline time.Time
	// runs counts how often the request ran, and ran is the content that did.
	runs   int
	ran    byte
	notRun map[byte]bool
}

func (m *model) chance(percent int, label string) bool {
	return rapid.IntRange(0, 99).Draw(m.T, label) < percent
}

// Now reads the clock of the machine.
func (a *machine) Now() time.Time { return a.m.now.Add(a.offset) }

// Valid is the lease: it is valid until LeaseTime after the first change that has not arrived.
func (a *machine) Valid(time.Time) bool {
	return len(a.pending) == 0 || a.m.now.Before(a.pending[0].at.Add(subscriber.LeaseTime))
}

func (a *machine) After(d time.Duration) <-chan time.Time {
	a.m.now = a.m.now.Add(d)
	a.m.disturb()
	c := make(chan time.Time, 1)
	c <- a.Now()
	return c
}

func (a *machine) receive() {
	for _, c := range a.pending {
		a.directory.Update(a.Now(), c.view)
	}
	a.pending = nil
}

func (a *machine) restart() {
	a.offset = time.Duration(rapid.IntRange(-2500, 2500).Draw(a.m.T, "clock error")) * time.Millisecond
	a.life++
	a.directory = &claimer.Directory{}
	a.owner = &claimer.Owner{StartedAt: a.Now(), Directory: a.directory, Lease: a}
	a.pending = []change{{at: a.m.now, view: a.m.newest}}
	a.receive()
}

// restartAsPlanned restarts the machine with the ledger of its process and the history of owners at another one.
func (a *machine) restartAsPlanned() {
	l, ok := a.owner.Seal(a.Now())
	a.m.now = a.m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(a.m.T, "stop")) * time.Millisecond)
	holder := rapid.SampledFrom(a.m.machines).Draw(a.m.T, "holder")
	if holder == a || !holder.Valid(a.m.now) || !ok {
		a.restart()
		return
	}
	h := holder.directory.History()
	a.restart()
	a.owner.Recovers = true
	require.True(a.m, a.owner.Restore(a.Now(), l))
	a.directory.Inherit(a.Now(), *h)
}

// Ask delivers a call to each peer, loses it, loses the reply, or delivers it much later.
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
			a.m.late = append(a.m.late, func() { handle() })
		}
		a.m.disturb()
	}
	close(replies)
	return replies
}

// admission grants or refuses at once.
type admission struct {
	m *model
	*limiter.Limiter
}

func (a *admission) Enter(now, deadline time.Time) (*limiter.Ticket, error) {
	if a.m.chance(15, "refuse") {
		return nil, limiter.ErrFull
	}
	a.Limiter = &limiter.Limiter{Slots: 1}
	return a.Limiter.Enter(now, deadline)
}

// exchange runs the request, or fails before or after that.
type exchange struct {
	m       *model
	content byte
}

func (x *exchange) Pass(context.Context) dispatcher.Passage {
	x.m.disturb()
	switch rapid.SampledFrom([]string{"done", "done", "refused", "lost before", "lost after"}).Draw(x.m.T, "passage") {
	case "refused":
		return dispatcher.Passage{Result: limiter.Lost}
	case "lost before":
		return dispatcher.Passage{Reached: true, Result: limiter.Lost}
	case "lost after":
		x.m.run(x.content)
		return dispatcher.Passage{Reached: true, Result: limiter.Lost}
	}
	x.m.run(x.content)
	return dispatcher.Passage{
		Reached: true, Begun: true, Whole: true,
		Answer: &claimer.Answer{Status: http.StatusOK, Body: []byte{x.content}},
	}
}

func (m *model) run(content byte) {
	m.runs++
	m.ran = content
	require.LessOrEqual(m, m.runs, 1, "second run")
	require.False(m, m.notRun[content], "run after a caller was told that the request has not run")
}

// disturb lets other things happen between two steps of an attempt.
func (m *model) disturb() {
	if m.chance(20, "time passes") {
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 2400, 2600, 20000, 68000}).Draw(m.T, "ms")) * time.Millisecond)
	}
	if m.chance(10, "late call") && len(m.late) > 0 {
		call := m.late[0]
		m.late = m.late[1:]
		call()
	}
	if m.chance(5, "restart") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").restart()
	}
	if m.chance(5, "planned restart") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").restartAsPlanned()
	}
	if m.chance(5, "change") {
		m.change()
	}
	if m.chance(20, "configuration arrives") {
		rapid.SampledFrom(m.machines).Draw(m.T, "machine").receive()
	}
	if m.chance(10, "resend") && m.nesting < maxNesting {
		m.attempt()
	}
}

// change takes some agents out of the service or in again.
func (m *model) change() {
	m.newest = registrar.ServiceView{}
	for i, a := range m.machines {
		m.newest.Upstreams = append(m.newest.Upstreams, registrar.UpstreamView{
			Upstream: registrar.Upstream{
				Machine: a.name, Silent: m.chance(30, "silent"), Zone: registrar.ZoneName(fmt.Sprintf("johor-%d", i%3)),
			},
			ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000"),
		})
	}
	for _, a := range m.machines {
		a.pending = append(a.pending, change{at: m.now, view: m.newest})
	}
}

// attempt sends the request to some agent and checks the outcome.
func (m *model) attempt() {
	m.nesting++
	defer func() { m.nesting-- }()
	a := rapid.SampledFrom(m.machines).Draw(m.T, "agent")
	content := byte(1)
	if m.chance(10, "other content") {
		content = 2
	}
	life := a.life
	d := &dispatcher.Dispatcher{
		Clock: a, Admission: &admission{m: m}, Budget: &budgeter.Budgeter{}, Claims: a, Directory: a.directory, Lease: a,
		Attempts: func() claimer.Attempt {
			a.attempts++
			return claimer.Attempt{Machine: a.name, Incarnation: life, Number: a.attempts}
		},
	}
	deadline := a.Now().Add(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := d.Dispatch(ctx, dispatcher.Request{
		Class: dispatcher.Claimed, Customer: "estate", Deadline: deadline, Key: m.key, KeyDeadline: m.deadline,
		Digest: claimer.Digest{content},
	}, &exchange{m: m, content: content})
	switch out.Outcome {
	case dispatcher.Done:
		require.Equal(m, 1, m.runs)
		require.Equal(m, content, m.ran, "answer to other content")
		if out.Stored != nil {
			require.Equal(m, []byte{content}, out.Stored.Body)
		}
	case dispatcher.NotRun:
		require.False(m, m.runs > 0 && m.ran == content, "false not run: %v", out.Reason)
		m.notRun[content] = true
	}
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, now: time.UnixMilli(1_000_000_000), notRun: map[byte]bool{}}
	for i := range machineCount {
		m.machines = append(m.machines, &machine{m: m, name: registrar.MachineName(fmt.Sprintf("agent-%d", i))})
	}
	m.change()
	for _, a := range m.machines {
		a.restart()
	}
	if !m.chance(20, "young") {
		m.now = m.now.Add(10 * time.Minute)
	}
	m.deadline = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
	m.key = claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: fmt.Sprintf("%d-job", m.deadline.UnixMilli())}
	return m
}

// TestAtMostOnce guards the outcomes: with calls lost, delayed and answered late, agents restarted, clocks wrong, owners
// changed and the request resent meanwhile, it runs at most once, "not run" stays true, and an answer belongs to the content
// that ran.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			m.attempt()
			m.disturb()
		}
	})
}
