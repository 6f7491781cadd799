package admitter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var (
	start      = time.Unix(1000, 0)
	entry      = netip.MustParseAddrPort("10.0.0.1:7720")
	other      = netip.MustParseAddrPort("10.0.0.2:7720")
	upstreamAt = netip.MustParseAddrPort("10.0.0.9:8165")
	address    = netip.MustParseAddrPort("198.18.0.1:443")
	desk       = carrier.HopHeader{Kind: carrier.HopPass, Service: carrier.TagOf("desk")}
)

// newAdmitter returns an agent that has run for as long as any flow may last, beside an upstream that has checked in.
func newAdmitter(t require.TestingT) *Admitter {
	a := &Admitter{
		Service: "desk", Zone: "a", Address: upstreamAt, ColdFactor: 1.5, ColdSlack: 5, MaxFlowAge: time.Minute,
		StartedAt: start.Add(-time.Hour),
	}
	require.NoError(t, a.CheckIn(start, checkIn("i-1", 1)))
	return a
}

func checkIn(name string, sequence uint64) CheckIn {
	return CheckIn{Start: Start{Name: name, BornMilli: 1}, Service: "desk", Address: upstreamAt, Slots: 2, Sequence: sequence}
}

func caller(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
}

func fromCaller(port int, flags carrier.SegmentFlags) *carrier.Segment {
	return &carrier.Segment{From: caller(port), To: address, Flags: flags}
}

func fromUpstream(port int, flags carrier.SegmentFlags) *carrier.Segment {
	return &carrier.Segment{From: address, To: caller(port), Flags: flags}
}

func (a *Admitter) offer(now time.Time, port int) Action {
	return a.FromEntry(now, entry, desk, fromCaller(port, carrier.Open), []byte{1})
}

// openFlow opens a flow and lets the caller send a request.
func (a *Admitter) openFlow(t require.TestingT, now time.Time, port int) {
	require.Equal(t, Deliver, a.offer(now, port).Verb)
	require.Equal(t, Answer, a.FromUpstream(now, fromUpstream(port, carrier.Open|carrier.Acknowledge), false).Verb)
	request := fromCaller(port, carrier.Acknowledge)
	request.Sequence, request.Payload = 1, []byte("GET")
	act := a.FromEntry(now, entry, desk, request, nil)
	require.Equal(t, Deliver, act.Verb)
	require.True(t, act.Begun)
}

// TestRefusals guards against new flows for an upstream that must not get them.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(a *Admitter)
		header  carrier.HopHeader
		reason  carrier.ReturnReason
	}{
		"other service": {
			header: carrier.HopHeader{Kind: carrier.HopPass, Service: carrier.TagOf("catalogue")}, reason: carrier.ReturnService,
		},
		"draining": {prepare: func(a *Admitter) {
			c := checkIn("i-1", 2)
			c.Draining = true
			require.NoError(t, a.CheckIn(start, c))
		}, header: desk, reason: carrier.ReturnClosed},
		"ended":       {prepare: func(a *Admitter) { a.Leave("i-1") }, header: desk, reason: carrier.ReturnClosed},
		"agent stops": {prepare: func(a *Admitter) { a.Stop() }, header: desk, reason: carrier.ReturnClosed},
		"zone withdrawn": {prepare: func(a *Admitter) {
			w := registrar.NewWorld()
			require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: []registrar.Change{
				{Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "a", Region: "r", Withdrawn: true}},
			}}))
			a.Update(w)
		}, header: desk, reason: carrier.ReturnClosed},
		"drains and then claims to be ready": {prepare: func(a *Admitter) {
			c := checkIn("i-1", 2)
			c.Draining = true
			require.NoError(t, a.CheckIn(start, c))
			require.NoError(t, a.CheckIn(start, checkIn("i-1", 3)))
		}, header: desk, reason: carrier.ReturnClosed},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAdmitter(t)
			if c.prepare != nil {
				c.prepare(a)
			}
			act := a.FromEntry(start, entry, c.header, fromCaller(1, carrier.Open), []byte{1})
			require.Equal(t, Return, act.Verb)
			require.Equal(t, entry, act.Entry)
			require.Equal(t, c.reason, act.Header.Reason)
			require.False(t, a.Report(start).Accepting && c.header == desk)
		})
	}
	a := &Admitter{Service: "desk", Address: upstreamAt}
	require.Equal(t, carrier.ReturnClosed, a.offer(start, 1).Header.Reason, "no check-in yet")
}

