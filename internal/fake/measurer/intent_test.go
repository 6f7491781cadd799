package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() {
	register("intent_bytes", measureBytes)
	register("intent_sessions", measureSessions)
	register("intent_proof", measureProof)
}

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 5 * time.Second
	controlPort       = 7000
)

// heartbeatClient is a node that sends heartbeats and carries no traffic.
type heartbeatClient struct {
	connector.Client
	subscriber subscriber.Subscriber
	reporter   subscriber.Reporter
	machine    registrar.Machine
	counts     []counter.Evidence
	random     *rand.Rand
	// meter records load before each heartbeat; nil sends heartbeats without a report.
	meter      *burner.Meter
	load       reportLoad
	heartbeats int
	failures   int
	// digest is the hash of the configuration at revision digestAt, cached because most heartbeats have the same revision.
	digest   uint64
	digestAt registrar.Revision
}

// newHeartbeatClients returns nodes, each with a certificate of its own and the evidence of a number of customers.
func newHeartbeatClients(t *testing.T, d *deployer.Deployment, n, customers int, seed uint64) []*heartbeatClient {
	s := &issuer.Issuer{Folder: filepath.Join(d.Folder, "keys"), ExpireAt: time.Now().Add(time.Hour)}
	var all []*heartbeatClient
	for i := range n {
		name := fmt.Sprintf("beater-%04d", i)
		require.NoError(t, s.Issue(time.Now(), loader.HolderMachine, name, nil, []string{name}))
		keys, err := loader.Load(parser.Keys{
			Authority: d.KeyFile(issuer.AuthorityFile), Certificate: d.KeyFile(name + ".pem"), PrivateKey: d.KeyFile(name + ".key"),
		})
		require.NoError(t, err)
		b := &heartbeatClient{
			Client:  connector.Client{Address: netip.AddrPortFrom(d.ControlAddr(0), controlPort), TLS: keys.Client},
			machine: registrar.Machine{Name: registrar.MachineName(name), Role: registrar.RoleEntry, Zone: "johor-a", Incarnation: 1},
			random:  rand.New(rand.NewPCG(seed, uint64(i))),
		}
		b.machine.DataAddress = netip.AddrPortFrom(d.CallerAddr(i%200), 7002)
		b.machine.ControlAddress = netip.AddrPortFrom(d.CallerAddr(i%200), controlPort)
		b.subscriber.World = registrar.NewWorld()
		for c := range customers {
			b.counts = append(b.counts, counter.Evidence{Customer: registrar.CustomerName(fmt.Sprintf("customer-%03d", c))})
		}
		t.Cleanup(b.Close)
		all = append(all, b)
	}
	return all
}

// sendHeartbeat adds packets of every customer to the evidence and sends one heartbeat.
func (b *heartbeatClient) sendHeartbeat() {
	for i := range b.counts {
		b.counts[i].Passed += uint64(b.random.IntN(10_000))
		b.counts[i].LastPassedMilli = time.Now().UnixMilli()
	}
	w := b.subscriber.World
	if b.digestAt != w.Revision() {
		b.digestAt, b.digest = w.RevisionDigest()
	}
	b.heartbeats++
	p := b.reporter.Next(slices.Clone(b.counts))
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	burn := b.recordLoad()
	r, sentAt, err := b.Heartbeat(ctx, leaser.Heartbeat{
		Machine: b.machine, Revision: w.Revision(), Digest: b.digest, Sequence: p.Sequence, EvidenceBase: p.Base,
		Evidence: p.Evidence, Burn: burn,
	})
	if err == nil {
		err = b.subscriber.Accept(sentAt, r)
	}
	if err != nil {
		b.failures++
		b.reporter.Restart()
		return
	}
	if burn != nil {
		b.meter.Confirm(burn.Number)
	}
	if b.reporter.Confirm(); r.WantEvidence {
		b.reporter.Restart()
	}
}

// runHeartbeats sends heartbeats from all nodes for a duration and returns the bytes sent and received. The number of failures
// includes those of earlier calls.
func runHeartbeats(all []*heartbeatClient, d time.Duration) (total uint64, failures int) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	before := trafficOf(all)
	for i, b := range all {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * heartbeatInterval / time.Duration(len(all)))
			ticker := time.NewTicker(heartbeatInterval)
			defer ticker.Stop()
			for time.Now().Before(end) {
				b.sendHeartbeat()
				<-ticker.C
			}
		})
	}
	wg.Wait()
	for _, b := range all {
		failures += b.failures
	}
	return trafficOf(all) - before, failures
}

func trafficOf(all []*heartbeatClient) uint64 {
	var n uint64
	for _, b := range all {
		n += b.Traffic.Sent() + b.Traffic.Received()
	}
	return n
}

