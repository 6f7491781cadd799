package runner_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// inForceLimit is the time within which the design page promises that a confirmed change is in force.
const inForceLimit = 3 * time.Second

func withPortZero(a netip.Addr) netip.AddrPort { return netip.AddrPortFrom(a, 0) }

// answer is the response to one request.
type answer struct {
	status int
	result planner.Result
}

// request sends a request until an instance carries it out or refuses it, beginning with instance i. A resent request
// has the same number, so it takes effect only once.
func request(e *udpDeployment, i int, path string, body any) (a answer) {
	e.t.Helper()
	for deadline := time.Now().Add(deployer.WaitTime); time.Now().Before(deadline); i++ {
		a = answer{}
		a.status, _ = e.API(i%e.Controls, http.MethodPost, path, body, &a.result)
		if a.status != 0 && a.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return a
}

// requestConcurrently sends n requests to all instances at the same time and returns their answers.
func requestConcurrently(e *udpDeployment, n int, content func(i int) (path string, body any)) []answer {
	answers := slices.Repeat([]answer{{}}, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			path, body := content(i)
			answers[i] = request(e, i, path, body)
		})
	}
	wg.Wait()
	return answers
}

func addZone(name string) planner.Intent {
	return planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: registrar.ZoneName(name), Region: "johor"}}
}

// TestOperatorsRace guards against two requests with the same number that both take effect, and against a plan that is applied
// twice.
func TestOperatorsRace(t *testing.T) {
	e := startUDPDeployment(t, 1, nil)
	const racers = 16
	names := []string{"north", "south"}
	answers := requestConcurrently(e, racers, func(i int) (string, any) {
		return "/v1/plans", administrator.PlanRequest{Number: 5000, Intent: addZone(names[i%2])}
	})
	var acceptedPlan *planner.Plan
	accepted := 0
	for i, a := range answers {
		if a.status != http.StatusOK {
			require.Equal(t, http.StatusConflict, a.status)
			continue
		}
		if acceptedPlan == nil {
			acceptedPlan = a.result.Plan
		}
		require.Equal(t, names[i%2], string(a.result.Plan.Intent.Zone.Name))
		require.Equal(t, acceptedPlan, a.result.Plan, "one number made two plans")
		accepted++
	}
	require.Equal(t, racers/2, accepted)

	before := e.Status().Revision
	path := fmt.Sprintf("/v1/plans/%d/confirm", acceptedPlan.ID)
	for _, a := range requestConcurrently(e, racers, func(i int) (string, any) {
		return path, administrator.ConfirmRequest{Number: planner.RequestNumber(6000 + i%3)}
	}) {
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, before+1, a.result.Revision)
	}
	require.Equal(t, before+1, e.Status().Revision, "a plan was applied twice")

	// The answers are treated as lost: the operator resends to other instances, also after all of them were killed and restarted.
	var plan, confirmed answer
	for round := range 4 {
		a := request(e, round, "/v1/plans", administrator.PlanRequest{Number: 7000, Intent: addZone("east")})
		require.Equal(t, http.StatusOK, a.status)
		c := request(e, round+1, fmt.Sprintf("/v1/plans/%d/confirm", a.result.Plan.ID), administrator.ConfirmRequest{Number: 7001})
		require.Equal(t, http.StatusOK, c.status)
		if round == 0 {
			plan, confirmed = a, c
		}
		require.Equal(t, plan, a, "a resend gets another answer")
		require.Equal(t, confirmed, c, "a resend gets another answer")
		if round == 2 {
			for i := range e.Controls {
				process(e.Deployment, i).Kill()
			}
			for i := range e.Controls {
				e.StartControl(i)
			}
		}
	}
	require.Equal(t, before+2, confirmed.result.Revision)
	conflict := request(e, 0, "/v1/plans", administrator.PlanRequest{Number: 7000, Intent: addZone("west")})
	require.Equal(t, http.StatusConflict, conflict.status, "a number is accepted for another request after a restart")
	zones := map[registrar.ZoneName]int{}
	for _, z := range e.Status().Zones {
		zones[z.Name]++
	}
	require.Equal(t, map[registrar.ZoneName]int{"johor-a": 1, "johor-b": 1, acceptedPlan.Intent.Zone.Name: 1, "east": 1}, zones)
	var page administrator.Page[planner.AuditEntry]
	e.readFromAny("/v1/audit?limit=1000", &page)
	entries := map[planner.RequestNumber]int{}
	for _, a := range page.Items {
		entries[a.Number]++
	}
	require.Equal(t, 2, entries[7000], "the audit log holds a resend as a new action, or lacks the conflict")
	require.Equal(t, 1+racers/2, entries[5000], "conflicts are not in the audit log")
}

