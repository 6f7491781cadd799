package runner_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// minProofWait is the minimum time for which a proof waits for an unresponsive instance. The knowledge of that instance may predate
// its silence by the heartbeat interval of the leader and the scheduling delays of a busy machine.
const minProofWait = subscriber.LeaseTime - 500*time.Millisecond

// pinToControl makes entry i and agent i talk to control instance i only.
func pinToControl(name string, s deployer.Settings) {
	i := int(name[len(name)-1] - '0')
	s["control"] = s["control"].([]netip.AddrPort)[i : i+1]
}

// proofAt asks one instance for a proof.
func (e *udpDeployment) proofAt(i int) func() leaser.Proof {
	return func() (p leaser.Proof) {
		e.t.Helper()
		_, err := e.API(i, "GET", "/v1/customers/cust/proof", nil, &p)
		require.NoError(e.t, err)
		return p
	}
}

// TestProofInstanceCutOff guards against a proof that waits forever for an instance that is silently cut off, or that does not
// wait until the leases which it granted have expired.
func TestProofInstanceCutOff(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			var c *proxyMesh
			e := startUDPDeploymentWithControls(t, 3, pinToControl, func(d *deployer.Deployment) { c = startControlsWithProxies(t, d) })
			isolated := awaitLeader(t, e.Deployment)
			if role == "follower" {
				isolated = (isolated + 1) % 3
			}
			entry := registrar.MachineName(e.EntryName(isolated))
			e.send(isolated, 20)
			c.blockTraffic(isolated)
			// Only the instance that is cut off knows when the lease of the entry expires.
			e.Process(string(entry)).Kill()
			silencedAt := time.Now()
			carryThroughOther(t, e.Deployment, isolated, planner.Intent{
				Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"},
			})
			p := e.awaitProof(e.proofAt((isolated+1)%3), func(p leaser.Proof) {
				require.Equal(t, leaser.NodeUnproved, nodeProofs(p, entry)[0].State, "an entry that may hold a lease is counted")
			})
			require.Equal(t, leaser.NodeFenced, nodeProofs(p, entry)[0].State)
			waited := time.Duration(p.AtMilli-silencedAt.UnixMilli()) * time.Millisecond
			t.Logf("proved %s after the cut", waited)
			require.GreaterOrEqual(t, waited, minProofWait)
			require.Less(t, waited, subscriber.LeaseBound+failoverLimit)
			c.restoreTraffic()
			e.StartEntry(isolated)
			require.Equal(t, leaser.Stopped, e.awaitStopped(nil).Verdict)
			e.requireStaysStopped()
		})
	}
}

// TestProofInstanceThawed guards against a proof that becomes false when an instance and its nodes, which were frozen before the
// customer was cut, thaw after the proof.
func TestProofInstanceThawed(t *testing.T) {
	e := startUDPDeployment(t, 3, pinToControl)
	isolated := 0
	if awaitLeader(t, e.Deployment) == isolated {
		isolated = 1
	}
	frozen := []*deployer.Process{
		process(e.Deployment, isolated), e.Process(e.EntryName(isolated)), e.Process("agent-" + string(e.UpstreamName(0, isolated))),
	}
	stop := e.sendContinuously()
	defer func() { stop() }()
	require.Eventually(t, func() bool { return e.received.Load() > 100 }, deployer.WaitTime, 20*time.Millisecond)
	for _, p := range frozen {
		p.Freeze()
	}
	frozenAt := time.Now()
	carryThroughOther(t, e.Deployment, isolated, planner.Intent{
		Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"},
	})
	p := e.awaitProof(e.proofAt((isolated+1)%3), nil)
	require.GreaterOrEqual(t, p.AtMilli, frozenAt.Add(minProofWait).UnixMilli())
	for _, f := range frozen[1:] {
		require.Equal(t, leaser.NodeFenced, nodeProofs(p, registrar.MachineName(f.Name))[0].State, f.Name)
	}
	time.Sleep(settleDelay)
	before := e.received.Load()
	for _, f := range frozen {
		f.Thaw()
	}
	time.Sleep(reportDelay)
	stop()
	stop = func() {}
	e.requireStaysStopped()
	require.Equal(t, before, e.received.Load(), "a datagram reached an upstream after the proof")
	require.Equal(t, 5, e.awaitStopped(nil).Totals.Confirmed)
}

const (
	// longCutDuration exceeds every timeout of the protocol and the time for which the logs retain entries for an unreachable peer.
	longCutDuration = 2 * time.Minute
	// changePause is the pause between two changes during the cut.
	changePause = 300 * time.Millisecond
)

// TestInstanceCutOffLong guards against an instance that reverts a change, disturbs the others or does not catch up after it was
// silently cut off for minutes, in which the others confirmed changes and elected another leader.
func TestInstanceCutOffLong(t *testing.T) {
	d := deployer.New(t, deployer.Options{
		Controls: 5, Entries: 3, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
	})
	c := startWithProxies(t, d)
	first := awaitLeader(t, d)
	isolated := (first + 1) % d.Controls
	newest := make([]registrar.Revision, d.Controls)
	c.blockTraffic(isolated)
	start, elected := time.Now(), false
	var last registrar.Revision
	for time.Since(start) < longCutDuration {
		if !elected && time.Since(start) > longCutDuration/3 {
			elected = true
			process(d, first).Freeze()
			defer time.AfterFunc(longCutDuration/3, process(d, first).Thaw).Stop()
		}
		r := addZoneThroughOther(t, d, isolated)
		require.Greater(t, r, last)
		last = r
		requireRevisionsNotOlder(t, d, newest, first, elected && time.Since(start) < 2*longCutDuration/3+time.Second)
		time.Sleep(changePause)
	}
	before := awaitLeader(t, d)
	require.NotEqual(t, first, before, "no election")
	require.Less(t, newest[isolated], last, "the instance received changes while it was cut off")
	c.restoreTraffic()
	require.Eventually(t, func() bool {
		requireRevisionsNotOlder(t, d, newest, first, false)
		return newest[isolated] >= last
	}, inForceLimit, 20*time.Millisecond, "the instance does not catch up")
	require.Equal(t, before, awaitLeader(t, d), "the returning instance disturbs the leader")
	waitInForceAt(t, d, isolated, addZoneThroughOther(t, d, isolated))
	t.Logf("revision %d", last)
}

// requireRevisionsNotOlder reads the revision of each instance and fails the test if one is older than before.
func requireRevisionsNotOlder(t *testing.T, d *deployer.Deployment, newest []registrar.Revision, frozen int, isFrozen bool) {
	t.Helper()
	for i := range newest {
		if i == frozen && isFrozen {
			continue
		}
		var st administrator.Status
		if _, err := d.API(i, "GET", "/v1/status", nil, &st); err == nil {
			require.GreaterOrEqual(t, st.Revision, newest[i], fmt.Sprintf("control-%d reports an older revision", i))
			newest[i] = st.Revision
		}
	}
}
