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
	// settleDelay exceeds the time that a datagram takes from a caller to the counter of the upstream.
	settleDelay = 200 * time.Millisecond
	// reportDelay is the time of two heartbeats of a node.
	reportDelay = 1200 * time.Millisecond
	// sendPause is the pause between two datagrams of a caller.
	sendPause = 2 * time.Millisecond
)

// udpDeployment is a deployment with one plain UDP service, whose upstreams count the datagrams they receive, and one customer.
type udpDeployment struct {
	*deployer.Deployment
	t *testing.T
	// received counts the datagrams that reached an upstream.
	received atomic.Int64
	callers  []*net.UDPConn
}

func startUDPDeployment(t *testing.T, entries int, change func(name string, s deployer.Settings)) *udpDeployment {
	t.Helper()
	return startUDPDeploymentWithControls(t, entries, change, func(d *deployer.Deployment) {
		for i := range d.Controls {
			d.StartControl(i)
		}
	})
}

// startUDPDeploymentWithControls starts a deployment whose control instances are started by the function controls.
func startUDPDeploymentWithControls(
	t *testing.T, entries int, change func(name string, s deployer.Settings), controls func(d *deployer.Deployment),
) *udpDeployment {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	e := &udpDeployment{t: t, Deployment: deployer.New(t, deployer.Options{
		Controls: 3, Entries: entries, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: zones}},
	})}
	for i := range zones {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.BackendAddr(0, i)))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go e.countReceived(conn)
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
		from := net.UDPAddrFromAddrPort(withPortZero(e.CallerAddr(0)))
		conn, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(e.EntryServiceAddr(i, 0)))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		e.callers = append(e.callers, conn)
	}
	return e
}

func (e *udpDeployment) countReceived(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		if _, err := conn.Read(b); err != nil {
			return
		}
		e.received.Add(1)
	}
}

// send sends n datagrams through entry i.
func (e *udpDeployment) send(i, n int) {
	for range n {
		_, _ = e.callers[i].Write([]byte("datagram"))
		time.Sleep(sendPause)
	}
}

