package runner_test

import (
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/control/tracer"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// settleTime is longer than a datagram takes from a caller to the counter of the upstream.
	settleTime = 200 * time.Millisecond
	// reportTime covers two heartbeats of a node.
	reportTime = 1200 * time.Millisecond
	sendPause  = 2 * time.Millisecond
)

// estate is a deployment with one plain UDP service, whose upstreams count what they get, and one customer.
type estate struct {
	*deployer.Deployment
	t *testing.T
	// got counts the datagrams that reached an upstream.
	got     atomic.Int64
	callers []*net.UDPConn
}

func startEstate(t *testing.T, entries int, change func(name string, s deployer.Settings)) *estate {
	t.Helper()
	return startEstateAround(t, entries, change, func(d *deployer.Deployment) {
		for i := range d.Controls {
			d.StartControl(i)
		}
	})
}

// startEstateAround starts an estate whose control instances are started by the caller.
func startEstateAround(
	t *testing.T, entries int, change func(name string, s deployer.Settings), controls func(d *deployer.Deployment),
) *estate {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	e := &estate{t: t, Deployment: deployer.New(t, deployer.Options{
		Controls: 3, Entries: entries, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: zones}},
	})}
	for i := range zones {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.BackendAddr(0, i)))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go e.count(conn)
	}
	controls(e.Deployment)
	for i := range entries {
		s := e.EntrySettings(i)
		if change != nil {
			change(fmt.Sprint("entry-", i), s)
		}
		e.Start("entry", fmt.Sprint("entry-", i), s)
	}
	for i := range zones {
		s, name := e.AgentSettings(0, i), "agent-"+string(e.UpstreamName(0, i))
		if change != nil {
			change(name, s)
		}
		e.Start("agent", name, s)
	}
	e.Configure("cust")
	for i := range entries {
		from := net.UDPAddrFromAddrPort(netAddr(e.CallerAddr(0)))
		conn, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(e.EntryServiceAddr(i, 0)))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		e.callers = append(e.callers, conn)
	}
	return e
}

func (e *estate) count(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		if _, err := conn.Read(b); err != nil {
			return
		}
		e.got.Add(1)
	}
}

// send sends n datagrams through entry i.
func (e *estate) send(i, n int) {
	for range n {
		_, _ = e.callers[i].Write([]byte("datagram"))
		time.Sleep(sendPause)
	}
}

