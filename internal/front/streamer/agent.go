package streamer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/admit/admitter"
	"github.com/peridotstage/peridotstage/internal/admit/ejector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

const (
	// reportInterval is the longest time between two load reports of an agent, and minReportInterval the shortest.
	reportInterval    = 100 * time.Millisecond
	minReportInterval = 10 * time.Millisecond
	// subscriptionTime is how long an agent sends reports to an entry after the entry's newest subscription.
	subscriptionTime = 4 * subscribeInterval
	// overdueCheckInterval is how often the agent looks for packets that the upstream has not answered in time.
	overdueCheckInterval = 50 * time.Millisecond
)

// Admitter decides what an agent does with each packet.
type Admitter interface {
	FromEntry(now time.Time, entry netip.AddrPort, h carrier.HopHeader, s *carrier.Segment, packet []byte) admitter.Action
	FromUpstream(now time.Time, s *carrier.Segment, outcome carrier.Outcome) admitter.Action
	LookUp(now time.Time, l carrier.Lookup) carrier.LookupAnswer
	Tick(now time.Time) []admitter.Overdue
	Report(now time.Time) carrier.LoadReport
	Changes() uint64
}

// Agent receives and sends the datagrams of an agent. The exported fields are set before Run.
type Agent struct {
	Admitter Admitter
	Codec    Codec
	Recorder *recorder.Recorder
	Observer Observer
	// Service is the service of the upstream.
	Service carrier.ServiceTag
	// Latency records how long the upstream took to answer each request; nil to record none.
	Latency func(time.Duration)
	// The agent receives datagrams of entries at DataAddress. The upstream sends its packets to OutboundAddress and
	// receives packets at UpstreamAddress.
	DataAddress, OutboundAddress, UpstreamAddress netip.AddrPort
	// CallerPort is the UDP port at which callers receive packets.
	CallerPort uint16

	sockets
	data, outbound *socket
	// upstreamFails is true from event UpstreamFails to UpstreamRecovered. Only maintain uses it.
	upstreamFails bool
	// wake has an element if a report is to be sent before reportInterval has passed.
	wake chan struct{}
	// mu guards subscribers, by the address of the entry.
	mu          sync.Mutex
	subscribers map[netip.AddrPort]*subscriber
}

// subscriber is an entry that gets load reports.
type subscriber struct {
	// endsAt is when the subscription ends unless it is renewed.
	endsAt time.Time
	// spacing is the shortest time between two reports that the entry asks for, and reportDueAt when the next one may be sent.
	spacing     carrier.ReportTicks
	reportDueAt time.Time
	// missed is true if a report was left out because of the spacing.
	missed bool
}

// NewAgent returns an agent whose exported fields are to be set.
func NewAgent() *Agent {
	return &Agent{wake: make(chan struct{}, 1), subscribers: map[netip.AddrPort]*subscriber{}}
}

// Run opens the sockets and serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var err error
	if a.outbound, err = bind(a.OutboundAddress, a.handleUpstreamPacket); err != nil {
		return err
	}
	defer a.outbound.Close()
	if a.data, err = bind(a.DataAddress, a.handleEntryDatagram); err != nil {
		return err
	}
	defer a.data.Close()
	if err := a.start("agent", a.outbound, a.data); err != nil {
		return err
	}
	defer a.engine.Stop()
	return a.maintain(ctx)
}

// maintain sends load reports, and returns packets that the upstream has not answered in time, until ctx ends.
func (a *Agent) maintain(ctx context.Context) error {
	ticker := time.NewTicker(overdueCheckInterval)
	defer ticker.Stop()
	reportTimer := time.NewTimer(reportInterval)
	defer reportTimer.Stop()
	var reportedChanges uint64
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.returnOverdue(now)
		case <-a.wake:
			reportTimer.Reset(max(0, minReportInterval-time.Since(reportedAt)))
			continue
		case <-reportTimer.C:
		}
		now, changes := time.Now(), a.Admitter.Changes()
		needed := changes != reportedChanges || now.Sub(reportedAt) >= reportInterval
		if needed {
			reportedChanges, reportedAt = changes, now
		}
		reportTimer.Reset(max(minReportInterval, a.sendReports(now, needed).Sub(now)))
	}
}

// Notify makes the agent send a report within minReportInterval. It does not block.
func (a *Agent) Notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) returnOverdue(now time.Time) {
	for _, overdue := range a.Admitter.Tick(now) {
		var s carrier.Segment
		if a.Codec.Decode(overdue.Packet, &s) != nil {
			continue
		}
		a.returnToEntry(overdue.Action, &s, overdue.Packet)
	}
}

// returnToEntry sends a packet back to the entry that forwarded it.
func (a *Agent) returnToEntry(action admitter.Action, s *carrier.Segment, packet []byte) {
	b := make([]byte, encoder.HopHeaderSize, encoder.HopHeaderSize+len(packet))
	encoder.PutHop(b, action.Header)
	a.data.Send(action.Entry, append(b, packet...))
	a.logReturn(s, action)
}

// sendReports sends a load report to the entries that may get one now, if it is needed, and otherwise to those of them that missed the
// newest one. It returns when the next call is due.
func (a *Agent) sendReports(now time.Time, needed bool) time.Time {
	r := a.Admitter.Report(now)
	a.logFailures(r)
	b := encoder.AppendReport(nil, r)
	next := now.Add(reportInterval)
	a.mu.Lock()
	defer a.mu.Unlock()
	for entry, s := range a.subscribers {
		switch {
		case now.After(s.endsAt):
			delete(a.subscribers, entry)
		case !needed && !s.missed:
		case now.Before(s.reportDueAt):
			s.missed = true
			if s.reportDueAt.Before(next) {
				next = s.reportDueAt
			}
		default:
			s.missed = false
			s.reportDueAt = now.Add(time.Duration(s.spacing) * carrier.ReportTick)
			a.data.Send(entry, b)
		}
	}
	return next
}

