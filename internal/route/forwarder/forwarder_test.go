package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// newRoundTrip returns a function that forwards one datagram of a caller through an entry to an agent, and the answer back.
func newRoundTrip() func() {
	c := conductor.New([]conductor.Service{{
		Name: "order-desk", Transport: registrar.TransportUDP, Zones: []registrar.ZoneName{"johor-a", "johor-b"},
	}}, 1)
	keys := encoder.NewKeyring(encoder.Key{K0: 1, K1: 2})
	f, payload := conductor.Flow(0, 1), make([]byte, 200)
	c.Send(0, f, payload)
	agent := c.Settle()[0].Agent
	buffer := make([]byte, 0, 4096)
	self, _ := agent.Self()
	return func() {
		var h carrier.Header
		_, reason := c.Entries[0].FromCaller(c.Now, f, payload, &h)
		buffer = keys.Append(buffer[:0], &h, payload)
		p, err := keys.Parse(buffer, &h)
		h.Target = self.ID
		v := agent.Receive(c.Now, &h, p)
		answer, ok := agent.Answer(c.Now, f.Caller)
		buffer = keys.Append(buffer[:0], &answer, payload)
		_, answerErr := keys.Parse(buffer, &h)
		answerReason := c.Entries[0].FromAgent(c.Now, &h)
		if reason != carrier.Passed || err != nil || v.Action != tracker.Deliver || !ok || answerErr != nil || answerReason != carrier.Passed {
			panic("datagram or its answer was dropped")
		}
	}
}

// TestNoAllocation guards against allocations on the hot path of entries and agents, which would cause a garbage collection every
// few thousand packets.
func TestNoAllocation(t *testing.T) {
	require.Zero(t, testing.AllocsPerRun(1000, newRoundTrip()))
}

func BenchmarkRound(b *testing.B) {
	roundTrip := newRoundTrip()
	b.ReportAllocs()
	for b.Loop() {
		roundTrip()
	}
}

// interleaver forwards a datagram before and after each task.
type interleaver struct{ forward func() }

func (s interleaver) Each(n int, task func(i int)) {
	for i := range n {
		s.forward()
		task(i)
	}
	s.forward()
}

// TestForwardDuringUpdate guards against an update that holds a lock while it computes tables, which would stop all forwarding
// during that time.
func TestForwardDuringUpdate(t *testing.T) {
	c := conductor.New([]conductor.Service{
		{Name: "order-desk", Transport: registrar.TransportUDP, Zones: []registrar.ZoneName{"johor-a", "johor-b"}},
		{Name: "catalogue", Transport: registrar.TransportUDP, Zones: []registrar.ZoneName{"johor-a", "johor-b"}},
	}, 1)
	passed := 0
	c.Entries[0].Spreader = interleaver{func() {
		for service := range 2 {
			var h carrier.Header
			_, reason := c.Entries[0].FromCaller(c.Now, conductor.Flow(service, 1), []byte("x"), &h)
			require.Equal(t, carrier.Passed, reason)
			passed++
		}
	}}
	c.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: "johor-a"}})
	c.BeatAll()
	require.GreaterOrEqual(t, passed, 6)
}
