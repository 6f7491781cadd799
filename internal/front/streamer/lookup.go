package streamer

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

// lookupTick is the time over which an entry puts flows into one lookup for each agent.
const lookupTick = 10 * time.Millisecond

// startLookups returns the ticks at which lookups are sent, and a function that ends them. Without lookups there are no ticks.
func (e *Entry) startLookups() (ticks <-chan time.Time, stop func()) {
	if !e.FlowLookup {
		return nil, func() {}
	}
	t := time.NewTicker(lookupTick)
	return t.C, t.Stop
}

// tickLookups sends the lookups that are due and handles the kept packets that are decided.
func (e *Entry) tickLookups(now time.Time) {
	questions, decided := e.Steerer.TickLookups(now)
	var b []byte
	for _, q := range questions {
		b = encoder.AppendLookup(b[:0], q.To.Service, q.Lookup)
		e.data.Send(q.To.Address, b)
	}
	e.executeFound(decided)
}

// handleLookupAnswer handles the answer of an agent to a lookup.
func (e *Entry) handleLookupAnswer(now time.Time, from netip.AddrPort, service carrier.ServiceTag, a carrier.LookupAnswer) {
	e.executeFound(e.Steerer.HandleLookupAnswer(now, from, service, a))
}

// executeKept carries out the decision about a packet that was kept.
func (e *Entry) executeKept(d steerer.Decision, packet []byte) {
	b := e.buffers.Get().(*buffer)
	defer e.buffers.Put(b)
	n := copy(b.bytes[encoder.HopHeaderSize:], packet)
	if e.Codec.Decode(b.datagram(n), &b.segment) == nil {
		e.execute(d, b, n)
	}
}

// executeFound carries out the decisions about packets that were kept during a lookup.
func (e *Entry) executeFound(decided []steerer.KeptPacket) {
	for _, k := range decided {
		e.executeKept(k.Decision, k.Packet)
	}
}

// keep keeps the packet in b during the lookup of its flow. The segment is decoded again, because the packet may have been moved.
func (e *Entry) keep(b *buffer, n int) {
	if e.Codec.Decode(b.datagram(n), &b.segment) == nil {
		e.Steerer.KeepPacket(time.Now(), &b.segment, b.datagram(n))
	}
}

// logReset logs the reset of a flow: of one that no upstream takes, or of one that no upstream holds.
func (e *Entry) logReset(s *carrier.Segment, d steerer.Decision) {
	if d.Reason != steerer.ReasonLostFlow {
		e.logDecision(recorder.FlowReset, s, d)
		return
	}
	e.Recorder.Flow(recorder.FlowLost, s.Flow(), zap.Int("agents_asked", d.Asked), zap.Int64("lookup_us", d.LookupTime.Microseconds()))
}
