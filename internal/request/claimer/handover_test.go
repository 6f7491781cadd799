package claimer_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// agent is one agent of the model. A new process replaces all fields below name.
type agent struct {
	m         *handovers
	name      registrar.MachineName
	offset    time.Duration
	life      registrar.Incarnation
	owner     *claimer.Owner
	directory *claimer.Directory
	holder    *claimer.Holder
	recovery  *claimer.Recovery
	// handover is set once the ledger is sealed and may be handed over; peers are the agents that have not been asked.
	handover *claimer.Handover
	peers    []claimer.Peer
}

// promise is what an owner has promised about a key.
type promise struct {
	attempt claimer.Attempt
	voided  bool
}

// handovers is a model of agents that grant claims, seal, hand over, fetch, crash and restart in any order, with messages lost
// or delivered late.
type handovers struct {
	*rapid.T
	now      time.Time
	agents   []*agent
	late     []func()
	promises map[registrar.MachineName]map[string]promise
	// key is the request that the calls are about.
	key      string
	deadline time.Time
	number   uint64
	restored int
}

func (a *agent) now() time.Time { return a.m.now.Add(a.offset) }

func (a *agent) restart() {
	a.offset = time.Duration(rapid.IntRange(-2500, 2500).Draw(a.m.T, "clock error")) * time.Millisecond
	a.life++
	a.directory = &claimer.Directory{}
	a.owner = &claimer.Owner{StartedAt: a.now(), Recovers: true, Directory: a.directory, Lease: always(true)}
	a.holder = &claimer.Holder{Service: "order-desk", Directory: a.directory, Lease: always(true)}
	a.recovery = &claimer.Recovery{
		Question: claimer.Fetch{Service: "order-desk", Machine: a.name, Incarnation: a.life, StartedAt: a.now()},
		Owner:    a.owner, Directory: a.directory, Lease: always(true),
	}
	a.handover, a.peers = nil, nil
	var v registrar.ServiceView
	for _, o := range a.m.agents {
		u := registrar.UpstreamView{ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000")}
		u.Machine = o.name
		v.Upstreams = append(v.Upstreams, u)
	}
	a.directory.Update(a.now(), v)
}

func (m *handovers) agent(name registrar.MachineName) *agent {
	for _, a := range m.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

// send delivers a message and its reply, loses one of them, or delivers the message much later. A process that has ended gets
// none, which the caller sees to.
func (m *handovers) send(message func(reply bool)) (delivered bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "reply lost", "late", "reply late"}).Draw(m.T, "message") {
	case "ok":
		message(true)
		return true
	case "reply lost":
		message(false)
	case "late":
		m.late = append(m.late, func() { message(false) })
	case "reply late":
		m.late = append(m.late, func() { message(true) })
	}
	return false
}

// call asks an owner about the key and checks its promises.
func (m *handovers) call(a *agent) {
	if m.now.After(m.deadline) {
		m.renew()
	}
	m.number++
	c := claimer.Call{
		Kind:    rapid.SampledFrom([]claimer.CallKind{claimer.Claim, claimer.Claim, claimer.Void, claimer.Finish}).Draw(m.T, "kind"),
		Request: claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: m.key}, Deadline: m.deadline,
		Attempt: claimer.Attempt{Machine: a.name, Number: m.number},
	}
	old, promised := m.promises[a.name][m.key]
	if promised && rapid.Bool().Draw(m.T, "again") {
		c.Attempt = old.attempt
	}
	if c.Kind == claimer.Finish && (!promised || old.voided || c.Attempt != old.attempt) {
		return
	}
	switch a.owner.Handle(a.now(), c).Verdict {
	case claimer.Granted:
		require.False(m, promised && (old.voided || old.attempt != c.Attempt), "second grant of %s by %s", m.key, a.name)
		m.promises[a.name][m.key] = promise{attempt: c.Attempt}
	case claimer.Voided:
		require.False(m, promised && !old.voided && old.attempt != c.Attempt, "void of %s, which %s has granted", m.key, a.name)
		m.promises[a.name][m.key] = promise{attempt: c.Attempt, voided: true}
	}
}

