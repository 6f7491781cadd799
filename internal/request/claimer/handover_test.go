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

// agent is an agent of the model. A restart replaces all fields below name.
type agent struct {
	m           *model
	name        registrar.MachineName
	clockError  time.Duration
	incarnation registrar.Incarnation
	owner       *claimer.Owner
	directory   *claimer.Directory
	holder      *claimer.Holder
	recovery    *claimer.Recovery
	// handover is set once the ledger is sealed and may be handed over. remainingHolders are the agents that have not been asked to
	// hold it.
	handover         *claimer.Handover
	remainingHolders []claimer.Peer
}

// decision records that an owner granted a key to an attempt or voided it.
type decision struct {
	attempt claimer.Attempt
	voided  bool
}

// model runs agents that grant claims, seal, hand over and fetch ledgers, crash and restart in random order, with lost and
// delayed messages.
type model struct {
	*rapid.T
	now     time.Time
	agents  []*agent
	delayed []func()
	// decisions holds the latest decision of each owner about each key.
	decisions map[registrar.MachineName]map[string]decision
	// key and deadline are those of the request that the model currently sends calls for.
	key             string
	deadline        time.Time
	attemptNumber   uint64
	restoredLedgers int
}

func (a *agent) now() time.Time { return a.m.now.Add(a.clockError) }

func (a *agent) restart() {
	a.clockError = time.Duration(rapid.IntRange(-2500, 2500).Draw(a.m.T, "clock error")) * time.Millisecond
	a.incarnation++
	a.directory = &claimer.Directory{}
	a.owner = &claimer.Owner{StartedAt: a.now(), Recovers: true, Directory: a.directory, Lease: fixedLease(true)}
	a.holder = &claimer.Holder{Service: "order-desk", Directory: a.directory, Lease: fixedLease(true)}
	a.recovery = &claimer.Recovery{
		Request: claimer.Fetch{Service: "order-desk", Machine: a.name, Incarnation: a.incarnation, StartedAt: a.now()},
		Owner:   a.owner, Directory: a.directory, Lease: fixedLease(true),
	}
	a.handover, a.remainingHolders = nil, nil
	var v registrar.ServiceView
	for _, other := range a.m.agents {
		u := registrar.UpstreamView{ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000")}
		u.Machine = other.name
		v.Upstreams = append(v.Upstreams, u)
	}
	a.directory.Update(a.now(), v)
}

func (m *model) agent(name registrar.MachineName) *agent {
	for _, a := range m.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

// send delivers a message and its reply, loses one of them, or delays the message. The callback ignores messages to a process
// that has ended.
func (m *model) send(message func(reply bool)) (delivered bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "reply lost", "late", "reply late"}).Draw(m.T, "message") {
	case "ok":
		message(true)
		return true
	case "reply lost":
		message(false)
	case "late":
		m.delayed = append(m.delayed, func() { message(false) })
	case "reply late":
		m.delayed = append(m.delayed, func() { message(true) })
	}
	return false
}

// call sends a call about the key to an owner and checks that the verdict is consistent with the owner's earlier decision.
func (m *model) call(a *agent) {
	if m.now.After(m.deadline) {
		m.changeKey()
	}
	m.attemptNumber++
	c := claimer.Call{
		Kind:    rapid.SampledFrom([]claimer.CallKind{claimer.Claim, claimer.Claim, claimer.Void, claimer.Finish}).Draw(m.T, "kind"),
		Request: claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: m.key}, Deadline: m.deadline,
		Attempt: claimer.Attempt{Machine: a.name, Number: m.attemptNumber},
	}
	earlier, decided := m.decisions[a.name][m.key]
	if decided && rapid.Bool().Draw(m.T, "again") {
		c.Attempt = earlier.attempt
	}
	if c.Kind == claimer.Finish && (!decided || earlier.voided || c.Attempt != earlier.attempt) {
		return
	}
	switch a.owner.Handle(a.now(), c).Verdict {
	case claimer.Granted:
		require.False(m, decided && (earlier.voided || earlier.attempt != c.Attempt), "%s was granted twice by %s", m.key, a.name)
		m.decisions[a.name][m.key] = decision{attempt: c.Attempt}
	case claimer.Voided:
		require.False(m, decided && !earlier.voided && earlier.attempt != c.Attempt, "%s was voided after a grant by %s", m.key, a.name)
		m.decisions[a.name][m.key] = decision{attempt: c.Attempt, voided: true}
	}
}

