package runner_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// strictFlow is a plain UDP flow that sends each datagram once and records every missing answer.
type strictFlow struct {
	conn   net.Conn
	prefix string
	pause  time.Duration
	// answeredBy holds the upstreams that answered, in order.
	answeredBy []string
	lost       []error
}

// run exchanges datagrams until ctx ends.
func (f *strictFlow) run(ctx context.Context) {
	b := make([]byte, 1500)
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("%s-%d", f.prefix, n)
		_, _ = f.conn.Write([]byte(text))
		_ = f.conn.SetReadDeadline(time.Now().Add(silentLimit))
		read, err := f.conn.Read(b)
		name, _, _ := strings.Cut(string(b[:read]), " ")
		switch {
		case err != nil || !strings.HasSuffix(string(b[:read]), " "+text):
			f.lost = append(f.lost, fmt.Errorf("%s after %v: %q, %w", text, f.answeredBy, b[:read], err))
		case len(f.answeredBy) == 0 || f.answeredBy[len(f.answeredBy)-1] != name:
			f.answeredBy = append(f.answeredBy, name)
		}
		time.Sleep(f.pause)
	}
}

// TestStopDrainsFlows guards against lost answers of a plain UDP service during the planned stop of an agent: for callers that
// send continuously, wait long for an answer or pause between datagrams. It also guards against a stop that moves flows of other
// agents to another upstream.
func TestStopDrainsFlows(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 2, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "catalogue", Transport: registrar.TransportUDP, Slots: 8, Zones: append(zones, "johor-a")}},
	})
	d.Echoes(0)
	d.Fabric(0, 1)
	d.StartControl(0)
	d.StartEntry(0)
	d.StartEntry(1)
	for i := range d.Services[0].Zones {
		s := d.AgentSettings(0, i)
		s["drain"], s["flow_quiet"] = "6s", "1s"
		d.Start("agent", d.AgentName(0, i), s)
	}
	d.Configure("estate")

	var flows []*strictFlow
	for i := range 60 {
		local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.CallerAddr(i), 0))
		conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(d.ServiceAddr(0)))
		require.NoError(t, err)
		defer conn.Close()
		flows = append(flows,
			[]*strictFlow{
				{conn: conn, prefix: "question", pause: 5 * time.Millisecond},
				{conn: conn, prefix: backend.LatePrefix, pause: 50 * time.Millisecond},
				{conn: conn, prefix: "question", pause: 400 * time.Millisecond},
				{conn: conn, prefix: "question", pause: 1700 * time.Millisecond},
			}[i%4])
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() { f.run(ctx) })
	}
	time.Sleep(2 * backend.LateTime)
	leaving := string(d.UpstreamName(0, 0))
	require.NoError(t, d.Process(d.AgentName(0, 0)).Stop())
	time.Sleep(2 * backend.LateTime)
	cancel()
	wg.Wait()

	moved := 0
	for _, f := range flows {
		require.Empty(t, f.lost)
		if f.answeredBy[0] == leaving {
			moved++
			require.Len(t, f.answeredBy, 2, "a flow of the leaving agent moved more than once or not at all: %v", f.answeredBy)
		} else {
			require.Len(t, f.answeredBy, 1, "a flow of another agent moved: %v", f.answeredBy)
		}
	}
	require.Positive(t, moved, "the leaving agent held no flow")
	require.NotContains(t, d.Log(d.AgentName(0, 0)), `"event":1104`, "flows were cut at the deadline")
}