func (m *handovers) seal(a *agent) {
	at := a.now()
	if l, ok := a.owner.Seal(at); ok {
		b, err := encoder.LedgerToBytes(l)
		require.NoError(m, err)
		a.handover = &claimer.Handover{Service: "order-desk", Machine: a.name, Incarnation: a.life, SealedAt: at, Ledger: b}
		a.peers = a.directory.Holders(a.name)
	}
	a.holder.Close()
}

// handOver asks one more agent to hold the sealed ledger, unless an earlier one may hold it.
func (m *handovers) handOver(a *agent) {
	if len(a.peers) == 0 {
		return
	}
	to, o := m.agent(a.peers[0].Machine), *a.handover
	life, v := to.life, claimer.HoldUncertain
	m.send(func(reply bool) {
		if to.life != life {
			return
		}
		held := to.holder.Hold(to.now(), o)
		if reply && held {
			v = claimer.HoldAccepted
		} else if reply {
			v = claimer.HoldRefused
		}
	})
	a.peers = a.peers[1:]
	if !v.Another() {
		a.peers = nil
	}
}

// fetch asks the agents that have not answered.
func (m *handovers) fetch(a *agent) {
	for _, p := range a.recovery.Ask(a.now()) {
		to, r := m.agent(p.Machine), a.recovery
		life := to.life
		m.send(func(reply bool) {
			if to.life != life {
				return
			}
			f := to.holder.Fetch(to.now(), r.Question)
			if f.Handover != nil {
				l, err := encoder.LedgerFromBytes(f.Handover.Ledger)
				require.NoError(m, err)
				f.Ledger = &l
			}
			if reply && r.Heard(a.now(), p, f) {
				m.restored++
			}
		})
	}
	a.recovery.Settle(a.now())
}

// renew goes on with another key.
func (m *handovers) renew() {
	m.number++
	m.deadline = m.now.Add(time.Duration(rapid.SampledFrom([]int{60, 59, 57, 30}).Draw(m.T, "seconds")) * time.Second)
	m.key = fmt.Sprintf("%d-%d", m.deadline.UnixMilli(), m.number)
}

func (m *handovers) step() {
	// One agent has most of the events, because a fault needs several of them at one agent.
	a := m.agents[max(0, rapid.IntRange(-2, 2).Draw(m.T, "agent"))]
	switch rapid.SampledFrom([]string{
		"call", "call", "call", "call", "call", "fetch", "fetch", "fetch", "seal", "hand over", "stop", "stop", "crash", "late", "time", "time", "key",
	}).Draw(m.T, "step") {
	case "call":
		m.call(a)
	case "fetch":
		m.fetch(a)
	case "seal":
		m.seal(a)
	case "hand over":
		m.handOver(a)
	case "stop":
		m.seal(a)
		m.handOver(a)
		m.handOver(a)
		a.restart()
	case "crash":
		a.restart()
	case "late":
		if len(m.late) > 0 {
			i := rapid.IntRange(0, len(m.late)-1).Draw(m.T, "which")
			message := m.late[i]
			m.late = append(m.late[:i:i], m.late[i+1:]...)
			message()
		}
	case "time":
		ms := rapid.SampledFrom([]int{1, 2600, 2600, 6000, 6000, 20000, 68000}).Draw(m.T, "ms")
		m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	case "key":
		m.renew()
	}
}

// TestHandoverModel guards against an owner that grants a key twice or breaks a void because a later process of its machine
// restored a ledger that does not hold everything promised before it.
func TestHandoverModel(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &handovers{T: t, now: start, promises: map[registrar.MachineName]map[string]promise{}}
		for i := range 3 {
			name := registrar.MachineName(fmt.Sprintf("agent-%d", i))
			m.agents = append(m.agents, &agent{m: m, name: name})
			m.promises[name] = map[string]promise{}
		}
		for _, a := range m.agents {
			a.restart()
		}
		m.now = m.now.Add(10 * time.Minute)
		m.key, m.deadline = "0-a", m.now.Add(claimer.KeyAhead)
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			m.step()
		}
		restored += m.restored
	})
	t.Logf("%d ledgers restored", restored)
	require.Positive(t, restored, "the model restores no ledger")
}