func (m *model) seal(a *agent) {
	sealedAt := a.now()
	if ledger, ok := a.owner.Seal(sealedAt); ok {
		encoded, err := encoder.LedgerToBytes(ledger)
		require.NoError(m, err)
		a.handover = &claimer.Handover{Service: "order-desk", Machine: a.name, Incarnation: a.incarnation, SealedAt: sealedAt, Ledger: encoded}
		a.remainingHolders = a.directory.Holders(a.name)
	}
	a.holder.Close()
}

// handOver asks the next agent to hold the sealed ledger, unless an earlier one may hold it.
func (m *model) handOver(a *agent) {
	if len(a.remainingHolders) == 0 {
		return
	}
	target, offer := m.agent(a.remainingHolders[0].Machine), *a.handover
	incarnation, verdict := target.incarnation, claimer.HoldUncertain
	m.send(func(reply bool) {
		if target.incarnation != incarnation {
			return
		}
		accepted := target.holder.Hold(target.now(), offer)
		if reply && accepted {
			verdict = claimer.HoldAccepted
		} else if reply {
			verdict = claimer.HoldRefused
		}
	})
	a.remainingHolders = a.remainingHolders[1:]
	if !verdict.MayAskAnother() {
		a.remainingHolders = nil
	}
}

// fetch asks the agents that have not answered for the ledger.
func (m *model) fetch(a *agent) {
	for _, p := range a.recovery.PeersToAsk(a.now()) {
		target, r := m.agent(p.Machine), a.recovery
		incarnation := target.incarnation
		m.send(func(reply bool) {
			if target.incarnation != incarnation {
				return
			}
			fetched := target.holder.Fetch(target.now(), r.Request)
			if fetched.Handover != nil {
				ledger, err := encoder.LedgerFromBytes(fetched.Handover.Ledger)
				require.NoError(m, err)
				fetched.Ledger = &ledger
			}
			if reply && r.HandleAnswer(a.now(), p, fetched) {
				m.restoredLedgers++
			}
		})
	}
	a.recovery.Settle(a.now())
}

// changeKey continues with a new key.
func (m *model) changeKey() {
	m.attemptNumber++
	m.deadline = m.now.Add(time.Duration(rapid.SampledFrom([]int{60, 59, 57, 30}).Draw(m.T, "seconds")) * time.Second)
	m.key = fmt.Sprintf("%d-%d", m.deadline.UnixMilli(), m.attemptNumber)
}

func (m *model) step() {
	// Most events happen at one agent, because a fault needs several events at the same agent.
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
		if len(m.delayed) > 0 {
			i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.T, "which")
			message := m.delayed[i]
			m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
			message()
		}
	case "time":
		ms := rapid.SampledFrom([]int{1, 2600, 2600, 6000, 6000, 20000, 68000}).Draw(m.T, "ms")
		m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	case "key":
		m.changeKey()
	}
}

// TestHandoverModel guards against an owner that grants a key twice, or after a void, because a later process of its machine
// restored a ledger that lacks an earlier grant or void.
func TestHandoverModel(t *testing.T) {
	restoredLedgers := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: start, decisions: map[registrar.MachineName]map[string]decision{}}
		for i := range 3 {
			name := registrar.MachineName(fmt.Sprintf("agent-%d", i))
			m.agents = append(m.agents, &agent{m: m, name: name})
			m.decisions[name] = map[string]decision{}
		}
		for _, a := range m.agents {
			a.restart()
		}
		m.now = m.now.Add(10 * time.Minute)
		m.key, m.deadline = "0-a", m.now.Add(claimer.KeyAhead)
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			m.step()
		}
		restoredLedgers += m.restoredLedgers
	})
	t.Logf("%d ledgers restored", restoredLedgers)
	require.Positive(t, restoredLedgers, "the model restored no ledger")
}