// sendContinuously sends datagrams through all entries until the returned function is called.
func (e *udpDeployment) sendContinuously() (stop func()) {
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

// readFromAny reads a path from the first control instance that answers.
func (e *udpDeployment) readFromAny(path string, out any) {
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

func (e *udpDeployment) proof() leaser.Proof {
	var p leaser.Proof
	e.readFromAny("/v1/customers/cust/proof", &p)
	return p
}

func (e *udpDeployment) cut() planner.Result {
	return e.ApplyIntent(planner.Intent{Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"}})
}

// awaitStopped waits for a proof that the traffic has stopped, and passes each earlier proof to check.
func (e *udpDeployment) awaitStopped(check func(p leaser.Proof)) leaser.Proof {
	e.t.Helper()
	return e.awaitProof(e.proof, check)
}

// awaitProof calls readProof until the proof says that the traffic has stopped, and passes each earlier proof to check.
func (e *udpDeployment) awaitProof(readProof func() leaser.Proof, check func(p leaser.Proof)) leaser.Proof {
	e.t.Helper()
	var p leaser.Proof
	for deadline := time.Now().Add(deployer.WaitTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if p = readProof(); p.Verdict == leaser.Stopped {
			return p
		}
		if check != nil {
			check(p)
		}
	}
	require.Fail(e.t, "no proof", "%v", p.Reasons)
	return p
}

// nodeProofs returns the starts of a machine in a proof.
func nodeProofs(p leaser.Proof, name registrar.MachineName) []leaser.NodeProof {
	return slices.DeleteFunc(slices.Clone(p.Nodes), func(n leaser.NodeProof) bool { return n.Machine != name })
}

// requireStaysStopped requires that no datagram reaches an upstream while all callers continue to send, and that the proof holds.
func (e *udpDeployment) requireStaysStopped() leaser.Proof {
	e.t.Helper()
	time.Sleep(settleDelay)
	before := e.received.Load()
	stop := e.sendContinuously()
	time.Sleep(reportDelay)
	stop()
	time.Sleep(reportDelay)
	require.Equal(e.t, before, e.received.Load(), "a datagram reached an upstream after the proof")
	p := e.proof()
	require.Zero(e.t, p.Totals.PassedSinceCut)
	return p
}

// TestProofUnderTraffic guards against a proof that is given while flows are open or datagrams still pass, and against a trace
// that does not show these flows and datagrams.
func TestProofUnderTraffic(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	stop := e.sendContinuously()
	defer func() { stop() }()
	require.Eventually(t, func() bool {
		var v tracer.Trace
		e.readFromAny("/v1/customers/cust/trace", &v)
		return v.LiveFlows > 0 && v.PassedByEntries > 0 && v.PassedByAgents > 0 && len(v.Entries) == 2 &&
			v.Zones[0].Buckets+v.Zones[1].Buckets == 4096
	}, deployer.WaitTime, 100*time.Millisecond, "the trace does not show the traffic")
	require.Equal(t, leaser.NotProved, e.proof().Verdict, "no customer was cut off")
	r := e.cut()
	p := e.awaitStopped(nil)
	stop()
	stop = func() {}
	require.Equal(t, r.Revision, p.Customer.CutRevision)
	require.Equal(t, 4, p.Totals.Confirmed)
	require.Positive(t, p.Totals.Passed)
	after := e.requireStaysStopped()
	require.Equal(t, leaser.Stopped, after.Verdict)
	require.Greater(t, after.Totals.Dropped, p.Totals.Dropped, "the datagrams of a customer that was cut off are not counted")
	for _, n := range after.Nodes {
		require.GreaterOrEqual(t, n.Revision, r.Revision)
	}
}

// TestProofFrozenEntry guards against a proof that counts an entry as stopped while its lease may be valid, and against an
// entry that, when it thaws, passes on the datagrams that waited in its sockets.
func TestProofFrozenEntry(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	e.send(0, 20)
	e.send(1, 20)
	time.Sleep(reportDelay)
	before := nodeProofs(e.proof(), "entry-1")
	require.NotZero(t, before[0].Evidence.Passed)
	frozen := e.Process("entry-1")
	frozen.Freeze()
	e.send(1, 50)
	e.cut()
	p := e.awaitStopped(func(p leaser.Proof) {
		require.Equal(t, leaser.NodeUnproved, nodeProofs(p, "entry-1")[0].State, "an entry that may hold a lease is counted")
	})
	require.Equal(t, leaser.NodeFenced, nodeProofs(p, "entry-1")[0].State)
	frozen.Thaw()
	require.Eventually(t, func() bool {
		n := nodeProofs(e.proof(), "entry-1")[0]
		return n.State == leaser.NodeConfirmed
	}, deployer.WaitTime, 50*time.Millisecond)
	p = e.requireStaysStopped()
	require.Equal(t, leaser.Stopped, p.Verdict)
	require.Equal(t, before[0].Evidence.Passed, nodeProofs(p, "entry-1")[0].Evidence.Passed, "the entry passed datagrams after it thawed")
}

// TestProofRestartedEntry guards against a proof that omits the earlier start of a restarted entry.
func TestProofRestartedEntry(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	e.send(0, 20)
	// The first process of the entry never receives the cut, and the second one passes no datagrams.
	e.Process("entry-0").Freeze()
	e.cut()
	e.Process("entry-0").Kill()
	e.StartEntry(0)
	p := e.awaitStopped(func(p leaser.Proof) {
		for _, n := range nodeProofs(p, "entry-0") {
			require.False(t, n.State == leaser.NodeConfirmed && n.Revision < p.Customer.CutRevision)
		}
	})
	starts := nodeProofs(p, "entry-0")
	require.Len(t, starts, 2)
	require.Equal(t, []leaser.NodeState{leaser.NodeFenced, leaser.NodeConfirmed}, []leaser.NodeState{starts[0].State, starts[1].State})
	require.Equal(t, leaser.Stopped, e.requireStaysStopped().Verdict)
}

// TestProofServingEntry guards against a proof for an entry that continues to serve without a lease.
func TestProofServingEntry(t *testing.T) {
	e := startUDPDeployment(t, 2, func(name string, s deployer.Settings) {
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
	require.Equal(t, leaser.Stopped, e.awaitStopped(nil).Verdict)
}

// TestProofKilledEntry guards against a proof that waits forever for a killed entry, or that does not wait until its lease
// has expired.
func TestProofKilledEntry(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	e.Process("entry-1").Kill()
	killedAt := time.Now()
	e.cut()
	p := e.awaitStopped(nil)
	n := nodeProofs(p, "entry-1")[0]
	require.Equal(t, leaser.NodeFenced, n.State)
	require.Greater(t, p.AtMilli, n.LeaseMilli)
	require.Greater(t, n.LeaseMilli, killedAt.UnixMilli(), "the entry held a lease when it was killed")
}

// TestProofResentConfirm guards against the resend of an old confirmation that cuts a customer again, and against a proof of a
// cut that has been undone.
func TestProofResentConfirm(t *testing.T) {
	e := startUDPDeployment(t, 1, nil)
	r := e.cut()
	e.awaitStopped(nil)
	e.ApplyIntent(planner.Intent{Kind: planner.RestoreCustomer, Customer: &registrar.Customer{Name: "cust"}})
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
		return e.received.Load() > 0
	}, deployer.WaitTime, 50*time.Millisecond, "traffic does not pass after the customer was restored")
}

// TestProofInstanceOutOfReach guards against a proof that counts a missing node as fenced while a control instance that cannot be
// reached may have granted it a lease, and against a proof that is never given although every such lease has expired.
func TestProofInstanceOutOfReach(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	unreachable := process(e.Deployment, (awaitLeader(t, e.Deployment)+1)%e.Controls)
	unreachable.Freeze()
	frozenAt := time.Now()
	e.cut()
	p := e.awaitStopped(func(p leaser.Proof) {
		require.Contains(t, fmt.Sprint(p.Reasons), unreachable.Name+", which cannot be asked")
	})
	require.GreaterOrEqual(t, p.AtMilli, frozenAt.Add(minProofWait).UnixMilli())
	require.Equal(t, 4, p.Totals.Confirmed, "nodes do not move away from an instance that is out of reach")
	e.Process("entry-1").Kill()
	p = e.awaitStopped(func(p leaser.Proof) { require.NotEqual(t, leaser.NodeFenced, nodeProofs(p, "entry-1")[0].State) })
	require.Equal(t, leaser.NodeConfirmed, nodeProofs(p, "entry-1")[0].State, "its last report is still fresh")
	require.Eventually(t, func() bool { return nodeProofs(e.proof(), "entry-1")[0].State == leaser.NodeFenced }, deployer.WaitTime,
		50*time.Millisecond, "a lease never ends while an instance is out of reach")
	unreachable.Thaw()
	require.Equal(t, leaser.NodeFenced, nodeProofs(e.awaitStopped(nil), "entry-1")[0].State)
	require.Equal(t, leaser.Stopped, e.requireStaysStopped().Verdict)
}

// TestProofWithoutMajority guards against a proof by an instance that has lost the majority and may miss confirmed changes.
func TestProofWithoutMajority(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	e.cut()
	e.awaitStopped(nil)
	isolated := awaitLeader(t, e.Deployment)
	for i := range e.Controls {
		if i != isolated {
			process(e.Deployment, i).Freeze()
		}
	}
	// All leases expire, so that every node appears fenced.
	time.Sleep(5 * time.Second)
	var p leaser.Proof
	_, err := e.API(isolated, "GET", "/v1/customers/cust/proof", nil, &p)
	require.NoError(t, err)
	require.Equal(t, leaser.NotProved, p.Verdict)
	require.Contains(t, fmt.Sprint(p.Reasons), "does not know the newest configuration")
	for i := range e.Controls {
		process(e.Deployment, i).Thaw()
	}
	require.Equal(t, 4, e.awaitStopped(nil).Totals.Confirmed)
}

// TestProofAfterRestart guards against a proof by restarted instances that have lost their sessions while earlier leases may still
// be valid.
func TestProofAfterRestart(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	e.send(1, 20)
	e.Process("entry-1").Freeze()
	e.cut()
	for i := range e.Controls {
		process(e.Deployment, i).Kill()
	}
	restartedAt := time.Now()
	for i := range e.Controls {
		e.StartControl(i)
	}
	p := e.awaitStopped(nil)
	require.Greater(t, p.AtMilli, restartedAt.Add(subscriber.LeaseTime).UnixMilli())
	require.Equal(t, leaser.NodeFenced, nodeProofs(p, "entry-1")[0].State)
	e.Process("entry-1").Thaw()
	require.Equal(t, leaser.Stopped, e.requireStaysStopped().Verdict)
}