// TestPlannedRestartKeepsClaims guards that a ledger which arrives brings claims, answers and the memory of owners back, so that
// the next process need not abstain, and that the holder gives it away once.
func TestPlannedRestartKeepsClaims(t *testing.T) {
	now := start.Add(10 * time.Minute)
	d := &claimer.Directory{}
	d.Update(start, view())
	o := newOwner()
	done, open := claim("estate", now.Add(40*time.Second), 1), claim("mill", now.Add(40*time.Second), 2)
	require.Equal(t, claimer.Granted, o.Handle(now, done).Verdict)
	require.Equal(t, claimer.Granted, o.Handle(now, open).Verdict)
	finish := done
	finish.Kind, finish.Answer = claimer.Finish, &claimer.Answer{Status: 200, Body: []byte("job 1")}
	o.Handle(now, finish)
	l, ok := o.Seal(now)
	require.True(t, ok)
	require.Equal(t, claimer.Abstained, o.Handle(now, claim("sealed", now.Add(50*time.Second), 3)).Verdict)
	b, err := encoder.LedgerToBytes(l)
	require.NoError(t, err)
	h := &claimer.Holder{Service: "order-desk", Directory: d, Lease: always(true)}
	require.True(t, h.Hold(now, claimer.Handover{Service: "order-desk", Machine: "agent-0", Incarnation: 1, SealedAt: now, Ledger: b}))

	now = now.Add(3 * time.Second)
	r := &claimer.Recovery{
		Question: claimer.Fetch{Service: "order-desk", Machine: "agent-0", Incarnation: 2, StartedAt: now},
		Owner:    &claimer.Owner{StartedAt: now, Recovers: true, Directory: &claimer.Directory{}, Lease: always(true)}, Lease: always(true),
	}
	r.Directory = r.Owner.Directory
	r.Directory.Update(now, view())
	require.Equal(t, claimer.Abstained, r.Owner.Handle(now, claim("early", now.Add(40*time.Second), 4)).Verdict)
	f, err := encoder.FetchedFromMessage(encoder.FetchedToMessage(h.Fetch(now, r.Question)))
	require.NoError(t, err)
	require.True(t, r.Heard(now, claimer.Peer{Machine: "agent-1"}, f))
	require.Equal(t, claimer.FetchNone, h.Fetch(now, r.Question).Verdict, "given away twice")
	again := claim("estate", done.Deadline, 5)
	require.Equal(t, "job 1", string(r.Owner.Handle(now, again).Answer.Body))
	require.Equal(t, claimer.Held, r.Owner.Handle(now, claim("mill", open.Deadline, 6)).Verdict)
	require.Equal(t, claimer.Granted, r.Owner.Handle(now, claim("new", now.Add(40*time.Second), 7)).Verdict)
	sets, known := r.Directory.Sets(again.Request, again.Deadline)
	require.True(t, known, "earlier owners are forgotten")
	require.Len(t, sets, 1)
}

// TestSecondStopWaitsForNone guards the sets of owners of a service with three agents: after one was stopped and has come back,
// the next one may stop at once, because no set needs it.
func TestSecondStopWaitsForNone(t *testing.T) {
	three := func(draining int) registrar.ServiceView {
		v := view()
		v.Upstreams = v.Upstreams[:3]
		if draining >= 0 {
			v.Upstreams[draining].Draining = true
		}
		return v
	}
	d := &claimer.Directory{}
	for i, draining := range []int{-1, 0, -1, 1} {
		d.Update(start.Add(time.Duration(i)*time.Second), three(draining))
	}
	sets, _ := d.Sets(claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: "k"}, start.Add(60*time.Second))
	for _, s := range sets {
		require.Len(t, s, claimer.OwnerCount)
	}
}

