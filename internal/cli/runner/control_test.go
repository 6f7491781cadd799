package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// failoverLimit bounds the time without a leader: the election takes about 1 s, and node leases of 2.5 s must outlast it.
const failoverLimit = 2500 * time.Millisecond

// newControlGroup starts three control instances and two entries.
func newControlGroup(t *testing.T) *deployer.Deployment {
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 2, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
	})
	d.StartAll()
	d.Configure("estate")
	t.Cleanup(func() { requireRevisionsIncrease(t, d) })
	return d
}

// requireRevisionsIncrease fails the test if an entry has enforced a revision after a newer one.
func requireRevisionsIncrease(t *testing.T, d *deployer.Deployment) {
	for i := range d.Entries {
		var newest registrar.Revision
		for _, line := range strings.Split(d.Log(fmt.Sprintf("entry-%d", i)), "\n") {
			var l struct {
				Event    int                `json:"event"`
				Revision registrar.Revision `json:"revision"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Event == recorder.RevisionEnforced.Number {
				require.Greater(t, l.Revision, newest, "entry-%d", i)
				newest = l.Revision
			}
		}
		require.NotZero(t, newest, "entry-%d", i)
	}
}

// zoneNumber counts the zones that the tests add. It makes their names and request numbers unique.
var zoneNumber int

// confirmZone carries out one change and returns the revision that confirmed it.
func confirmZone(d *deployer.Deployment) registrar.Revision {
	zoneNumber++
	name := registrar.ZoneName(fmt.Sprintf("zone-%d", zoneNumber))
	return d.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: name, Region: "johor"}}).Revision
}

// waitInForce fails the test unless all entries enforce revision r or a newer one within the given duration.
func waitInForce(t *testing.T, d *deployer.Deployment, r registrar.Revision, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return lowestLeasedRevision(d.Status(), d.Entries) >= r }, within, 20*time.Millisecond,
		"revision %d is not in force everywhere", r)
}

// lowestLeasedRevision returns the lowest revision among the nodes that hold a lease; 0 unless all do.
func lowestLeasedRevision(st administrator.Status, nodes int) registrar.Revision {
	low, n := registrar.Revision(0), 0
	for _, s := range st.Nodes {
		if !s.Leased {
			continue
		}
		if n++; low == 0 || s.Revision < low {
			low = s.Revision
		}
	}
	if n < nodes {
		return 0
	}
	return low
}

// membersSeenBy returns the members that instance i reports.
func membersSeenBy(d *deployer.Deployment, i int) administrator.MembersStatus {
	var st administrator.MembersStatus
	_, _ = d.API(i, "GET", "/v1/members", nil, &st)
	return st
}

// awaitLeader waits until a majority names the same leader and returns its number.
func awaitLeader(t *testing.T, d *deployer.Deployment) int {
	t.Helper()
	found := -1
	require.Eventually(t, func() bool {
		votes := map[int]int{}
		for i := range d.Controls {
			for _, m := range membersSeenBy(d, i).Members {
				var n int
				if _, err := fmt.Sscanf(string(m.Name), "control-%d", &n); err == nil && m.Leader {
					votes[n]++
				}
			}
		}
		for n, v := range votes {
			if v > d.Controls/2 {
				found = n
			}
		}
		return found >= 0
	}, deployer.WaitTime, 50*time.Millisecond, "no leader")
	return found
}

func process(d *deployer.Deployment, i int) *deployer.Process {
	return d.Process(fmt.Sprintf("control-%d", i))
}

// TestLeaderKilled guards against a failover that outlasts node leases, and against a confirmed change that is lost with
// its leader.
func TestLeaderKilled(t *testing.T) {
	d := newControlGroup(t)
	for range 2 {
		before := confirmZone(d)
		l := awaitLeader(t, d)
		process(d, l).Kill()
		start := time.Now()
		r := confirmZone(d)
		require.Greater(t, r, before)
		require.Less(t, time.Since(start), failoverLimit)
		waitInForce(t, d, r, inForceLimit)
		d.StartControl(l)
		waitMember(t, d, l)
	}
}

// waitMember waits until instance i answers and knows a leader.
func waitMember(t *testing.T, d *deployer.Deployment, i int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, m := range membersSeenBy(d, i).Members {
			if m.Leader {
				return true
			}
		}
		return false
	}, deployer.WaitTime, 50*time.Millisecond)
}

// TestLeaderFrozen guards against a leader that, after it was frozen and thawed, grants leases or confirms changes on stale
// knowledge.
func TestLeaderFrozen(t *testing.T) {
	d := newControlGroup(t)
	l := awaitLeader(t, d)
	process(d, l).Freeze()
	start := time.Now()
	r := addZoneThroughOther(t, d, l)
	require.Less(t, time.Since(start), failoverLimit)
	waitInForceAt(t, d, (l+1)%3, r)
	process(d, l).Thaw()
	require.Eventually(t, func() bool {
		var st administrator.Status
		_, err := d.API(l, "GET", "/v1/status", nil, &st)
		return err == nil && st.Revision >= r && lowestLeasedRevision(st, d.Entries) >= r
	}, inForceLimit, 20*time.Millisecond, "the thawed instance does not catch up")
	next := confirmZone(d)
	require.Greater(t, next, r)
	waitInForce(t, d, next, inForceLimit)
}

// TestRestartAfterChanges guards against changes lost or reverted by a restart of all instances after 300 changes.
func TestRestartAfterChanges(t *testing.T) {
	d := newControlGroup(t)
	var last registrar.Revision
	for range 300 {
		last = confirmZone(d)
	}
	before := d.Status()
	for i := range d.Controls {
		process(d, i).Kill()
	}
	for i := range d.Controls {
		d.StartControl(i)
	}
	next := confirmZone(d)
	require.Greater(t, next, last)
	after := d.Status()
	require.Len(t, after.Zones, len(before.Zones)+1)
	waitInForce(t, d, next, inForceLimit)
}

// TestLostDisks guards against changes that are lost when a second disk fails right after the first one was replaced.
func TestLostDisks(t *testing.T) {
	d := newControlGroup(t)
	first := awaitLeader(t, d)
	for _, i := range []int{first, (first + 1) % 3, (first + 2) % 3} {
		r := confirmZone(d)
		lost := awaitNewIdentity(t, d, i, 0)
		process(d, i).Kill()
		require.NoError(t, os.RemoveAll(filepath.Join(d.Folder, fmt.Sprintf("control-%d", i))))
		d.StartControl(i)
		waitRepaired(t, d, i, awaitNewIdentity(t, d, i, lost))
		require.GreaterOrEqual(t, d.Status().Revision, r)
	}
	r := confirmZone(d)
	waitInForce(t, d, r, inForceLimit)
}

// waitRepaired waits until the instance with a new disk is a voter and its old identity is no longer a member.
func waitRepaired(t *testing.T, d *deployer.Deployment, i int, id uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		st := membersSeenBy(d, (i+1)%3).Members
		if len(st) != 3 {
			return false
		}
		for _, m := range st {
			if !m.Voter || string(m.Name) == fmt.Sprintf("control-%d", i) && uint64(m.ID) != id {
				return false
			}
		}
		return true
	}, deployer.WaitTime, 20*time.Millisecond, "the lost disk is not replaced: %v", membersSeenBy(d, (i+1)%3))
}

// awaitNewIdentity waits until instance i has a member id other than old, and returns it.
func awaitNewIdentity(t *testing.T, d *deployer.Deployment, i int, old uint64) (id uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		log := d.Log(fmt.Sprintf("control-%d", i))
		offset := strings.LastIndex(log, `"member":`)
		return offset >= 0 && parseMemberID(log[offset:], &id) && id != old
	}, deployer.WaitTime, 20*time.Millisecond)
	return id
}

func parseMemberID(s string, id *uint64) bool {
	_, err := fmt.Sscanf(s, `"member":%d,`, id)
	return err == nil
}

// proxyMesh is a set of proxies between control instances. Each instance reaches each other one through a proxy of its own.
type proxyMesh struct {
	t       *testing.T
	server  *toxiproxy.ApiServer
	proxies map[[2]int]*toxiproxy.Proxy
}

// startWithProxies starts the instances of a deployment with proxies between them, and its entries.
func startWithProxies(t *testing.T, d *deployer.Deployment) *proxyMesh {
	c := startControlsWithProxies(t, d)
	for i := range d.Entries {
		d.StartEntry(i)
	}
	d.Configure("estate")
	t.Cleanup(func() { requireRevisionsIncrease(t, d) })
	return c
}

// startControlsWithProxies starts the instances of a deployment with proxies between them.
func startControlsWithProxies(t *testing.T, d *deployer.Deployment) *proxyMesh {
	c := &proxyMesh{
		t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[[2]int]*toxiproxy.Proxy{},
	}
	for i := range d.Controls {
		s := d.ControlSettings(i)
		addresses := map[string]netip.AddrPort{}
		for name, a := range s["members"].(map[string]netip.AddrPort) {
			addresses[name] = a
		}
		for j := range d.Controls {
			name := fmt.Sprintf("control-%d", j)
			if j == i {
				continue
			}
			// The proxy listens on the address of the instance that it forwards to, so that certificates match.
			listen := netip.AddrPortFrom(d.ControlAddr(j), uint16(7100+i))
			p := toxiproxy.NewProxy(c.server, fmt.Sprintf("%d-%d", i, j), listen.String(), addresses[name].String())
			require.NoError(t, p.Start())
			t.Cleanup(p.Stop)
			c.proxies[[2]int{i, j}] = p
			addresses[name] = listen
		}
		s["members"] = addresses
		d.Start("control", fmt.Sprintf("control-%d", i), s)
	}
	return c
}

// blockTraffic drops all data between an instance and the others. Connections stay open.
func (c *proxyMesh) blockTraffic(i int) {
	for link, p := range c.proxies {
		if link[0] != i && link[1] != i {
			continue
		}
		for _, stream := range []string{"upstream", "downstream"} {
			_, err := p.Toxics.AddToxicJson(strings.NewReader(
				fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, "cut-"+stream, stream)))
			require.NoError(c.t, err)
		}
	}
}

func (c *proxyMesh) restoreTraffic() {
	for _, p := range c.proxies {
		p.Toxics.ResetToxics(context.Background())
	}
}

// TestInstanceCutOff guards against an instance that, silently cut off for 15 s, grants leases on stale knowledge, stops the
// other instances, or disturbs the leader or reverts changes when it is reachable again.
func TestInstanceCutOff(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			d := deployer.New(t, deployer.Options{
				Controls: 3, Entries: 3, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
			})
			c := startWithProxies(t, d)
			isolated := awaitLeader(t, d)
			if role == "follower" {
				isolated = (isolated + 1) % 3
			}
			c.blockTraffic(isolated)
			start := time.Now()
			var last registrar.Revision
			for time.Since(start) < 15*time.Second {
				r := addZoneThroughOther(t, d, isolated)
				require.Greater(t, r, last)
				last = r
				waitInForceAt(t, d, (isolated+1)%3, r)
			}
			before := awaitLeader(t, d)
			c.restoreTraffic()
			require.Eventually(t, func() bool {
				var st administrator.Status
				_, err := d.API(isolated, "GET", "/v1/status", nil, &st)
				return err == nil && st.Revision >= last
			}, inForceLimit, 20*time.Millisecond, "the instance does not catch up")
			require.Equal(t, before, awaitLeader(t, d), "the returning instance disturbs the leader")
			require.GreaterOrEqual(t, lowestLeasedRevision(d.Status(), d.Entries), last, "an entry enforces an older revision")
		})
	}
}

// addZoneThroughOther adds a zone through an instance other than the isolated one.
func addZoneThroughOther(t *testing.T, d *deployer.Deployment, isolated int) registrar.Revision {
	t.Helper()
	name := registrar.ZoneName(fmt.Sprintf("zone-%d", zoneNumber+1))
	return carryThroughOther(t, d, isolated, planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: name, Region: "johor"}})
}

// carryThroughOther carries out a change through an instance other than the isolated one.
func carryThroughOther(t *testing.T, d *deployer.Deployment, isolated int, in planner.Intent) registrar.Revision {
	t.Helper()
	zoneNumber++
	plan := administrator.PlanRequest{Number: planner.RequestNumber(1_000_000 + 2*zoneNumber), Intent: in}
	confirm := administrator.ConfirmRequest{Number: plan.Number + 1}
	var r planner.Result
	for deadline := time.Now().Add(deployer.WaitTime); ; time.Sleep(50 * time.Millisecond) {
		// The request numbers make it safe to resend.
		i := (isolated + 1 + zoneNumber%2) % d.Controls
		_, err := d.API(i, "POST", "/v1/plans", plan, &r)
		if err == nil {
			_, err = d.API(i, "POST", fmt.Sprintf("/v1/plans/%d/confirm", r.Plan.ID), confirm, &r)
		}
		if err == nil {
			return r.Revision
		}
		require.True(t, time.Now().Before(deadline), "%v", err)
	}
}

// waitInForceAt does the same as waitInForce, but reads the status from the reachable instance i.
func waitInForceAt(t *testing.T, d *deployer.Deployment, i int, r registrar.Revision) {
	t.Helper()
	require.Eventually(t, func() bool {
		var st administrator.Status
		_, err := d.API(i, "GET", "/v1/status", nil, &st)
		return err == nil && enforced(st, d.Entries, r)
	}, inForceLimit, 20*time.Millisecond, "revision %d is not in force everywhere", r)
}

// enforced reports whether the entries' newest known revisions have reached r.
func enforced(st administrator.Status, nodes int, r registrar.Revision) bool {
	n := 0
	for _, s := range st.Nodes {
		if s.Role == registrar.RoleEntry && s.Revision >= r {
			n++
		}
	}
	return n >= nodes
}

// TestMemberJoins guards against an instance that cannot be added, or that counts as a voter without the log, and against a
// group that stops working after a member was removed.
func TestMemberJoins(t *testing.T) {
	d := deployer.New(t, deployer.Options{
		Controls: 4, Entries: 2, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
	})
	for i := range 3 {
		s := d.ControlSettings(i)
		delete(s["members"].(map[string]netip.AddrPort), "control-3")
		d.Start("control", fmt.Sprintf("control-%d", i), s)
	}
	for i := range d.Entries {
		d.StartEntry(i)
	}
	d.Configure("estate")
	d.StartControl(3)
	change := func(verb replicator.Verb, name registrar.MachineName) {
		t.Helper()
		c := replicator.Change{Verb: verb, Name: name, Address: netip.AddrPortFrom(d.ControlAddr(3), 7000)}
		require.Eventually(t, func() bool {
			_, err := d.API(1, "POST", "/v1/members", c, &administrator.MembersStatus{})
			return err == nil
		}, deployer.WaitTime, 100*time.Millisecond, "%s %s", verb, name)
	}
	_, err := d.API(1, "POST", "/v1/members", replicator.Change{Verb: replicator.PromoteMember, Name: "control-3"},
		&administrator.MembersStatus{})
	require.ErrorContains(t, err, "not a member")
	change(replicator.AddMember, "control-3")
	change(replicator.PromoteMember, "control-3")
	change(replicator.RemoveMember, "control-0")
	process(d, 0).Kill()
	r := confirmZone(d)
	waitInForceAt(t, d, 1, r)
	// Two of the three voters remain, one of which is the new member.
	process(d, 2).Kill()
	require.Greater(t, confirmZone(d), r)
	require.Len(t, membersSeenBy(d, 3).Members, 3)
}