// flood sends through all entries until the returned function is called.
func (e *estate) flood() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; n < 100_000; n++ {
			select {
			case <-done:
				return
			default:
			}
			for i := range e.callers {
				e.send(i, 1)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// ask reads a path from the first control instance that answers.
func (e *estate) ask(path string, out any) {
	e.t.Helper()
	require.Eventually(e.t, func() bool {
		for i := range e.Controls {
			if _, err := e.API(i, "GET", path, nil, out); err == nil {
				return true
			}
		}
		return false
	}, deployer.WaitTime, 50*time.Millisecond, "no control instance answers")
}

func (e *estate) proof() leaser.Proof {
	var p leaser.Proof
	e.ask("/v1/customers/cust/proof", &p)
	return p
}

func (e *estate) cut() planner.Result {
	return e.Carry(planner.Intent{Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"}})
}

// untilStopped waits for a proof that the traffic has stopped. Each earlier proof goes through check.
func (e *estate) untilStopped(check func(p leaser.Proof)) leaser.Proof {
	e.t.Helper()
	return e.untilProved(e.proof, check)
}

// untilProved asks until a proof says that the traffic has stopped.
func (e *estate) untilProved(ask func() leaser.Proof, check func(p leaser.Proof)) leaser.Proof {
	e.t.Helper()
	var p leaser.Proof
	for deadline := time.Now().Add(deployer.WaitTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if p = ask(); p.Verdict == leaser.Stopped {
			return p
		}
		if check != nil {
			check(p)
		}
	}
	require.Fail(e.t, "no proof", "%v", p.Reasons)
	return p
}

// nodes returns the starts of a machine in a proof.
func nodes(p leaser.Proof, name registrar.MachineName) []leaser.NodeProof {
	return slices.DeleteFunc(slices.Clone(p.Nodes), func(n leaser.NodeProof) bool { return n.Machine != name })
}

// staysStopped requires that no datagram reaches an upstream while all callers go on sending, and that the proof holds.
func (e *estate) staysStopped() leaser.Proof {
	e.t.Helper()
	time.Sleep(settleTime)
	before := e.got.Load()
	stop := e.flood()
	time.Sleep(reportTime)
	stop()
	time.Sleep(reportTime)
	require.Equal(e.t, before, e.got.Load(), "a datagram reached an upstream after the proof")
	p := e.proof()
	require.Zero(e.t, p.Totals.PassedSinceCut)
	return p
}

// TestProofUnderTraffic guards against a proof that is given while flows are open or datagrams still pass, and against a trace
// that does not show them.
func TestProofUnderTraffic(t *testing.T) {
	e := startEstate(t, 2, nil)
	stop := e.flood()
	defer func() { stop() }()
	require.Eventually(t, func() bool {
		var v tracer.Trace
		e.ask("/v1/customers/cust/trace", &v)
		return v.LiveFlows > 0 && v.PassedByEntries > 0 && v.PassedByAgents > 0 && len(v.Entries) == 2 &&
			v.Zones[0].Buckets+v.Zones[1].Buckets == 4096
	}, deployer.WaitTime, 100*time.Millisecond, "the trace does not show the traffic")
	require.Equal(t, leaser.NotProved, e.proof().Verdict, "nothing was cut")
	r := e.cut()
	p := e.untilStopped(nil)
	stop()
	stop = func() {}
	require.Equal(t, r.Revision, p.Customer.CutAt)
	require.Equal(t, 4, p.Totals.Confirmed)
	require.Positive(t, p.Totals.Passed)
	after := e.staysStopped()
	require.Equal(t, leaser.Stopped, after.Verdict)
	require.Greater(t, after.Totals.Dropped, p.Totals.Dropped, "the datagrams of a customer that was cut off are not counted")
	for _, n := range after.Nodes {
		require.GreaterOrEqual(t, n.Revision, r.Revision)
	}
}

// TestProofFrozenEntry guards against a proof that counts an entry as stopped while its lease may be valid, and against an
// entry that passes what waited in its sockets when it thaws.
func TestProofFrozenEntry(t *testing.T) {
	e := startEstate(t, 2, nil)
	e.send(0, 20)
	e.send(1, 20)
	time.Sleep(reportTime)
	before := nodes(e.proof(), "entry-1")
	require.NotZero(t, before[0].Evidence.Passed)
	frozen := e.Process("entry-1")
	frozen.Freeze()
	e.send(1, 50)
	e.cut()
	p := e.untilStopped(func(p leaser.Proof) {
		require.Equal(t, leaser.NodeUnproved, nodes(p, "entry-1")[0].State, "an entry that may hold a lease is counted")
	})
	require.Equal(t, leaser.NodeFenced, nodes(p, "entry-1")[0].State)
	frozen.Thaw()
	require.Eventually(t, func() bool {
		n := nodes(e.proof(), "entry-1")[0]
		return n.State == leaser.NodeConfirmed
	}, deployer.WaitTime, 50*time.Millisecond)
	p = e.staysStopped()
	require.Equal(t, leaser.Stopped, p.Verdict)
	require.Equal(t, before[0].Evidence.Passed, nodes(p, "entry-1")[0].Evidence.Passed, "the entry passed datagrams after it thawed")
}

// TestProofRestartedEntry guards against a proof that forgets the earlier start of an entry.
func TestProofRestartedEntry(t *testing.T) {
	e := startEstate(t, 2, nil)
	e.send(0, 20)
	// The entry never hears of the cut, and its second start has passed nothing.
	e.Process("entry-0").Freeze()
	e.cut()
	e.Process("entry-0").Kill()
	e.StartEntry(0)
	p := e.untilStopped(func(p leaser.Proof) {
		for _, n := range nodes(p, "entry-0") {
			require.False(t, n.State == leaser.NodeConfirmed && n.Revision < p.Customer.CutAt)
		}
	})
	starts := nodes(p, "entry-0")
	require.Len(t, starts, 2)
	require.Equal(t, []leaser.NodeState{leaser.NodeFenced, leaser.NodeConfirmed}, []leaser.NodeState{starts[0].State, starts[1].State})
	require.Equal(t, leaser.Stopped, e.staysStopped().Verdict)
}

// TestProofServingEntry guards against a proof for an entry that goes on serving without a lease.
func TestProofServingEntry(t *testing.T) {
	e := startEstate(t, 2, func(name string, s deployer.Settings) {
		if name == "entry-1" {
			s["lease_expired"] = "serve"
		}
	})
	e.send(1, 20)
	e.Process("entry-1").Freeze()
	e.cut()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		p := e.proof()
		require.Equal(t, leaser.NotProved, p.Verdict)
	}
	require.Contains(t, fmt.Sprint(e.proof().Reasons), "entry-1: is missing and serves without a lease")
	e.Process("entry-1").Thaw()
	require.Equal(t, leaser.Stopped, e.untilStopped(nil).Verdict)
}

// TestProofKilledEntry guards against a proof that waits for ever for an entry that is gone, or does not wait for its lease.
func TestProofKilledEntry(t *testing.T) {
	e := startEstate(t, 2, nil)
	e.Process("entry-1").Kill()
	killed := time.Now()
	e.cut()
	p := e.untilStopped(nil)
	n := nodes(p, "entry-1")[0]
	require.Equal(t, leaser.NodeFenced, n.State)
	require.Greater(t, p.AtMilli, n.LeaseMilli)
	require.Greater(t, n.LeaseMilli, killed.UnixMilli(), "the entry held a lease when it was killed")
}

// TestProofResentConfirm guards against the resend of an old confirmation that cuts a customer again, and against a proof of a
// cut that has been undone.
func TestProofResentConfirm(t *testing.T) {
	e := startEstate(t, 1, nil)
	r := e.cut()
	e.untilStopped(nil)
	e.Carry(planner.Intent{Kind: planner.RestoreCustomer, Customer: &registrar.Customer{Name: "cust"}})
	var again planner.Result
	path := fmt.Sprintf("/v1/plans/%d/confirm", r.Plan.ID)
	_, err := e.API(0, "POST", path, map[string]uint64{"number": 1 << 40}, &again)
	require.NoError(t, err)
	require.Equal(t, r.Revision, again.Revision, "a confirmed plan is applied again")
	p := e.proof()
	require.False(t, p.Customer.Cut)
	require.Equal(t, leaser.NotProved, p.Verdict)
	require.Eventually(t, func() bool {
		e.send(0, 5)
		return e.got.Load() > 0
	}, deployer.WaitTime, 50*time.Millisecond, "traffic does not pass after the customer was restored")
}

// TestProofInstanceOutOfReach guards against a proof that counts a missing node as fenced while a control instance that cannot be
// asked may have granted it a lease, and against one that never comes although every such lease has ended.
func TestProofInstanceOutOfReach(t *testing.T) {
	e := startEstate(t, 2, nil)
	silent := process(e.Deployment, (leader(t, e.Deployment)+1)%e.Controls)
	silent.Freeze()
	frozen := time.Now()
	e.cut()
	p := e.untilStopped(func(p leaser.Proof) {
		require.Contains(t, fmt.Sprint(p.Reasons), silent.Name+", which cannot be asked")
	})
	require.GreaterOrEqual(t, p.AtMilli, frozen.Add(leastWait).UnixMilli())
	require.Equal(t, 4, p.Totals.Confirmed, "nodes do not move away from an instance that is out of reach")
	e.Process("entry-1").Kill()
	p = e.untilStopped(func(p leaser.Proof) { require.NotEqual(t, leaser.NodeFenced, nodes(p, "entry-1")[0].State) })
	require.Equal(t, leaser.NodeConfirmed, nodes(p, "entry-1")[0].State, "its last report is still fresh")
	require.Eventually(t, func() bool { return nodes(e.proof(), "entry-1")[0].State == leaser.NodeFenced }, deployer.WaitTime,
		50*time.Millisecond, "a lease never ends while an instance is out of reach")
	silent.Thaw()
	require.Equal(t, leaser.NodeFenced, nodes(e.untilStopped(nil), "entry-1")[0].State)
	require.Equal(t, leaser.Stopped, e.staysStopped().Verdict)
}

// TestProofWithoutMajority guards against a proof by an instance that no longer knows what is confirmed.
func TestProofWithoutMajority(t *testing.T) {
	e := startEstate(t, 2, nil)
	e.cut()
	e.untilStopped(nil)
	alone := leader(t, e.Deployment)
	for i := range e.Controls {
		if i != alone {
			process(e.Deployment, i).Freeze()
		}
	}
	// All leases end, so that every node looks fenced.
	time.Sleep(5 * time.Second)
	var p leaser.Proof
	_, err := e.API(alone, "GET", "/v1/customers/cust/proof", nil, &p)
	require.NoError(t, err)
	require.Equal(t, leaser.NotProved, p.Verdict)
	require.Contains(t, fmt.Sprint(p.Reasons), "does not know the newest configuration")
	for i := range e.Controls {
		process(e.Deployment, i).Thaw()
	}
	require.Equal(t, 4, e.untilStopped(nil).Totals.Confirmed)
}

// TestProofAfterRestart guards against a proof by instances that have lost their sessions while leases from before may be valid.
func TestProofAfterRestart(t *testing.T) {
	e := startEstate(t, 2, nil)
	e.send(1, 20)
	e.Process("entry-1").Freeze()
	e.cut()
	for i := range e.Controls {
		process(e.Deployment, i).Kill()
	}
	restarted := time.Now()
	for i := range e.Controls {
		e.StartControl(i)
	}
	p := e.untilStopped(nil)
	require.Greater(t, p.AtMilli, restarted.Add(subscriber.LeaseTime).UnixMilli())
	require.Equal(t, leaser.NodeFenced, nodes(p, "entry-1")[0].State)
	e.Process("entry-1").Thaw()
	require.Equal(t, leaser.Stopped, e.staysStopped().Verdict)
}
