package admitter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

// boundFor returns the bound for the flow of an opening packet with its hop header. The time that a packet has waited at its entry is
// missing from its target latency, down to what a retransmission may use. A packet that has waited is not
// bounded as a retransmission besides, because both bounds allow for the same time.
func (b *latencyBounds) boundFor(h carrier.HopHeader, seg *carrier.Segment) bound {
	if h.Waited == 0 {
		return b.bound(seg)
	}
	first := *seg
	first.Acknowledged = 0
	full := b.bound(&first)
	waited := time.Duration(h.Waited) * carrier.ReportTick
	left := max(min(full.latency, b.target(seg.To)-waited), time.Duration(retransmissionShare*float64(full.latency)))
	return bound{latency: left, queueShare: full.queueShare * float64(left) / float64(full.latency)}
}
