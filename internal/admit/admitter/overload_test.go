package admitter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// queuedRequest is a request that waits for a slot of the simulated upstream.
type queuedRequest struct {
	port      int
	arrivedAt time.Time
}

// simulateOverload offers an upstream with 2 slots and a service time of 20 ms three times its capacity for 2 s. A third of the
// requests are urgent with a target latency of 120 ms, the others have a target of 100 ms. The upstream serves them in the order
// of arrival. The function returns the fractions of urgent and of other requests that were answered within their targets, and
// the answers per second.
func simulateOverload(t *testing.T) (urgentInTime, othersInTime, answersPerSecond float64) {
	const serviceTime = 20 * time.Millisecond
	a := newAdmitter(t)
	w := registrar.NewWorld()
	otherAddress := netip.MustParseAddrPort("198.18.0.2:443")
	service := registrar.Service{Name: "desk", Transport: registrar.TransportStream}
	targets := []registrar.Target{{Service: "desk", Weight: 1}}
	require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: []registrar.Change{
		{Kind: registrar.PutService, Service: &service},
		{Kind: registrar.PutRoute, Route: &registrar.Route{
			Name: "urgent", Address: routeAddress, Kind: registrar.RouteNonIdempotent, Timeout: 600, TargetLatency: 120, Priority: 1, Targets: targets,
		}},
		{Kind: registrar.PutRoute, Route: &registrar.Route{
			Name: "other", Address: otherAddress, Kind: registrar.RouteIdempotent, Timeout: 500, TargetLatency: 100, Priority: 2, Targets: targets,
		}},
	}}))
	a.Update(w)
	var queue []queuedRequest
	slots := [2]struct {
		freeAt time.Time
		port   int
	}{}
	routes := map[int]netip.AddrPort{}
	offered, inTime := map[bool]int{}, map[bool]int{}
	total := 0
	const span = 2 * time.Second
	for now, port := start, 1; now.Before(start.Add(span)); now = now.Add(time.Millisecond) {
		for i := range slots {
			if s := &slots[i]; s.port != 0 && !now.Before(s.freeAt) {
				answer := &carrier.Segment{From: routes[s.port], To: caller(s.port), Flags: carrier.Acknowledge | carrier.End, Payload: []byte("200")}
				a.FromUpstream(now, answer, carrier.OutcomeSucceeded)
				s.port = 0
				total++
			}
			if s := &slots[i]; s.port == 0 && len(queue) > 0 {
				next := queue[0]
				queue, s.port, s.freeAt = queue[1:], next.port, now.Add(serviceTime)
				isUrgent := routes[next.port] == routeAddress
				target := 100 * time.Millisecond
				if isUrgent {
					target = 120 * time.Millisecond
				}
				if s.freeAt.Sub(next.arrivedAt) <= target {
					inTime[isUrgent]++
				}
			}
		}
		// 300 requests per second exceed the capacity of 100 threefold.
		if now.Sub(start)%(10*time.Millisecond) == 0 {
			for range 3 {
				routes[port] = otherAddress
				if port%3 == 0 {
					routes[port] = routeAddress
				}
				offered[routes[port] == routeAddress]++
				opening := &carrier.Segment{From: caller(port), To: routes[port], Flags: carrier.Open}
				if a.FromEntry(now, entry, deskHeader, opening, []byte{1}).Disposition == Deliver {
					a.FromUpstream(now, &carrier.Segment{From: routes[port], To: caller(port), Flags: carrier.Open | carrier.Acknowledge}, carrier.OutcomeUnknown)
					request := &carrier.Segment{From: caller(port), To: routes[port], Flags: carrier.Acknowledge, Sequence: 1, Payload: []byte("GET")}
					a.FromEntry(now, entry, deskHeader, request, nil)
					queue = append(queue, queuedRequest{port, now})
				}
				port++
			}
		}
	}
	return float64(inTime[true]) / float64(offered[true]), float64(inTime[false]) / float64(offered[false]),
		float64(total) / span.Seconds()
}

// TestThreefoldOverload guards against a queue that grows until no request is answered in time, against refusing urgent requests
// before others, and against slots that idle during overload.
func TestThreefoldOverload(t *testing.T) {
	urgentInTime, othersInTime, answersPerSecond := simulateOverload(t)
	t.Logf("in time: %.3f of urgent requests, %.3f of the others; %.0f of 100 possible answers per second",
		urgentInTime, othersInTime, answersPerSecond)
	require.GreaterOrEqual(t, answersPerSecond, 95.0, "slots were idle")
	require.Greater(t, urgentInTime, 2*othersInTime)
	// The urgent third of the load equals the capacity, so all of it could be served.
	require.GreaterOrEqual(t, (urgentInTime*100+othersInTime*200)/100, 0.85, "too few requests were answered in time")
}

// TestSlowUpstream guards against an upstream that keeps its share of new flows after it has become four times as slow, because
// only its status check or the length of its queue tells of it. It gets 20 requests per second, which its slots bear also when
// slow, so the number of requests in flight hardly changes.
func TestSlowUpstream(t *testing.T) {
	const interval = 50 * time.Millisecond
	a := newAdmitter(t)
	now := start
	serve := func(requests int, serviceTime time.Duration) {
		for range requests {
			port := int(now.Sub(start)/interval) + 1
			a.openFlow(t, now, port)
			answer := fromUpstream(port, carrier.Acknowledge|carrier.End)
			answer.Payload = []byte("200")
			a.FromUpstream(now.Add(serviceTime), answer, carrier.OutcomeSucceeded)
			now = now.Add(interval)
		}
	}
	serve(60, 10*time.Millisecond)
	require.Equal(t, uint32(10_000), a.Report(now).ServiceTimeMicros)
	serve(20, 40*time.Millisecond)
	require.Greater(t, a.Report(now).ServiceTimeMicros, uint32(30_000), "the report does not tell of the slow upstream within a second")
	serve(20, 10*time.Millisecond)
	require.Less(t, a.Report(now).ServiceTimeMicros, uint32(15_000), "the report does not tell of the recovery within a second")
}

// TestLearnsCapacity guards against offering an upstream more requests than it has just refused, and against keeping the learned
// capacity after the refusal is long past.
func TestLearnsCapacity(t *testing.T) {
	a := newAdmitter(t)
	for port := 1; port <= 6; port++ {
		a.openFlow(t, start, port)
	}
	refusal := fromUpstream(6, carrier.Acknowledge)
	refusal.Payload = []byte("503")
	a.FromUpstream(start, refusal, carrier.OutcomeNotRun)
	require.Equal(t, uint16(5), a.Report(start).InFlight)
	require.Equal(t, carrier.ReturnBusy, a.offer(start, 7).Header.Reason)
	require.Zero(t, a.Report(start).ServiceTimeMicros, "a refused request counted in the service time")
	later := start.Add(capacityGrowthInterval)
	require.Equal(t, Deliver, a.offer(later, 8).Disposition)
	require.Equal(t, carrier.ReturnBusy, a.offer(later, 9).Header.Reason)
}
