package streamer

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// subscribeInterval is how often an entry asks agents for reports; agents send them for some times as long.
	subscribeInterval = 500 * time.Millisecond
	// expireInterval is how often ended flows are looked for.
	expireInterval = time.Second
)

// Steerer decides about packets at an entry.
type Steerer interface {
	FromCaller(now time.Time, s *carrier.Segment) steerer.Decision
	Returned(now time.Time, from netip.AddrPort, h carrier.HopHeader, s *carrier.Segment) steerer.Decision
	Held(now time.Time, from netip.AddrPort, f registrar.Flow)
	Report(now time.Time, from netip.AddrPort, r carrier.LoadReport)
	Agents() []netip.AddrPort
	Expire(now time.Time)
}

// Entry holds the sockets of an entry. The exported fields are set before Run.
type Entry struct {
	Steerer  Steerer
	Codec    Codec
	Recorder *recorder.Recorder
	Observer Observer
	// CallerAddress takes packets of callers, and DataAddress datagrams of agents.
	CallerAddress, DataAddress netip.AddrPort
	// CallerPort is the UDP port at which callers take packets.
	CallerPort uint16

	sockets
	callers, data *port
	subscribe     chan struct{}
}

// Run opens the sockets and serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.start("entry"); err != nil {
		return err
	}
	defer e.engine.Stop()
	var err error
	if e.data, err = bind(e.DataAddress, e.fromAgent); err != nil {
		return err
	}
	if e.callers, err = bind(e.CallerAddress, e.fromCaller); err != nil {
		return err
	}
	if err := e.poll(e.data, e.callers); err != nil {
		return err
	}
	subscribe, expire := time.NewTicker(subscribeInterval), time.NewTicker(expireInterval)
	defer subscribe.Stop()
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.subscribe:
			e.sendSubscriptions()
		case <-subscribe.C:
			e.sendSubscriptions()
		case now := <-expire.C:
			e.Steerer.Expire(now)
		}
	}
}

// Update asks the agents of a new configuration for reports.
func (e *Entry) Update(*registrar.World) {
	select {
	case e.subscribe <- struct{}{}:
	default:
	}
}

// NewEntry returns an entry whose exported fields are to be set.
func NewEntry() *Entry { return &Entry{subscribe: make(chan struct{}, 1)} }

func (e *Entry) sendSubscriptions() {
	var b [encoder.HopHeaderSize]byte
	encoder.PutHop(b[:], carrier.HopHeader{Kind: carrier.HopSubscribe})
	for _, a := range e.Steerer.Agents() {
		e.data.Send(a, b[:])
	}
}

func (e *Entry) fromCaller(_ netip.AddrPort, b *buffer, n int) {
	if err := e.Codec.Decode(b.datagram(n), &b.segment); err != nil {
		e.Observer.Dropped("malformed")
		return
	}
	e.carryOut(e.Steerer.FromCaller(time.Now(), &b.segment), b, n)
}

func (e *Entry) carryOut(d steerer.Decision, b *buffer, n int) {
	switch d.Verb {
	case steerer.Pass:
		e.data.Send(d.To, b.wrapped(d.Header, n))
		if d.Reason == steerer.ReasonPlaced {
			e.log(recorder.FlowPlaced, &b.segment, d)
		}
	case steerer.Reset:
		e.Observer.Dropped(string(d.Reason))
		e.log(recorder.FlowReset, &b.segment, d)
		caller := netip.AddrPortFrom(b.segment.From.Addr(), e.CallerPort)
		e.callers.Send(caller, e.Codec.AppendReset(nil, &b.segment))
	default:
		e.Observer.Dropped(string(d.Reason))
		if d.Reason != steerer.ReasonSuperseded {
			e.log(recorder.PacketDropped, &b.segment, d)
		}
	}
}

func (e *Entry) log(ev recorder.Event, s *carrier.Segment, d steerer.Decision) {
	e.Recorder.Flow(ev, s.Flow(), zap.String("reason", string(d.Reason)), zap.String("upstream", string(d.Upstream)),
		zap.Int64("expected_us", d.Wait.Microseconds()), zap.Int64("report_age_us", d.ReportAge.Microseconds()))
}

func (e *Entry) fromAgent(from netip.AddrPort, b *buffer, n int) {
	now := time.Now()
	h, rest, err := encoder.ParseHop(b.datagram(n))
	if err != nil {
		e.Observer.Dropped("malformed")
		return
	}
	switch h.Kind {
	case carrier.HopReport:
		if r, err := encoder.ParseReport(h, rest); err == nil {
			e.Steerer.Report(now, from, r)
			return
		}
	case carrier.HopHeld:
		if f, err := encoder.ParseHeld(rest); err == nil {
			e.Steerer.Held(now, from, f)
			return
		}
	case carrier.HopReturn:
		if e.Codec.Decode(rest, &b.segment) == nil {
			e.takeBack(now, from, h, b, rest)
			return
		}
	}
	e.Observer.Dropped("malformed")
}

// takeBack handles a packet that an agent returned. The packet moves to the place of a received one, with room in front.
func (e *Entry) takeBack(now time.Time, from netip.AddrPort, h carrier.HopHeader, b *buffer, packet []byte) {
	d := e.Steerer.Returned(now, from, h, &b.segment)
	if b.segment.Opens() {
		e.Recorder.Flow(recorder.FlowReturned, b.segment.Flow(), zap.String("reason", h.Reason.String()), zap.Stringer("agent", from))
	}
	n := copy(b.bytes[encoder.HopHeaderSize:], packet)
	b.segment.Payload = nil
	e.carryOut(d, b, n)
}