// TestCheckIns guards against check-ins of other writers, of an ended start or of an earlier time that change what is known.
func TestCheckIns(t *testing.T) {
	for name, spoil := range map[string]func(c *CheckIn){
		"other service": func(c *CheckIn) { c.Service = "catalogue" },
		"other address": func(c *CheckIn) { c.Address = netip.MustParseAddrPort("10.0.0.8:8165") },
		"no slots":      func(c *CheckIn) { c.Slots = 0 },
	} {
		a := newAdmitter(t)
		c := checkIn("i-2", 9)
		c.Draining = true
		spoil(&c)
		require.ErrorIs(t, a.CheckIn(start, c), ErrCheckIn, name)
		require.True(t, a.Report(start).Accepting, name)
	}
	a := newAdmitter(t)
	require.NoError(t, a.CheckIn(start, checkIn("i-1", 5)))
	late := checkIn("i-1", 4)
	late.Draining = true
	require.NoError(t, a.CheckIn(start, late))
	require.True(t, a.Report(start).Accepting, "a late check-in counts")
	require.NoError(t, a.CheckIn(start, checkIn("i-2", 1)))
	ended := checkIn("i-1", 6)
	ended.Draining = true
	require.ErrorIs(t, a.CheckIn(start, ended), ErrCheckIn, "a check-in of an ended start counts")
	require.True(t, a.Report(start).Accepting)
	// The same name may start again.
	again := checkIn("i-2", 1)
	again.BornMilli++
	require.NoError(t, a.CheckIn(start, again))
	a.Leave("i-1")
	require.True(t, a.Report(start).Accepting, "an ended start leaves in the name of the present one")
}

// TestColdRate guards against more new flows for a cold upstream than it bears in any second, whatever the moments at which
// entries offer them, also when only a lost flow tells that it has started again.
func TestColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdmitter(t)
		now := start
		rate := float64(rapid.IntRange(0, 8).Draw(t, "rate"))
		a.upstream.configure(false, rate)
		if rapid.Bool().Draw(t, "announced") {
			c := checkIn("i-2", 1)
			c.Cold = 60_000
			require.NoError(t, a.CheckIn(now, c))
		} else {
			a.openFlow(t, now, 1)
			now = now.Add(2 * coldWindow)
			lost := fromCaller(1, carrier.Acknowledge|carrier.Returned)
			require.Equal(t, carrier.ReturnUnknown, a.FromUpstream(now, lost, false).Header.Reason)
		}
		var taken []time.Time
		for port := 2; port < 200; port++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			if a.offer(now, port).Verb == Deliver {
				taken = append(taken, now)
				a.FromUpstream(now, fromUpstream(port, carrier.Open|carrier.Acknowledge), false)
			}
		}
		bound := int(rate*a.ColdFactor) + int(a.ColdSlack)
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, bound)
		}
		require.NotEmpty(t, taken, "a cold upstream gets nothing at all")
	})
}

// TestReturnedZone guards against full load for an upstream that turned cold while its zone was taken out.
func TestReturnedZone(t *testing.T) {
	a := newAdmitter(t)
	a.upstream.configure(true, 0)
	a.upstream.configure(false, 0)
	require.True(t, a.Report(start).Cold)
	require.NoError(t, a.CheckIn(start, checkIn("i-1", 2)))
	require.False(t, a.Report(start).Cold)
}

// TestSilentUpstream guards against callers that wait at an upstream which has ended without a word, and against an upstream
// that stays out although it answers again.
func TestSilentUpstream(t *testing.T) {
	a := newAdmitter(t)
	require.Equal(t, Deliver, a.offer(start, 1).Verb)
	require.Empty(t, a.Tick(start.Add(openTime)))
	later := start.Add(openTime + time.Millisecond)
	overdue := a.Tick(later)
	require.Len(t, overdue, 1)
	require.Equal(t, carrier.ReturnSilent, overdue[0].Header.Reason)
	require.Equal(t, []byte{1}, overdue[0].Packet)
	require.False(t, a.Report(later).Accepting)
	require.Zero(t, a.Report(later).Busy)
	require.Equal(t, carrier.ReturnSilent, a.offer(later, 2).Header.Reason)
	require.Equal(t, Answer, a.FromUpstream(later, fromUpstream(1, carrier.Open|carrier.Acknowledge), false).Verb)
	require.True(t, a.Report(later).Accepting)
}

// TestRefusedByUpstream guards against a flow that ends although another upstream could take it.
func TestRefusedByUpstream(t *testing.T) {
	a := newAdmitter(t)
	a.offer(start, 1)
	act := a.FromUpstream(start, fromCaller(1, carrier.Open|carrier.Returned), false)
	require.Equal(t, Return, act.Verb)
	require.Equal(t, entry, act.Entry)
	require.Equal(t, carrier.ReturnRefused, act.Header.Reason)
	require.Zero(t, a.Report(start).Busy)
}