func heartbeatsOf(all []*heartbeatClient) int {
	n := 0
	for _, b := range all {
		n += b.heartbeats
	}
	return n
}

func newControlInstance(t *testing.T) *deployer.Deployment {
	d := deployer.New(t, deployer.Options{Controls: 1, Region: "johor", Zones: []registrar.ZoneName{"johor-a"}})
	d.StartControl(0)
	d.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: "johor-a", Region: "johor"}})
	return d
}

// measureBytes measures the control traffic of a node, on the wire with TLS, by number of customers whose counts change with every
// heartbeat, and the bytes that one configuration change adds.
func measureBytes(t *testing.T, seed uint64) {
	const nodes = 20
	const span = 15 * time.Second
	for _, customers := range []int{0, 4, 20, 100} {
		d := newControlInstance(t)
		all := newHeartbeatClients(t, d, nodes, customers, seed)
		runHeartbeats(all, 2*time.Second)
		steady, failures := runHeartbeats(all, span)
		require.Zero(t, failures)
		perNode := float64(steady) / nodes / span.Seconds()
		const changes = 50
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range changes {
				d.ApplyIntent(planner.Intent{Kind: planner.AddCustomer, Customer: &registrar.Customer{
					Name: registrar.CustomerName(fmt.Sprintf("new-%03d", i)),
				}})
				time.Sleep(span / changes / 2)
			}
		}()
		changed, failures := runHeartbeats(all, span)
		<-done
		require.Zero(t, failures)
		t.Logf("%3d active customers: %.0f B/s a node; %d changes: %.0f B a change and node", customers, perNode, changes,
			(float64(changed)-float64(steady))/nodes/changes)
	}
}

// measureSessions measures the processor time that heartbeats take in a control process, by number of sessions, with TLS and 4
// active customers at each node. It also counts the log entries for the announcements of all nodes.
func measureSessions(t *testing.T, seed uint64) {
	const span = 10 * time.Second
	for _, n := range []int{100, 200, 400, 600, 800} {
		d := newControlInstance(t)
		all := newHeartbeatClients(t, d, n, 4, seed)
		before := d.Status().Revision
		runHeartbeats(all, 3*time.Second)
		entries := d.Status().Revision - before
		pid := d.Process("control-0").PID()
		used := processorTime(t, pid)
		beats := heartbeatsOf(all)
		bytes, failures := runHeartbeats(all, span)
		beats = heartbeatsOf(all) - beats
		used = processorTime(t, pid) - used
		t.Logf("%4d sessions: %.1f%% of a core, %.0f us a heartbeat, %d heartbeats a second, %.0f B/s a node, "+
			"%d failures; announced in %d log entries", n, 100*used.Seconds()/span.Seconds(),
			float64(used.Microseconds())/float64(beats), beats/int(span.Seconds()), float64(bytes)/float64(n)/span.Seconds(), failures, entries)
	}
}

// measureProof measures the time from the answer to a confirmed cut to the first proof that the traffic has stopped, while
// datagrams of the customer keep arriving.
func measureProof(t *testing.T, _ uint64) {
	zones := []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 4, Region: "johor", Zones: zones,
		Services: []deployer.Service{{
			Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: append(slices.Clone(zones), zones...),
		}},
	})
	d.StartAll()
	d.Configure("cust")
	done := make(chan struct{})
	defer close(done)
	for i := range d.Entries {
		from := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.CallerAddr(0), 0))
		conn, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(d.EntryServiceAddr(i, 0)))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			ticker := time.NewTicker(time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					_, _ = conn.Write([]byte("datagram"))
				}
			}
		}()
	}
	const rounds = 20
	var times []time.Duration
	for range rounds {
		d.ApplyIntent(planner.Intent{Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"}})
		start := time.Now()
		require.Eventually(t, func() bool {
			var p leaser.Proof
			_, err := d.API(0, "GET", "/v1/customers/cust/proof", nil, &p)
			return err == nil && p.Verdict == leaser.Stopped
		}, deployer.WaitTime, 10*time.Millisecond)
		times = append(times, time.Since(start))
		d.ApplyIntent(planner.Intent{Kind: planner.RestoreCustomer, Customer: &registrar.Customer{Name: "cust"}})
		time.Sleep(2 * time.Second)
	}
	slices.Sort(times)
	t.Logf("%d cuts, 10 nodes, 3 control instances: proof after %s at least, %s in the median, %s at most", rounds, times[0].Round(time.Millisecond),
		times[rounds/2].Round(time.Millisecond), times[rounds-1].Round(time.Millisecond))
}
