package measurer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/checker"
)

func init() { register("handshake", measureHandshake) }

// measureHandshake measures the processor time that a new QUIC flow takes at entries and agents, as the slope of processor time
// over the rate of new flows. Each new flow sends one request, so the slope for requests on open flows is measured too.
func measureHandshake(t *testing.T, _ uint64) {
	const agents = 2
	e := checker.New(t, agents, 8, func(_ int, b *backend.Backend) { b.ServiceTime = time.Millisecond })
	load := checker.Load{Rate: 100, For: 20 * time.Second, Deadline: 3 * time.Second, Flows: 50}
	t.Log("warm: ", e.Apply(t, load))
	roles := map[string][]netip.Addr{}
	for i := range e.Entries {
		roles["entry"] = append(roles["entry"], e.EntryAddr(i))
	}
	for i := range agents {
		roles["agent"] = append(roles["agent"], e.AgentAddr(0, i))
	}
	processorSeconds := func(role string) float64 {
		var sum float64
		for _, a := range roles[role] {
			sum += e.Metrics(a)["process_cpu_seconds_total"]
		}
		return sum
	}
	for name, length := range map[string]int{"new flows": 1, "requests on open flows": 0} {
		var rates []float64
		shares := map[string][]float64{}
		for _, rate := range []int{25, 50, 100, 200, 300} {
			load.Rate, load.For, load.FlowLength = rate, 8*time.Second, length
			before := map[string]float64{"entry": processorSeconds("entry"), "agent": processorSeconds("agent")}
			r := e.Apply(t, load)
			rates = append(rates, float64(r.Sent)/r.Elapsed.Seconds())
			for role, b := range before {
				shares[role] = append(shares[role], (processorSeconds(role)-b)/r.Elapsed.Seconds())
			}
			t.Logf("%s, %3d a second: %v; entries %.1f%%, agents %.1f%% of a core", name, rate, r, 100*shares["entry"][len(rates)-1],
				100*shares["agent"][len(rates)-1])
		}
		for role, y := range shares {
			t.Logf("%s: %.0f us each at the %s", name, 1e6*slope(rates, y), role)
		}
	}
}

// slope returns the slope of the least-squares line through points.
func slope(x, y []float64) float64 {
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
		sumXX, sumXY = sumXX+x[i]*x[i], sumXY+x[i]*y[i]
	}
	n := float64(len(x))
	return (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
}