// TestUnknownFlow guards against an agent that keeps packets of a flow which another upstream holds.
func TestUnknownFlow(t *testing.T) {
	a := newAdmitter(t)
	search := carrier.HopHeader{Kind: carrier.HopPass, Service: desk.Service, Step: 2, Searching: true}
	act := a.FromEntry(start, entry, search, fromCaller(1, carrier.Acknowledge), nil)
	require.Equal(t, Return, act.Verb)
	require.Equal(t, carrier.HopHeader{Kind: carrier.HopReturn, Step: 2, Searching: true, Reason: carrier.ReturnUnknown}, act.Header)
}

// TestRestartedAgent guards against flows that a restart of the agent cuts: the upstream says which ones it holds.
func TestRestartedAgent(t *testing.T) {
	a := newAdmitter(t)
	a.StartedAt = start
	search := carrier.HopHeader{Kind: carrier.HopPass, Service: desk.Service, Step: 1, Searching: true}
	for port := 1; port <= 2; port++ {
		require.Equal(t, Deliver, a.FromEntry(start, entry, search, fromCaller(port, carrier.Acknowledge), nil).Verb)
	}
	held := a.FromUpstream(start, fromUpstream(1, carrier.Acknowledge), false)
	require.Equal(t, Answer, held.Verb)
	require.True(t, held.Held)
	require.Equal(t, entry, held.Entry)
	lost := a.FromUpstream(start, fromCaller(2, carrier.Acknowledge|carrier.Returned), false)
	require.Equal(t, Return, lost.Verb)
	require.Equal(t, uint8(1), lost.Header.Step)
	// Another entry that searches learns at once.
	act := a.FromEntry(start, other, search, fromCaller(1, carrier.Acknowledge), nil)
	require.True(t, act.Held)
	require.Equal(t, other, act.Entry)
	require.Equal(t, Return, a.FromEntry(start, other, search, fromCaller(2, carrier.Acknowledge), nil).Verb)
}

// TestBusy guards against a report that entries would place by wrongly: a flow counts from its acceptance to its answer, once,
// whatever is sent again.
func TestBusy(t *testing.T) {
	a := newAdmitter(t)
	a.openFlow(t, start, 1)
	a.openFlow(t, start, 2)
	require.Equal(t, uint16(2), a.Report(start).Busy)
	again := fromCaller(1, carrier.Acknowledge)
	again.Sequence, again.Payload = 1, []byte("GET")
	require.False(t, a.FromEntry(start, entry, desk, again, nil).Begun, "a retransmission begins another request")
	answer := fromUpstream(1, carrier.Acknowledge)
	answer.Payload = []byte("200")
	act := a.FromUpstream(start.Add(20*time.Millisecond), answer, false)
	require.Equal(t, 20*time.Millisecond, act.Ended)
	require.Zero(t, a.FromUpstream(start.Add(21*time.Millisecond), answer, false).Ended)
	require.Equal(t, uint16(1), a.Report(start).Busy)
	require.Equal(t, uint32(20_000), a.Report(start).WorkMicros)
	a.FromUpstream(start, fromUpstream(2, carrier.End), false)
	require.Zero(t, a.Report(start).Busy)
	// An accepted flow without a request does not count for ever.
	a.offer(start, 3)
	a.FromUpstream(start, fromUpstream(3, carrier.Open|carrier.Acknowledge), false)
	require.Equal(t, uint16(1), a.Report(start).Busy)
	a.Tick(start.Add(pendingTime + time.Millisecond))
	require.Zero(t, a.Report(start).Busy)
}

// TestNewStart guards against work of an ended start that counts for the next one.
func TestNewStart(t *testing.T) {
	a := newAdmitter(t)
	a.openFlow(t, start, 1)
	require.NoError(t, a.CheckIn(start, checkIn("i-2", 1)))
	require.Zero(t, a.Report(start).Busy)
	require.Zero(t, a.Flows())
}

// TestReorderedAnswer guards against a request that never counts as answered because the end of the flow overtook the answer
// on its way: without the time of requests entries place by guesses.
func TestReorderedAnswer(t *testing.T) {
	a := newAdmitter(t)
	a.openFlow(t, start, 1)
	later := start.Add(30 * time.Millisecond)
	act := a.FromUpstream(later, fromUpstream(1, carrier.Acknowledge|carrier.End), false)
	require.Equal(t, 30*time.Millisecond, act.Ended)
	require.Equal(t, uint32(30_000), a.Report(later).WorkMicros)
	answer := fromUpstream(1, carrier.Acknowledge)
	answer.Payload = []byte("200")
	require.Zero(t, a.FromUpstream(later, answer, false).Ended)
	require.Zero(t, a.Report(later).Busy)
}