// TestPlannedRestartKeepsClaims guards against losing claims, answers or the history of owners when a ledger is restored, against
// abstaining after it, and against a holder that hands out a ledger twice.
func TestPlannedRestartKeepsClaims(t *testing.T) {
	now := start.Add(10 * time.Minute)
	directory := &claimer.Directory{}
	directory.Update(start, serviceView())
	owner := newOwner()
	finishedClaim, unfinishedClaim := claim("estate", now.Add(40*time.Second), 1), claim("mill", now.Add(40*time.Second), 2)
	require.Equal(t, claimer.Granted, owner.Handle(now, finishedClaim).Verdict)
	require.Equal(t, claimer.Granted, owner.Handle(now, unfinishedClaim).Verdict)
	finish := finishedClaim
	finish.Kind, finish.Answer = claimer.Finish, &claimer.Answer{Status: 200, Body: []byte("job 1")}
	owner.Handle(now, finish)
	ledger, ok := owner.Seal(now)
	require.True(t, ok)
	require.Equal(t, claimer.Abstained, owner.Handle(now, claim("sealed", now.Add(50*time.Second), 3)).Verdict)
	encoded, err := encoder.LedgerToBytes(ledger)
	require.NoError(t, err)
	holder := &claimer.Holder{Service: "order-desk", Directory: directory, Lease: fixedLease(true)}
	require.True(t, holder.Hold(now, claimer.Handover{Service: "order-desk", Machine: "agent-0", Incarnation: 1, SealedAt: now, Ledger: encoded}))

	now = now.Add(3 * time.Second)
	recovery := &claimer.Recovery{
		Request: claimer.Fetch{Service: "order-desk", Machine: "agent-0", Incarnation: 2, StartedAt: now},
		Owner:   &claimer.Owner{StartedAt: now, Recovers: true, Directory: &claimer.Directory{}, Lease: fixedLease(true)}, Lease: fixedLease(true),
	}
	recovery.Directory = recovery.Owner.Directory
	recovery.Directory.Update(now, serviceView())
	require.Equal(t, claimer.Abstained, recovery.Owner.Handle(now, claim("early", now.Add(40*time.Second), 4)).Verdict)
	fetched, err := encoder.FetchedFromMessage(encoder.FetchedToMessage(holder.Fetch(now, recovery.Request)))
	require.NoError(t, err)
	require.True(t, recovery.HandleAnswer(now, claimer.Peer{Machine: "agent-1"}, fetched))
	require.Equal(t, claimer.FetchNone, holder.Fetch(now, recovery.Request).Verdict, "the ledger was handed out twice")
	resend := claim("estate", finishedClaim.Deadline, 5)
	require.Equal(t, "job 1", string(recovery.Owner.Handle(now, resend).Answer.Body))
	require.Equal(t, claimer.Held, recovery.Owner.Handle(now, claim("mill", unfinishedClaim.Deadline, 6)).Verdict)
	require.Equal(t, claimer.Granted, recovery.Owner.Handle(now, claim("new", now.Add(40*time.Second), 7)).Verdict)
	sets, known := recovery.Directory.Sets(resend.Request, resend.Deadline)
	require.True(t, known, "earlier owners are unknown")
	require.Len(t, sets, 1)
}

// TestSecondStopNeedNotWait guards against sets of two owners in a service with three agents: after one agent was restarted, the
// next one can stop at once only if no set needs all its remaining owners.
func TestSecondStopNeedNotWait(t *testing.T) {
	threeAgents := func(draining int) registrar.ServiceView {
		v := serviceView()
		v.Upstreams = v.Upstreams[:3]
		if draining >= 0 {
			v.Upstreams[draining].Draining = true
		}
		return v
	}
	d := &claimer.Directory{}
	for i, draining := range []int{-1, 0, -1, 1} {
		d.Update(start.Add(time.Duration(i)*time.Second), threeAgents(draining))
	}
	sets, _ := d.Sets(claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: "k"}, start.Add(60*time.Second))
	for _, s := range sets {
		require.Len(t, s, claimer.OwnerCount)
	}
}

