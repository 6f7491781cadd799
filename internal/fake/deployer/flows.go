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
	callerAddresses = 200
	// flowsAtOnce bounds the exchanges in progress, so that a test measures the product rather than its own backlog.
	flowsAtOnce = 100
	// udpTries and udpWait are those of a patient caller: plain UDP repeats a datagram that got no answer.
	udpTries = 10
	udpWait  = 400 * time.Millisecond
	quicWait = 10 * time.Second
)

// Echoes starts a plain UDP upstream for each upstream of service s.
func (d *Deployment) Echoes(s int) []*backend.Echo {
	d.t.Helper()
	var all []*backend.Echo
	for i := range d.Services[s].Zones {
		e := &backend.Echo{Name: string(d.UpstreamName(s, i)), Address: d.BackendAddr(s, i), Expect: question}
		require.NoError(d.t, e.Run())
		d.t.Cleanup(e.Close)
		all = append(all, e)
	}
	return all
}

// question starts the datagrams of plain UDP callers.
const question = "question"

// Flow is an established flow of a caller.
type Flow interface {
	// Exchange sends and gets an answer. It returns who answered, in a form that changes if the flow was broken.
	Exchange() (holder string, err error)
	Close()
}

// quicFlow is a QUIC connection; a second connection shows as another holder.
type quicFlow struct{ *Caller }

// Exchange implements Flow.
func (f quicFlow) Exchange() (string, error) {
	a, err := f.Get("/stock", quicWait)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, connection %d, status %d", bytes.TrimSpace(a.Body), f.Dials(), a.Status), nil
}

// udpFlow is a plain UDP flow.
type udpFlow struct {
	conn   *net.UDPConn
	number int
}

// Exchange implements Flow.
func (f *udpFlow) Exchange() (string, error) {
	f.number++
	text := fmt.Sprintf("%s-%d", question, f.number)
	b := make([]byte, 2048)
	for range udpTries {
		if _, err := f.conn.Write([]byte(text)); err != nil {
			return "", err
		}
		if err := f.conn.SetReadDeadline(time.Now().Add(udpWait)); err != nil {
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
	return "", fmt.Errorf("no answer to %d datagrams", udpTries)
}

// Close implements Flow.
func (f *udpFlow) Close() { _ = f.conn.Close() }

// Flows is a set of established flows.
type Flows struct {
	flows   []Flow
	holders []string
}

// OpenFlow opens one flow of service s.
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

// Exchange uses every flow once and describes those that are broken: no answer, or another holder than at first. A flow
// counts as broken once.
func (f *Flows) Exchange() []string {
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	turns := make(chan struct{}, flowsAtOnce)
	for i, flow := range f.flows {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
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

// During exchanges on all flows again and again while change runs, and once more afterwards.
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

// Holders counts the flows by upstream.
func (f *Flows) Holders() map[string]int {
	counts := map[string]int{}
	for _, h := range f.holders {
		name, _, _ := strings.Cut(strings.Fields(h)[0], ",")
		counts[name]++
	}
	return counts
}
