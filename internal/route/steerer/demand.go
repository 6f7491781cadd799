package steerer

import (
	"math"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// equalLoad is the difference of two loads, in requests in flight, up to which they count as equal.
const equalLoad = 0.1

// flowHistory follows the number of open flows with the weights of the demand. A flow that has opened or closed within the last seconds
// is not fully in the demand yet.
type flowHistory struct {
	mean float64
}

// add adds a report, which follows one at previousAt; zero if there was none.
func (h *flowHistory) add(now, previousAt time.Time, r carrier.LoadReport) {
	flows := float64(r.Flows)
	if previousAt.IsZero() {
		h.mean = flows
		return
	}
	decay := math.Exp(-max(now.Sub(previousAt), 0).Seconds() / carrier.DemandPeriod.Seconds())
	h.mean = flows + (h.mean-flows)*decay
}

// load returns the load of an upstream by its newest report and the number of flows placed since.
func (h *flowHistory) load(r *carrier.LoadReport, placed int) flowLoad {
	return flowLoad{
		demand: float64(r.Demand) / float64(carrier.DemandUnit), demandFlows: h.mean, newFlows: float64(int(r.Flows)+placed) - h.mean,
		slots: max(int(r.Slots), 1),
	}
}

// flowLoad is the load of an upstream by its open flows.
type flowLoad struct {
	// demand is the mean number of requests in flight; 0 if unknown.
	demand float64
	// demandFlows is the number of flows that demand belongs to, and newFlows the number of flows beyond it, which may be negative.
	demandFlows, newFlows float64
	slots                 int
}

// serviceTime returns the time of a request at an idle upstream, in seconds.
func (e *estimate) serviceTime() float64 { return e.expected.Seconds() }

// perSlot returns the load per slot with one more flow, at the given number of requests per second of a flow.
func (e *estimate) perSlot(rate float64) float64 {
	return max(e.demand+rate*e.serviceTime()*(e.newFlows+1), 0) / float64(e.slots)
}

// flowRate returns the mean number of requests per second of a flow at the idle upstreams that report their demand.
func flowRate(candidates []choice) float64 {
	demand, flowTime := 0.0, 0.0
	for i := range candidates {
		if c := &candidates[i]; c.demand > 0 && c.idle {
			demand += c.demand
			flowTime += c.demandFlows * c.serviceTime()
		}
	}
	if flowTime == 0 {
		return 0
	}
	return demand / flowTime
}

// chooseByDemand returns the upstream for a new flow that will carry many requests: the idle one where the flow finds the smallest load
// per slot. Loads that differ by at most equalLoad count as equal, as does an unknown one, and the rank decides. Upstreams of the entry's
// zone come first, and those at which a request takes more than the target latency divided by equalTargetDivisor get flows only if
// all are that slow. found is false if no idle upstream reports its demand.
func chooseByDemand(candidates []choice, zone registrar.ZoneName, targetLatency time.Duration) (chosen choice, found bool) {
	longest := targetLatency / equalTargetDivisor
	inZone := false
	for i := range candidates {
		c := &candidates[i]
		if !c.comparable(longest) {
			continue
		}
		found = found || c.demand > 0
		inZone = inZone || c.member.zone == zone
	}
	if !found {
		return choice{}, false
	}
	rate, smallest := flowRate(candidates), math.Inf(1)
	eligible := func(c *choice) bool { return c.comparable(longest) && (!inZone || c.member.zone == zone) }
	for i := range candidates {
		if c := &candidates[i]; c.demand > 0 && eligible(c) {
			smallest = min(smallest, c.perSlot(rate))
		}
	}
	first := 0
	for i := range candidates {
		c := &candidates[i]
		if eligible(c) && (c.demand == 0 || (c.perSlot(rate)-smallest)*float64(c.slots) <= equalLoad) {
			first = i
			break
		}
	}
	return candidates[first], true
}

// comparable reports whether the upstream is idle and a request there takes at most the given time, or is not measured yet.
func (c *choice) comparable(longest time.Duration) bool {
	return c.idle && (!c.measured || c.expected <= longest)
}
