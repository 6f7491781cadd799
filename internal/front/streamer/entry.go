package streamer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/locator"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// subscribeInterval is the time between two subscriptions of an entry to the reports of an agent. A subscription lasts
	// several times as long; see subscriptionTime.
	subscribeInterval = 500 * time.Millisecond
	// subscribeTick is how often the entry looks for subscriptions that are due. They are spread over subscribeInterval: sent together,
	// those to 136 agents fill a link of 1.5 Mbit/s for 26 ms, and packets of callers are lost meanwhile.
	// The packets that wait for room are looked at as often.
	subscribeTick = 20 * time.Millisecond
	// flowExpiryInterval is how often the entry removes the state of flows that have ended.
	flowExpiryInterval = time.Second
)

// Steerer decides what an entry does with each packet.
type Steerer interface {
	FromCaller(now time.Time, s *carrier.Segment) steerer.Decision
	HandleReturned(now time.Time, from netip.AddrPort, h carrier.HopHeader, s *carrier.Segment) steerer.Decision
	RecordHolder(now time.Time, from netip.AddrPort, f registrar.Flow)
	Report(now time.Time, from netip.AddrPort, r carrier.LoadReport)
	Subscriptions(now time.Time) []steerer.Subscription
	// ReleaseAt and ReleaseAll return the decisions about waiting packets that leave after a report of an agent, and at a tick.
	ReleaseAt(now time.Time, agent netip.AddrPort) []steerer.Ended
	ReleaseAll(now time.Time) []steerer.Ended
	Expire(now time.Time)
	KeepPacket(now time.Time, s *carrier.Segment, packet []byte)
	HandleLookupAnswer(now time.Time, from netip.AddrPort, service carrier.ServiceTag, a carrier.LookupAnswer) []steerer.KeptPacket
	TickLookups(now time.Time) ([]locator.Question, []steerer.KeptPacket)
}

// Entry receives and sends the datagrams of an entry. The exported fields are set before Run.
type Entry struct {
	Steerer  Steerer
	Codec    Codec
	Recorder *recorder.Recorder
	Observer Observer
	// The entry receives packets of callers at CallerAddress, and datagrams of agents at DataAddress.
	CallerAddress, DataAddress netip.AddrPort
	// CallerPort is the UDP port at which callers receive packets.
	CallerPort uint16
	// FlowLookup is true if the steerer looks up flows.
	FlowLookup bool
	// MaxWaiting is that of the steerer; 0 if no opening packet waits.
	MaxWaiting int

	sockets
	callers, data *socket
	// subscribeNow has an element if the configuration may have new agents.
	subscribeNow chan struct{}
	// subscriptions holds the newest subscription to each agent. Only Run uses it.
	subscriptions map[netip.AddrPort]subscription
	kept          keptPackets
}

// Run opens the sockets and serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	var err error
	if e.data, err = bind(e.DataAddress, e.handleAgentDatagram); err != nil {
		return err
	}
	defer e.data.Close()
	if e.callers, err = bind(e.CallerAddress, e.handleCallerPacket); err != nil {
		return err
	}
	defer e.callers.Close()
	if err := e.start("entry", e.data, e.callers); err != nil {
		return err
	}
	defer e.engine.Stop()
	subscribeTicker, expireTicker := time.NewTicker(subscribeTick), time.NewTicker(flowExpiryInterval)
	defer subscribeTicker.Stop()
	defer expireTicker.Stop()
	lookupTicks, stopLookups := e.startLookups()
	defer stopLookups()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.subscribeNow:
			e.sendSubscriptions(time.Now())
		case now := <-subscribeTicker.C:
			e.sendSubscriptions(now)
			e.releaseAll(now)
		case now := <-expireTicker.C:
			e.Steerer.Expire(now)
		case now := <-lookupTicks:
			e.tickLookups(now)
		}
	}
}

// Update makes the entry subscribe to the agents of a new configuration. It does not block.
func (e *Entry) Update(*registrar.World) {
	select {
	case e.subscribeNow <- struct{}{}:
	default:
	}
}

// NewEntry returns an entry whose exported fields are to be set.
func NewEntry() *Entry { return &Entry{subscribeNow: make(chan struct{}, 1)} }

// subscription is the newest subscription that the entry has sent to an agent.
type subscription struct {
	spacing carrier.ReportTicks
	// renewAt is when the next subscription is due.
	renewAt time.Time
}

// sendSubscriptions sends the subscriptions that are due.
func (e *Entry) sendSubscriptions(now time.Time) {
	wanted := e.Steerer.Subscriptions(now)
	next := make(map[netip.AddrPort]subscription, len(wanted))
	for _, s := range wanted {
		next[s.Agent] = e.subscribe(now, s)
	}
	e.subscriptions = next
}