// TestHolderRefuses guards against handing out a ledger if a later process has already asked for one, if the ledger was fetched
// before, is too old or belongs to another service, or if the holder is closed or has no lease.
func TestHolderRefuses(t *testing.T) {
	fetch := func(incarnation registrar.Incarnation, elapsed time.Duration) claimer.Fetch {
		return claimer.Fetch{Service: "order-desk", Machine: "agent-0", Incarnation: incarnation, StartedAt: start.Add(elapsed)}
	}
	sealed := claimer.Handover{Service: "order-desk", Machine: "agent-0", Incarnation: 1, SealedAt: start}
	otherService := sealed
	otherService.Service = "catalogue"
	for _, c := range []struct {
		name     string
		lease    bool
		offer    claimer.Handover
		before   func(h *claimer.Holder)
		after    func(h *claimer.Holder)
		elapsed  time.Duration
		accepted bool
		want     claimer.FetchVerdict
	}{
		{name: "next process", lease: true, offer: sealed, accepted: true, want: claimer.FetchGiven},
		{name: "fetched already", lease: true, offer: sealed, accepted: true, want: claimer.FetchNone, after: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchGiven, h.Fetch(start.Add(time.Second), fetch(2, time.Second)).Verdict)
		}},
		{name: "sealed before a later start", lease: true, offer: sealed, want: claimer.FetchNone, before: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchNone, h.Fetch(start.Add(time.Second), fetch(2, time.Second)).Verdict)
		}},
		{name: "request of an earlier process arrives late", lease: true, offer: sealed, accepted: true, want: claimer.FetchRefused, after: func(h *claimer.Holder) {
			require.Equal(t, claimer.FetchGiven, h.Fetch(start.Add(time.Second), fetch(3, time.Minute)).Verdict)
		}},
		{name: "sealed after the start", lease: true, offer: sealed, accepted: true, elapsed: -claimer.ClockError - 10*time.Second, want: claimer.FetchNone},
		{name: "too old", lease: true, offer: sealed, accepted: true, elapsed: claimer.HoldTime, want: claimer.FetchNone},
		{name: "another service", lease: true, offer: otherService, want: claimer.FetchNone},
		{name: "holder closed", lease: true, offer: sealed, want: claimer.FetchNone, before: (*claimer.Holder).Close},
		{name: "no lease", offer: sealed, want: claimer.FetchRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &claimer.Directory{}
			d.Update(start, serviceView())
			h := &claimer.Holder{Service: "order-desk", Directory: d, Lease: fixedLease(c.lease)}
			if c.before != nil {
				c.before(h)
			}
			require.Equal(t, c.accepted, h.Hold(start.Add(time.Second), c.offer))
			if c.after != nil {
				c.after(h)
			}
			elapsed := c.elapsed + 2*time.Second
			require.Equal(t, c.want, h.Fetch(start.Add(elapsed), fetch(4, elapsed)).Verdict)
		})
	}
}

// TestRecoveryWaitsForAll guards against a process that grants claims while an unreachable agent may hold a ledger for a later
// process, against a ledger sealed by a process that still waits, and against a second holder of a ledger.
func TestRecoveryWaitsForAll(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered int
		elapsed  time.Duration
		want     claimer.Verdict
	}{
		{"all have answered", 5, 10 * time.Second, claimer.Granted},
		{"configuration may be older than the start", 5, 2 * time.Second, claimer.Abstained},
		{"one has not answered", 4, 10 * time.Second, claimer.Abstained},
		{"no agent hands out ledgers", 4, claimer.HoldTime + 2*claimer.ClockError + time.Second, claimer.Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &claimer.Owner{StartedAt: start, Recovers: true, Directory: &claimer.Directory{}, Lease: fixedLease(true)}
			o.Directory.Update(start, serviceView(1, 2))
			r := &claimer.Recovery{
				Request: claimer.Fetch{Machine: "agent-0", StartedAt: start}, Owner: o, Directory: o.Directory, Lease: o.Lease,
			}
			for _, p := range r.PeersToAsk(start)[:c.answered] {
				r.HandleAnswer(start, p, claimer.Fetched{Verdict: claimer.FetchNone})
			}
			now := start.Add(c.elapsed)
			require.Equal(t, c.want == claimer.Granted, r.Settle(now))
			require.Equal(t, c.want, o.Handle(now, claim("estate", now.Add(claimer.KeyAhead), 1)).Verdict)
			_, ok := o.Seal(now)
			require.Equal(t, c.want == claimer.Granted, ok)
		})
	}
	require.False(t, claimer.HoldUncertain.MayAskAnother())
}

// TestMain raises the number of rapid checks, because a fault of the handover needs five or more events in a certain order.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2000")
	}
	os.Exit(m.Run())
}