// TestHolderRefuses guards against a ledger that is given to a process which it does not fit: one that another process has come
// before, one that was fetched already, and one that is too old, of another service, or accepted by an agent about to end.
func TestHolderRefuses(t *testing.T) {
	fetch := func(life registrar.Incarnation, at time.Duration) claimer.Fetch {
		return claimer.Fetch{Service: "order-desk", Machine: "agent-0", Incarnation: life, StartedAt: start.Add(at)}
	}
	sealed := claimer.Handover{Service: "order-desk", Machine: "agent-0", Incarnation: 1, SealedAt: start}
	other := sealed
	other.Service = "catalogue"
	for _, c := range []struct {
		name   string
		lease  bool
		offer  claimer.Handover
		before func(h *claimer.Holder)
		after  func(h *claimer.Holder)
		at     time.Duration
		held   bool
		want   claimer.FetchVerdict
	}{
		{name: "next process", lease: true, offer: sealed, held: true, want: claimer.FetchGiven},
		{name: "fetched already", lease: true, offer: sealed, held: true, want: claimer.FetchNone, after: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchGiven, h.Fetch(start.Add(time.Second), fetch(2, time.Second)).Verdict)
		}},
		{name: "sealed before a later start", lease: true, offer: sealed, want: claimer.FetchNone, before: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchNone, h.Fetch(start.Add(time.Second), fetch(2, time.Second)).Verdict)
		}},
		{name: "question of an earlier process arrives late", lease: true, offer: sealed, held: true, want: claimer.FetchRefused, after: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchGiven, h.Fetch(start.Add(time.Second), fetch(3, time.Minute)).Verdict)
		}},
		{name: "sealed after the start", lease: true, offer: sealed, held: true, at: -claimer.ClockError - 10*time.Second, want: claimer.FetchNone},
		{name: "too old", lease: true, offer: sealed, held: true, at: claimer.HoldTime, want: claimer.FetchNone},
		{name: "another service", lease: true, offer: other, want: claimer.FetchNone},
		{name: "about to end", lease: true, offer: sealed, want: claimer.FetchNone, before: (*claimer.Holder).Close},
		{name: "no lease", offer: sealed, want: claimer.FetchRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &claimer.Directory{}
			d.Update(start, view())
			h := &claimer.Holder{Service: "order-desk", Directory: d, Lease: always(c.lease)}
			if c.before != nil {
				c.before(h)
			}
			require.Equal(t, c.held, h.Hold(start.Add(time.Second), c.offer))
			if c.after != nil {
				c.after(h)
			}
			at := c.at + 2*time.Second
			require.Equal(t, c.want, h.Fetch(start.Add(at), fetch(4, at)).Verdict)
		})
	}
}

// TestRecoveryWaitsForAll guards against a process that grants claims while an agent out of reach may hold a ledger for a later
// process, and against a ledger that such a process or a second holder hands on.
func TestRecoveryWaitsForAll(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered int
		at       time.Duration
		want     claimer.Verdict
	}{
		{"all have answered", 5, 10 * time.Second, claimer.Granted},
		{"configuration may be older than the start", 5, 2 * time.Second, claimer.Abstained},
		{"one has not answered", 4, 10 * time.Second, claimer.Abstained},
		{"none gives ledgers any more", 4, claimer.HoldTime + 2*claimer.ClockError + time.Second, claimer.Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &claimer.Owner{StartedAt: start, Recovers: true, Directory: &claimer.Directory{}, Lease: always(true)}
			o.Directory.Update(start, view(1, 2))
			r := &claimer.Recovery{
				Question: claimer.Fetch{Machine: "agent-0", StartedAt: start}, Owner: o, Directory: o.Directory, Lease: o.Lease,
			}
			for _, p := range r.Ask(start)[:c.answered] {
				r.Heard(start, p, claimer.Fetched{Verdict: claimer.FetchNone})
			}
			now := start.Add(c.at)
			require.Equal(t, c.want == claimer.Granted, r.Settle(now))
			require.Equal(t, c.want, o.Handle(now, claim("estate", now.Add(claimer.KeyAhead), 1)).Verdict)
			_, ok := o.Seal(now)
			require.Equal(t, c.want == claimer.Granted, ok)
		})
	}
	require.False(t, claimer.HoldUncertain.Another())
}

// TestMain lengthens the runs of rapid, because a fault of the handover takes five or more events in order.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2000")
	}
	os.Exit(m.Run())
}