// logFailures logs that the upstream begins or ceases to fail its requests.
func (a *Agent) logFailures(r carrier.LoadReport) {
	fails := ejector.Fails(r.Failures)
	if fails == a.upstreamFails {
		return
	}
	a.upstreamFails = fails
	percent := zap.Int("failed_percent", r.Failures.Percent())
	if fails {
		a.Recorder.Warn(recorder.UpstreamFails, percent)
		return
	}
	a.Recorder.Info(recorder.UpstreamRecovered, percent)
}

// handleEntryDatagram handles a datagram of an entry: a subscription, a lookup or a packet of a caller.
func (a *Agent) handleEntryDatagram(from netip.AddrPort, b *buffer, n int) {
	now := time.Now()
	h, packet, err := encoder.ParseHop(b.datagram(n))
	if err != nil {
		a.Observer.Dropped("malformed")
		return
	}
	switch h.Kind {
	case carrier.HopSubscribe:
		a.addSubscriber(now, from, h.ReportTicks)
	case carrier.HopLookup:
		l, err := encoder.ParseLookup(packet)
		if err != nil {
			a.Observer.Dropped("malformed")
			return
		}
		a.data.Send(from, encoder.AppendLookupAnswer(nil, a.Service, a.Admitter.LookUp(now, l)))
	case carrier.HopPass:
		if a.Codec.Decode(packet, &b.segment) != nil {
			a.Observer.Dropped("malformed")
			return
		}
		changesBefore := a.Admitter.Changes()
		action := a.Admitter.FromEntry(now, from, h, &b.segment, packet)
		a.execute(action, &b.segment, packet)
		if a.Admitter.Changes() != changesBefore {
			a.Notify()
		}
	default:
		a.Observer.Dropped("malformed")
	}
}

// addSubscriber adds or renews the subscription of an entry. A new subscriber gets a report at once, and one that asks for more frequent
// reports than before need not wait for the end of the longer spacing.
func (a *Agent) addSubscriber(now time.Time, entry netip.AddrPort, spacing carrier.ReportTicks) {
	a.mu.Lock()
	s := a.subscribers[entry]
	isNew := s == nil
	if isNew {
		s = &subscriber{}
		a.subscribers[entry] = s
	}
	moreFrequent := spacing < s.spacing
	if moreFrequent {
		s.reportDueAt = s.reportDueAt.Add(-time.Duration(s.spacing-spacing) * carrier.ReportTick)
	}
	s.endsAt, s.spacing = now.Add(subscriptionTime), spacing
	a.mu.Unlock()
	if isNew {
		a.data.Send(entry, encoder.AppendReport(nil, a.Admitter.Report(now)))
	}
	if moreFrequent {
		a.Notify()
	}
}

// handleUpstreamPacket handles a packet that the upstream sent.
func (a *Agent) handleUpstreamPacket(_ netip.AddrPort, b *buffer, n int) {
	packet := b.datagram(n)
	if a.Codec.Decode(packet, &b.segment) != nil {
		a.Observer.Dropped("malformed")
		return
	}
	changesBefore := a.Admitter.Changes()
	action := a.Admitter.FromUpstream(time.Now(), &b.segment, a.Codec.Outcome(b.segment.Payload))
	a.execute(action, &b.segment, packet)
	if a.Admitter.Changes() != changesBefore {
		a.Notify()
	}
}

// execute carries out what the admitter decided about a packet.
func (a *Agent) execute(action admitter.Action, s *carrier.Segment, packet []byte) {
	switch action.Disposition {
	case admitter.Deliver:
		a.outbound.Send(a.UpstreamAddress, packet)
		if action.AlsoReturn {
			a.returnToEntry(action, s, packet)
		}
	case admitter.Answer:
		a.data.Send(netip.AddrPortFrom(s.To.Addr(), a.CallerPort), packet)
	case admitter.Return:
		a.Codec.ClearReturned(packet)
		a.returnToEntry(action, s, packet)
	default:
		a.Observer.Dropped("unneeded")
	}
	if action.NotifyEntry {
		flow := s.Flow()
		if action.Disposition == admitter.Answer {
			flow = s.ReverseFlow()
		}
		a.data.Send(action.Entry, encoder.AppendHeld(nil, a.Service, flow))
	}
	a.logRequest(action, s)
}

func (a *Agent) logReturn(s *carrier.Segment, action admitter.Action) {
	a.Observer.Dropped(action.Header.Reason.String())
	if s.Opens() {
		a.Recorder.Flow(recorder.FlowNotTaken, s.Flow(), zap.String("reason", action.Header.Reason.String()),
			zap.Stringer("entry", action.Entry))
	}
}

// logRequest logs the start of a request with its id, and the start of its answer.
func (a *Agent) logRequest(action admitter.Action, s *carrier.Segment) {
	switch {
	case action.StartsRequest:
		load := a.Admitter.Report(time.Now())
		a.Recorder.Flow(recorder.RequestBegun, s.Flow(), zap.String("request", a.Codec.RequestID(s.Payload)),
			zap.Uint16("busy", load.InFlight), zap.Uint16("slots", load.Slots), zap.Uint32("work_us", load.ServiceTimeMicros))
	case action.RequestDuration > 0:
		if a.Latency != nil {
			a.Latency(action.RequestDuration)
		}
		a.Recorder.Flow(recorder.RequestAnswered, s.ReverseFlow(), zap.Int64("took_us", action.RequestDuration.Microseconds()))
	}
}