// subscribe sends a subscription to an agent if one is due, and returns the newest one. The first one is due at once, and the second one
// after a random part of subscribeInterval, so that the later ones are spread. One for more frequent reports is due at once too, and does
// not change when the next one is: the spacings of a narrow link differ for so few agents that these take 15 ms of the link at most. One
// for fewer reports waits for its turn.
func (e *Entry) subscribe(now time.Time, s steerer.Subscription) subscription {
	last, known := e.subscriptions[s.Agent]
	renewAt := last.renewAt
	switch {
	case !known:
		renewAt = now.Add(rand.N(subscribeInterval))
	case !now.Before(last.renewAt):
		renewAt = now.Add(subscribeInterval)
	case s.Spacing >= last.spacing:
		return last
	}
	var b [encoder.HopHeaderSize]byte
	encoder.PutHop(b[:], carrier.HopHeader{Kind: carrier.HopSubscribe, ReportTicks: s.Spacing})
	e.data.Send(s.Agent, b[:])
	return subscription{spacing: s.Spacing, renewAt: renewAt}
}

// handleCallerPacket handles a packet that a caller sent.
func (e *Entry) handleCallerPacket(_ netip.AddrPort, b *buffer, n int) {
	if err := e.Codec.Decode(b.datagram(n), &b.segment); err != nil {
		e.Observer.Dropped("malformed")
		return
	}
	if e.MaxWaiting > 0 && b.segment.Opens() {
		e.handleOpening(b, n)
		return
	}
	e.execute(e.Steerer.FromCaller(time.Now(), &b.segment), b, n)
}

// execute carries out what the steerer decided about the packet in b.
func (e *Entry) execute(d steerer.Decision, b *buffer, n int) {
	switch d.Action {
	case steerer.Pass:
		e.data.Send(d.To, b.withHeader(d.Header, n))
		if d.Reason == steerer.ReasonPlaced || d.Reason == steerer.ReasonProbe {
			e.logDecision(recorder.FlowPlaced, &b.segment, d)
		}
	case steerer.Reset:
		e.Observer.Dropped(string(d.Reason))
		e.logReset(&b.segment, d)
		caller := netip.AddrPortFrom(b.segment.From.Addr(), e.CallerPort)
		e.callers.Send(caller, e.Codec.AppendReset(nil, &b.segment))
	case steerer.Keep:
		e.keep(b, n)
	case steerer.Wait:
		if !d.WaitsAlready {
			e.logDecision(recorder.OpeningWaits, &b.segment, d)
		}
	default:
		e.Observer.Dropped(string(d.Reason))
		if d.Reason != steerer.ReasonSuperseded {
			e.logDecision(recorder.PacketDropped, &b.segment, d)
		}
	}
}

func (e *Entry) logDecision(ev recorder.Event, s *carrier.Segment, d steerer.Decision) {
	e.Recorder.Flow(ev, s.Flow(), zap.String("reason", string(d.Reason)), zap.String("upstream", string(d.Upstream)),
		zap.Int64("expected_us", d.ExpectedTime.Microseconds()), zap.Int64("report_age_us", d.ReportAge.Microseconds()),
		zap.Int("agents_asked", d.Asked), zap.Int64("waited_ms", d.Waited.Milliseconds()))
}

// handleAgentDatagram handles a datagram of an agent: a load report, a notice of a held flow, the answer to a lookup or a returned packet.
func (e *Entry) handleAgentDatagram(from netip.AddrPort, b *buffer, n int) {
	now := time.Now()
	h, body, err := encoder.ParseHop(b.datagram(n))
	if err != nil {
		e.Observer.Dropped("malformed")
		return
	}
	switch h.Kind {
	case carrier.HopReport:
		if r, err := encoder.ParseReport(h, body); err == nil {
			e.Steerer.Report(now, from, r)
			e.releaseAt(now, from)
			return
		}
	case carrier.HopFlowFound:
		if f, err := encoder.ParseHeld(body); err == nil {
			e.Steerer.RecordHolder(now, from, f)
			return
		}
	case carrier.HopLookupAnswer:
		if a, err := encoder.ParseLookupAnswer(body); err == nil {
			e.handleLookupAnswer(now, from, h.Service, a)
			return
		}
	case carrier.HopReturn:
		if e.Codec.Decode(body, &b.segment) == nil {
			e.handleReturned(now, from, h, b, body)
			return
		}
	}
	e.Observer.Dropped("malformed")
}

// handleReturned handles a packet that an agent returned. It moves the packet to the offset of a received datagram, so that
// there is room for a header in front.
func (e *Entry) handleReturned(now time.Time, from netip.AddrPort, h carrier.HopHeader, b *buffer, packet []byte) {
	d, displaced := e.decideReturned(now, from, h, b, packet)
	if b.segment.Opens() {
		e.Recorder.Flow(recorder.FlowReturned, b.segment.Flow(), zap.String("reason", h.Reason.String()), zap.Stringer("agent", from))
	}
	n := copy(b.bytes[encoder.HopHeaderSize:], packet)
	b.segment.Payload = nil
	e.execute(d, b, n)
	e.finish(displaced)
}
