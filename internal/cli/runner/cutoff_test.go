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

// leastWait is how long a proof has to wait at least for an instance that has fallen silent. Its knowledge may be older than its
// silence by the interval of the leader's heartbeats and the delays of a busy machine.
const leastWait = subscriber.LeaseTime - 500*time.Millisecond

// pinned makes entry i and agent i talk to control instance i only.
func pinned(name string, s deployer.Settings) {
	i := int(name[len(name)-1] - '0')
	s["control"] = s["control"].([]netip.AddrPort)[i : i+1]
}

// proofAt asks one instance for a proof.
func (e *estate) proofAt(i int) func() leaser.Proof {
	return func() (p leaser.Proof) {
		e.t.Helper()
		_, err := e.API(i, "GET", "/v1/customers/cust/proof", nil, &p)
		require.NoError(e.t, err)
		return p
	}
}

// TestProofInstanceCutOff guards against a proof that waits for ever for an instance that is silently cut off, or does not wait
// until the leases that it has granted have ended.
func TestProofInstanceCutOff(t *testing.T) {
	for _, who := range []string{"leader", "follower"} {
		t.Run(who, func(t *testing.T) {
			var c *cutter
			e := startEstateAround(t, 3, pinned, func(d *deployer.Deployment) { c = cutControls(t, d) })
			off := leader(t, e.Deployment)
			if who == "follower" {
				off = (off + 1) % 3
			}
			entry := registrar.MachineName(e.EntryName(off))
			e.send(off, 20)
			c.silence(off)
			// Only the instance that is cut off knows how long the entry's lease runs.
			e.Process(string(entry)).Kill()
			silenced := time.Now()
			carryIntentElsewhere(t, e.Deployment, off, planner.Intent{
				Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"},
			})
			p := e.untilProved(e.proofAt((off+1)%3), func(p leaser.Proof) {
				require.Equal(t, leaser.NodeUnproved, nodes(p, entry)[0].State, "an entry that may hold a lease is counted")
			})
			require.Equal(t, leaser.NodeFenced, nodes(p, entry)[0].State)
			waited := time.Duration(p.AtMilli-silenced.UnixMilli()) * time.Millisecond
			t.Logf("proved %s after the cut", waited)
			require.GreaterOrEqual(t, waited, leastWait)
			require.Less(t, waited, subscriber.LeaseBound+failover)
			c.heal()
			e.StartEntry(off)
			require.Equal(t, leaser.Stopped, e.untilStopped(nil).Verdict)
			e.staysStopped()
		})
	}
}

// TestProofInstanceThawed guards against a proof that an instance and its nodes break, which are frozen before the cut and thaw
// after the proof.
func TestProofInstanceThawed(t *testing.T) {
	e := startEstate(t, 3, pinned)
	off := 0
	if leader(t, e.Deployment) == off {
		off = 1
	}
	frozen := []*deployer.Process{
		process(e.Deployment, off), e.Process(e.EntryName(off)), e.Process("agent-" + string(e.UpstreamName(0, off))),
	}
	stop := e.flood()
	defer func() { stop() }()
	require.Eventually(t, func() bool { return e.got.Load() > 100 }, deployer.WaitTime, 20*time.Millisecond)
	for _, p := range frozen {
		p.Freeze()
	}
	at := time.Now()
	carryIntentElsewhere(t, e.Deployment, off, planner.Intent{
		Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "cust"},
	})
	p := e.untilProved(e.proofAt((off+1)%3), nil)
	require.GreaterOrEqual(t, p.AtMilli, at.Add(leastWait).UnixMilli())
	for _, f := range frozen[1:] {
		require.Equal(t, leaser.NodeFenced, nodes(p, registrar.MachineName(f.Name))[0].State, f.Name)
	}
	time.Sleep(settleTime)
	before := e.got.Load()
	for _, f := range frozen {
		f.Thaw()
	}
	time.Sleep(reportTime)
	stop()
	stop = func() {}
	e.staysStopped()
	require.Equal(t, before, e.got.Load(), "a datagram reached an upstream after the proof")
	require.Equal(t, 5, e.untilStopped(nil).Totals.Confirmed)
}

const (
	// longCut outlasts every time of the protocol and the logs' memory of a peer that was away for a short time.
	longCut = 2 * time.Minute
	// changePause spreads the changes over the cut.
	changePause = 300 * time.Millisecond
)

// TestInstanceCutOffLong guards against an instance that reverts something, disturbs the others or does not catch up after it
// was silently cut off for minutes, in which the others confirmed changes and elected another leader.
func TestInstanceCutOffLong(t *testing.T) {
	d := deployer.New(t, deployer.Options{
		Controls: 5, Entries: 3, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
	})
	c := newCutter(t, d)
	first := leader(t, d)
	off := (first + 1) % d.Controls
	newest := make([]registrar.Revision, d.Controls)
	c.silence(off)
	start, elected := time.Now(), false
	var last registrar.Revision
	for time.Since(start) < longCut {
		if !elected && time.Since(start) > longCut/3 {
			elected = true
			process(d, first).Freeze()
			defer time.AfterFunc(longCut/3, process(d, first).Thaw).Stop()
		}
		r := carryElsewhere(t, d, off)
		require.Greater(t, r, last)
		last = r
		neverBack(t, d, newest, first, elected && time.Since(start) < 2*longCut/3+time.Second)
		time.Sleep(changePause)
	}
	before := leader(t, d)
	require.NotEqual(t, first, before, "no election")
	require.Less(t, newest[off], last, "the cut lets something through")
	c.heal()
	require.Eventually(t, func() bool {
		neverBack(t, d, newest, first, false)
		return newest[off] >= last
	}, inForce, 20*time.Millisecond, "the instance does not catch up")
	require.Equal(t, before, leader(t, d), "the returning instance disturbs the leader")
	waitInForceAt(t, d, off, carryElsewhere(t, d, off))
	t.Logf("revision %d", last)
}

// neverBack reads the revision of each instance and fails the test if one is older than before.
func neverBack(t *testing.T, d *deployer.Deployment, newest []registrar.Revision, frozen int, isFrozen bool) {
	t.Helper()
	for i := range newest {
		if i == frozen && isFrozen {
			continue
		}
		var st administrator.Status
		if _, err := d.API(i, "GET", "/v1/status", nil, &st); err == nil {
			require.GreaterOrEqual(t, st.Revision, newest[i], fmt.Sprintf("control-%d went back", i))
			newest[i] = st.Revision
		}
	}
}