// enforcedRevisions returns the revisions that a machine logged as in force, in order.
func enforcedRevisions(t *testing.T, log string) []registrar.Revision {
	var all []registrar.Revision
	for _, line := range strings.Split(log, "\n") {
		var e struct {
			Event    int                `json:"event"`
			Revision registrar.Revision `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == 2002 {
			all = append(all, e.Revision)
		}
	}
	require.NotEmpty(t, all)
	return all
}

// TestConfirmedChangeInForce guards against a confirmed change that is not in force within 3 s at every reachable node, and
// against one that reverts later, even at a node that was frozen in the meantime.
func TestConfirmedChangeInForce(t *testing.T) {
	e := startUDPDeployment(t, 3, nil)
	stop := e.sendContinuously()
	defer func() { stop() }()
	frozen := e.Process("entry-2")
	frozen.Freeze()
	r := e.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: "johor-b"}})
	confirmedAt := time.Now()
	require.Contains(t, r.Plan.Warnings, "service telemetry: leaves 50% of capacity")
	require.Eventually(t, func() bool {
		n := 0
		for _, node := range e.Status().Nodes {
			if node.Machine != "entry-2" && node.Revision >= r.Revision {
				n++
			}
		}
		return n == 4
	}, time.Until(confirmedAt.Add(inForceLimit)), 20*time.Millisecond, "the change is not in force within 3 s")
	time.Sleep(time.Until(confirmedAt.Add(inForceLimit)))
	frozen.Thaw()
	require.Eventually(t, func() bool {
		for _, node := range e.Status().Nodes {
			if node.Revision < r.Revision || !node.Leased {
				return false
			}
		}
		return true
	}, deployer.WaitTime, 50*time.Millisecond)
	stop()
	stop = func() {}
	for _, name := range []string{"entry-0", "entry-1", "entry-2", "agent-telemetry-0", "agent-telemetry-1"} {
		require.IsIncreasing(t, enforcedRevisions(t, e.Log(name)), name)
	}
	z := e.Status().Zones[1]
	require.True(t, z.Withdrawn)
}

// TestUpstreamAnnouncedTwice guards against a second machine that takes over the name of a live upstream, and against a name that
// stays reserved after its machine has left.
func TestUpstreamAnnouncedTwice(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 1, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: zones}},
	})
	d.StartAll()
	d.Configure("cust")
	d.Process("agent-telemetry-1").Kill()
	s := d.AgentSettings(0, 1)
	s["upstream"] = "telemetry-0"
	d.Start("agent", "agent-telemetry-1", s)
	first := func() registrar.Upstream {
		for _, u := range d.Status().Upstream {
			if u.Name == "telemetry-0" {
				return u
			}
		}
		return registrar.Upstream{}
	}
	require.Eventually(t, func() bool {
		return strings.Contains(d.Log("agent-telemetry-1"), `is announced by machine \"agent-telemetry-0\"`)
	}, deployer.WaitTime, 50*time.Millisecond, "the second announcer is not refused")
	before := first()
	require.Equal(t, registrar.MachineName("agent-telemetry-0"), before.Machine)
	d.Process("agent-telemetry-0").Kill()
	require.Eventually(t, func() bool {
		u := first()
		return u.Machine == "agent-telemetry-1" && !u.Silent && u.ID == before.ID && u.Zone == "johor-b"
	}, 2*deployer.WaitTime, 100*time.Millisecond, "the upstream does not move to another machine")
}
