package streamer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/admit/admitter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

const (
	// reportInterval is how often an agent reports at least, and minReportInterval how often at most.
	reportInterval    = 100 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
	// subscriptionTime is how long an entry gets reports without asking again.
	subscriptionTime = 4 * subscribeInterval
	// tickInterval is how often overdue packets are looked for.
	tickInterval = 50 * time.Millisecond
)

// Admitter decides about packets at an agent.
type Admitter interface {
	FromEntry(now time.Time, entry netip.AddrPort, h carrier.HopHeader, s *carrier.Segment, packet []byte) admitter.Action
	FromUpstream(now time.Time, s *carrier.Segment, notRun bool) admitter.Action
	Tick(now time.Time) []admitter.Overdue
	Report(now time.Time) carrier.LoadReport
	Changes() uint64
}

// Agent holds the sockets of an agent. The exported fields are set before Run.
type Agent struct {
	Admitter Admitter
	Codec    Codec
	Recorder *recorder.Recorder
	Observer Observer
	// Service is the service of the upstream.
	Service carrier.ServiceTag
	// Latency takes the time of each request at the upstream.
	Latency func(time.Duration)
	// DataAddress takes datagrams of entries. The upstream sends its packets to OutboundAddress and takes packets at
	// UpstreamAddress.
	DataAddress, OutboundAddress, UpstreamAddress netip.AddrPort
	// CallerPort is the UDP port at which callers take packets.
	CallerPort uint16

	sockets
	data, outbound *port
	wake           chan struct{}
	// mu guards subscribers, which holds until when each entry gets reports.
	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
}

// NewAgent returns an agent whose exported fields are to be set.
func NewAgent() *Agent {
	return &Agent{wake: make(chan struct{}, 1), subscribers: map[netip.AddrPort]time.Time{}}
}

// Run opens the sockets and serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.start("agent"); err != nil {
		return err
	}
	defer a.engine.Stop()
	var err error
	if a.outbound, err = bind(a.OutboundAddress, a.fromUpstream); err != nil {
		return err
	}
	if a.data, err = bind(a.DataAddress, a.fromEntry); err != nil {
		return err
	}
	if err := a.poll(a.outbound, a.data); err != nil {
		return err
	}
	return a.maintain(ctx)
}

// maintain sends reports, and returns what the upstream does not answer.
func (a *Agent) maintain(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	report := time.NewTimer(reportInterval)
	defer report.Stop()
	var reported uint64
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			a.returnOverdue(now)
		case <-a.wake:
			report.Reset(max(0, minReportInterval-time.Since(reportedAt)))
			continue
		case <-report.C:
		}
		if changes := a.Admitter.Changes(); changes != reported || time.Since(reportedAt) >= reportInterval {
			reported, reportedAt = changes, time.Now()
			a.sendReports(reportedAt)
		}
		report.Reset(reportInterval)
	}
}

// Notify lets the agent report soon. It does not block.
func (a *Agent) Notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) returnOverdue(now time.Time) {
	for _, o := range a.Admitter.Tick(now) {
		var s carrier.Segment
		if a.Codec.Decode(o.Packet, &s) != nil {
			continue
		}
		a.sendBack(o.Action, &s, o.Packet)
	}
}

// sendBack returns a packet to the entry that passed it on.
func (a *Agent) sendBack(act admitter.Action, s *carrier.Segment, packet []byte) {
	b := make([]byte, encoder.HopHeaderSize, encoder.HopHeaderSize+len(packet))
	encoder.PutHop(b, act.Header)
	a.data.Send(act.Entry, append(b, packet...))
	a.logReturn(s, act)
}

func (a *Agent) sendReports(now time.Time) {
	b := encoder.AppendReport(nil, a.Admitter.Report(now))
	a.mu.Lock()
	defer a.mu.Unlock()
	for to, until := range a.subscribers {
		if now.After(until) {
			delete(a.subscribers, to)
			continue
		}
		a.data.Send(to, b)
	}
}

func (a *Agent) fromEntry(from netip.AddrPort, b *buffer, n int) {
	now := time.Now()
	h, packet, err := encoder.ParseHop(b.datagram(n))
	if err != nil {
		a.Observer.Dropped("malformed")
		return
	}
	switch h.Kind {
	case carrier.HopSubscribe:
		a.subscribed(now, from)
	case carrier.HopPass:
		if a.Codec.Decode(packet, &b.segment) != nil {
			a.Observer.Dropped("malformed")
			return
		}
		before := a.Admitter.Changes()
		act := a.Admitter.FromEntry(now, from, h, &b.segment, packet)
		a.carryOut(act, &b.segment, packet)
		if a.Admitter.Changes() != before {
			a.Notify()
		}
	default:
		a.Observer.Dropped("malformed")
	}
}

// subscribed notes an entry. A new one gets a report at once.
func (a *Agent) subscribed(now time.Time, from netip.AddrPort) {
	a.mu.Lock()
	_, known := a.subscribers[from]
	a.subscribers[from] = now.Add(subscriptionTime)
	a.mu.Unlock()
	if !known {
		a.data.Send(from, encoder.AppendReport(nil, a.Admitter.Report(now)))
	}
}

func (a *Agent) fromUpstream(_ netip.AddrPort, b *buffer, n int) {
	packet := b.datagram(n)
	if a.Codec.Decode(packet, &b.segment) != nil {
		a.Observer.Dropped("malformed")
		return
	}
	before := a.Admitter.Changes()
	act := a.Admitter.FromUpstream(time.Now(), &b.segment, a.Codec.NotRun(b.segment.Payload))
	a.carryOut(act, &b.segment, packet)
	if a.Admitter.Changes() != before {
		a.Notify()
	}
}

func (a *Agent) carryOut(act admitter.Action, s *carrier.Segment, packet []byte) {
	switch act.Verb {
	case admitter.Deliver:
		a.outbound.Send(a.UpstreamAddress, packet)
	case admitter.Answer:
		a.data.Send(netip.AddrPortFrom(s.To.Addr(), a.CallerPort), packet)
	case admitter.Return:
		a.Codec.ClearReturned(packet)
		a.sendBack(act, s, packet)
	default:
		a.Observer.Dropped("unneeded")
	}
	if act.Held {
		f := s.Flow()
		if act.Verb == admitter.Answer {
			f = s.ReverseFlow()
		}
		a.data.Send(act.Entry, encoder.AppendHeld(nil, a.Service, f))
	}
	a.logRequest(act, s)
}

func (a *Agent) logReturn(s *carrier.Segment, act admitter.Action) {
	a.Observer.Dropped(act.Header.Reason.String())
	if s.Opens() {
		a.Recorder.Flow(recorder.FlowNotTaken, s.Flow(), zap.String("reason", act.Header.Reason.String()), zap.Stringer("entry", act.Entry))
	}
}

// logRequest logs the beginning of a request with its id, and the beginning of its answer.
func (a *Agent) logRequest(act admitter.Action, s *carrier.Segment) {
	switch {
	case act.Begun:
		r := a.Admitter.Report(time.Now())
		a.Recorder.Flow(recorder.RequestBegun, s.Flow(), zap.String("request", a.Codec.RequestID(s.Payload)),
			zap.Uint16("busy", r.Busy), zap.Uint16("slots", r.Slots), zap.Uint32("work_us", r.WorkMicros))
	case act.Ended > 0:
		if a.Latency != nil {
			a.Latency(act.Ended)
		}
		a.Recorder.Flow(recorder.RequestAnswered, s.ReverseFlow(), zap.Int64("took_us", act.Ended.Microseconds()))
	}
}
