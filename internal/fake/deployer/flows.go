package deployer

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// callerAddresses is the number of source addresses of flows.
	callerAddresses = 200
	// maxConcurrentExchanges limits the number of exchanges in progress. With more of them, a test would measure its own backlog
	// instead of the product.
	maxConcurrentExchanges = 100
	// A caller of a plain UDP service retransmits a datagram that was not answered within udpTimeout, up to udpAttempts
	// attempts in total.
	udpAttempts = 10
	udpTimeout  = 400 * time.Millisecond
	quicTimeout = 10 * time.Second
)

// Echoes starts an echo server for each upstream of service s.
func (d *Deployment) Echoes(s int) []*backend.Echo {
	d.t.Helper()
	var echoes []*backend.Echo
	for i := range d.Services[s].Zones {
		e := &backend.Echo{Name: string(d.UpstreamName(s, i)), Address: d.BackendAddr(s, i), Expect: datagramPrefix}
		require.NoError(d.t, e.Run())
		d.t.Cleanup(e.Close)
		echoes = append(echoes, e)
	}
	return echoes
}

// datagramPrefix is the prefix of the datagrams of plain UDP callers.
const datagramPrefix = "question"

// Flow is an established flow of a caller.
type Flow interface {
	// Exchange sends a request and waits for its answer. holder identifies the upstream and the connection that answered; it
	// changes if the flow was broken.
	Exchange() (holder string, err error)
	Close()
}

// quicFlow is a flow over QUIC. The holder contains the number of connections, so that it changes when the caller reconnects.
type quicFlow struct{ *Caller }

// Exchange implements Flow.
func (f quicFlow) Exchange() (string, error) {
	a, err := f.Get("/stock", quicTimeout)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, connection %d, status %d", bytes.TrimSpace(a.Body), f.Dials(), a.Status), nil
}

// udpFlow is a plain UDP flow.
type udpFlow struct {
	conn *net.UDPConn
	// sequence is the number of the last exchange.
	sequence int
}

// Exchange implements Flow.
func (f *udpFlow) Exchange() (string, error) {
	f.sequence++
	text := fmt.Sprintf("%s-%d", datagramPrefix, f.sequence)
	b := make([]byte, 2048)
	for range udpAttempts {
		if _, err := f.conn.Write([]byte(text)); err != nil {
			return "", err
		}
		if err := f.conn.SetReadDeadline(time.Now().Add(udpTimeout)); err != nil {
			return "", err
		}
		for {
			n, err := f.conn.Read(b)
			if err != nil {
				break
			}
			if holder, ok := strings.CutSuffix(string(b[:n]), " "+text); ok {
				return holder, nil
			}
		}
	}
	return "", fmt.Errorf("no answer to %d datagrams", udpAttempts)
}

// Close implements Flow.
func (f *udpFlow) Close() { _ = f.conn.Close() }

// Flows is a set of established flows.
type Flows struct {
	flows []Flow
	// holders is the last known holder of each flow.
	holders []string
}

// OpenFlow opens a flow of service s from the source address of caller i.
func (d *Deployment) OpenFlow(s, i int) Flow {
	d.t.Helper()
	if d.Services[s].Transport == registrar.TransportQUIC {
		return quicFlow{d.Caller(s, i%callerAddresses)}
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.CallerAddr(i%callerAddresses), 0))
	conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(d.ServiceAddr(s)))
	require.NoError(d.t, err)
	f := &udpFlow{conn: conn}
	d.t.Cleanup(f.Close)
	return f
}

// OpenFlows opens n flows of service s and establishes each one.
func (d *Deployment) OpenFlows(s, n int) *Flows {
	d.t.Helper()
	f := &Flows{holders: make([]string, n)}
	for i := range n {
		f.flows = append(f.flows, d.OpenFlow(s, i))
	}
	require.Empty(d.t, f.Exchange(), "flows could not be established")
	return f
}

// Exchange makes one exchange on every flow and describes the broken flows: those without an answer, or with a holder other
// than in the last successful exchange. A change of holder is reported once.
func (f *Flows) Exchange() []string {
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentExchanges)
	for i, flow := range f.flows {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			holder, err := flow.Exchange()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				broken = append(broken, fmt.Sprintf("flow %d of %s: %v", i, f.holders[i], err))
			case f.holders[i] != "" && f.holders[i] != holder:
				broken = append(broken, fmt.Sprintf("flow %d of %s moved to %s", i, f.holders[i], holder))
				f.holders[i] = holder
			default:
				f.holders[i] = holder
			}
		})
	}
	wg.Wait()
	return broken
}

// During repeats Exchange while change runs, and once after it has returned. It returns the descriptions of all broken flows.
func (f *Flows) During(change func()) []string {
	done := make(chan struct{})
	go func() {
		defer close(done)
		change()
	}()
	var broken []string
	for {
		broken = append(broken, f.Exchange()...)
		select {
		case <-done:
			return append(broken, f.Exchange()...)
		default:
		}
	}
}

// Holders returns the number of flows of each upstream.
func (f *Flows) Holders() map[string]int {
	counts := map[string]int{}
	for _, h := range f.holders {
		name, _, _ := strings.Cut(strings.Fields(h)[0], ",")
		counts[name]++
	}
	return counts
}
