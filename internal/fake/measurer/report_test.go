package measurer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() { register("report_bytes", measureReportBytes) }

// reportLoad is the number of customers whose requests, and of services whose packets, a node counts between two heartbeats.
type reportLoad struct {
	customers, services int
}

// recordLoad records the load in the meter and returns the batch for the next heartbeat. It returns nil if there is no meter.
func (b *heartbeatClient) recordLoad() *burner.Batch {
	if b.meter == nil {
		return nil
	}
	for c := range b.load.customers {
		name := registrar.CustomerName(fmt.Sprintf("customer-%03d", c))
		for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
			b.meter.RecordMany("order-desk", name, d, false, 1+b.random.IntN(100))
		}
		b.meter.RecordMany("order-desk", name, 0, true, b.random.IntN(2))
	}
	for s := range b.load.services {
		traffic := b.meter.Traffic(registrar.ServiceName(fmt.Sprintf("service-%03d", s)))
		for _, d := range burner.ForwardBounds[:6] {
			for range 1 + b.random.IntN(1000) {
				traffic.Forwarded(d)
			}
		}
		traffic.Drop()
	}
	return b.meter.Batch(time.Now(), b.Address)
}

// measureReportBytes measures the control traffic of a node, on the wire with TLS, by the contents of its reports. The limit is
// 3 KB/s.
func measureReportBytes(t *testing.T, seed uint64) {
	const nodes = 20
	const span = 15 * time.Second
	for name, load := range map[string]*reportLoad{
		"no reports": nil, "empty reports": {}, "50 customers of one service": {50, 0}, "10 services at an entry": {0, 10},
		"100 services at an entry": {0, 100},
	} {
		all := newHeartbeatClients(t, newControlInstance(t), nodes, 0, seed)
		for _, b := range all {
			if load != nil {
				b.meter, b.load = &burner.Meter{StartedAt: time.Now()}, *load
			}
		}
		runHeartbeats(all, 2*time.Second)
		bytes, failures := runHeartbeats(all, span)
		require.Zero(t, failures)
		t.Logf("%s: %.0f B/s a node", name, float64(bytes)/nodes/span.Seconds())
	}
}
