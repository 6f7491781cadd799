package planner

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// discardListener ignores all updates.
type discardListener struct{}

func (discardListener) Add(registrar.Update) {}
func (discardListener) Reset()               {}

// applyJSON applies a command through its log entry and decodes the result.
func applyJSON(t require.TestingT, l *Ledger, c Command) Result {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	var r Result
	require.NoError(t, json.Unmarshal(l.Apply(0, b), &r))
	return r
}

func planCommand(op registrar.OperatorName, n RequestNumber, in Intent) Command {
	return Command{Kind: CommandPlan, Operator: op, Number: n, Intent: &in}
}

func confirmCommand(op registrar.OperatorName, n RequestNumber, id PlanID) Command {
	return Command{Kind: CommandConfirm, Operator: op, Number: n, Plan: id}
}

// planAndConfirm plans and confirms an intent.
func planAndConfirm(t require.TestingT, l *Ledger, n RequestNumber, in Intent) Plan {
	r := applyJSON(t, l, planCommand("setup", n, in))
	require.Nil(t, r.Failure)
	r = applyJSON(t, l, confirmCommand("setup", n+1, r.Plan.ID))
	require.Nil(t, r.Failure)
	return *r.Plan
}

// announceCommand returns the announcement of an upstream by an incarnation of its agent, as proposed at the present state of l.
func announceCommand(
	u registrar.UpstreamName, zone registrar.ZoneName, incarnation registrar.Incarnation, w registrar.Weight, l *Ledger,
) Command {
	m := registrar.Machine{Name: registrar.MachineName("agent-" + u), Role: registrar.RoleAgent, Zone: zone, Incarnation: incarnation}
	old, _ := l.World.Machine(m.Name)
	return Command{Kind: CommandSystem, Facts: &Facts{
		Machines: []MachineFact{{Machine: m, Previous: old.Incarnation}},
		Upstreams: []UpstreamFact{{
			Name: u, Service: "reservas", Zone: zone, Machine: m.Name, Incarnation: incarnation, Slots: 3, Weight: w,
		}},
	}}
}

// newTestLedger returns a ledger with two zones, a service, three upstreams and a customer with a contract.
func newTestLedger(t require.TestingT) *Ledger {
	l := NewLedger(discardListener{})
	n := RequestNumber(1)
	for _, in := range []Intent{
		{Kind: AddZone, Zone: &registrar.Zone{Name: "a", Region: "r"}},
		{Kind: AddZone, Zone: &registrar.Zone{Name: "b", Region: "r"}},
		{Kind: AddService, Service: &registrar.Service{
			Name: "reservas", Address: netip.MustParseAddrPort("192.0.2.1:443"), Transport: registrar.TransportQUIC,
		}},
		{Kind: AddCustomer, Customer: &registrar.Customer{Name: "cust"}},
		{Kind: AddContract, Contract: &registrar.Contract{
			Name: "con", Customer: "cust", Service: "reservas", SourcePrefixes: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		}},
	} {
		planAndConfirm(t, l, n, in)
		n += 2
	}
	applyJSON(t, l, announceCommand("u1", "a", 1, 3000, l))
	applyJSON(t, l, announceCommand("u2", "a", 1, 3000, l))
	applyJSON(t, l, announceCommand("u3", "b", 1, 4000, l))
	return l
}

// restoreCopy returns a ledger restored from a snapshot of l.
func restoreCopy(t require.TestingT, l *Ledger) *Ledger {
	b, err := l.Snapshot()
	require.NoError(t, err)
	restored := NewLedger(discardListener{})
	require.NoError(t, restored.Restore(b))
	return restored
}

func upstreamIntent(kind IntentKind, name registrar.UpstreamName, w registrar.Weight) Intent {
	return Intent{Kind: kind, Upstream: &registrar.Upstream{Name: name, Weight: w}}
}

// randomCommand draws a command from few values, so that numbers, contents and plans often collide.
func randomCommand(t *rapid.T, l *Ledger) Command {
	op := rapid.SampledFrom([]registrar.OperatorName{"ana", "teoh"}).Draw(t, "operator")
	n := RequestNumber(rapid.IntRange(1, 8).Draw(t, "number"))
	u := rapid.SampledFrom([]registrar.UpstreamName{"u1", "u2", "u3"}).Draw(t, "upstream")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		w := registrar.Weight(rapid.SampledFrom([]int{2000, 3000, 4000}).Draw(t, "weight"))
		zone := rapid.SampledFrom([]registrar.ZoneName{"a", "b"}).Draw(t, "zone")
		return announceCommand(u, zone, registrar.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")), w, l)
	case 1, 2:
		return confirmCommand(op, n, PlanID(rapid.IntRange(1, 14).Draw(t, "plan")))
	case 3:
		kind := rapid.SampledFrom([]IntentKind{RetireUpstream, RestoreUpstream, ChangeUpstream, RemoveUpstream}).Draw(t, "intent")
		return planCommand(op, n, upstreamIntent(kind, u, 2500))
	case 4:
		kind := rapid.SampledFrom([]IntentKind{CutCustomer, RestoreCustomer}).Draw(t, "intent")
		return planCommand(op, n, Intent{Kind: kind, Customer: &registrar.Customer{Name: "cust"}})
	}
	kind := rapid.SampledFrom([]IntentKind{WithdrawZone, ReturnZone}).Draw(t, "intent")
	return planCommand(op, n, Intent{Kind: kind, Zone: &registrar.Zone{Name: "a"}})
}

// TestRequestsTakeEffectOnce guards against a request that is applied twice, a number that is accepted for two different
// contents and a resend that gets a different answer, also after a ledger was restored from a snapshot.
func TestRequestsTakeEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, replica := newTestLedger(t), newTestLedger(t)
		type requestKey struct {
			operator registrar.OperatorName
			number   RequestNumber
		}
		type firstOutcome struct {
			content string
			result  Result
		}
		outcomes := map[requestKey]firstOutcome{}
		timesApplied := map[PlanID]int{}
		var sent []Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				l = restoreCopy(t, l)
			}
			c := randomCommand(t, l)
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				c = rapid.SampledFrom(sent).Draw(t, "sent")
			} else if plans := l.Plans(); rapid.Bool().Draw(t, "confirm newest") {
				c = confirmCommand("ana", RequestNumber(len(plans)), plans[len(plans)-1].ID)
			}
			sent = append(sent, c)
			revisionBefore := l.World.Revision()
			r := applyJSON(t, l, c)
			require.Equal(t, r, applyJSON(t, replica, c), "a replica restored from a snapshot returned a different result")
			if c.Kind == CommandSystem {
				continue
			}
			content := fmt.Sprintf("%s %d %v", c.Kind, c.Plan, contentHash(c))
			key := requestKey{c.Operator, c.Number}
			switch first, resent := outcomes[key]; {
			case resent && first.content == content:
				require.Equal(t, first.result, r, "a resend returned a different result")
				require.Equal(t, revisionBefore, l.World.Revision(), "a resend changed the configuration")
				continue
			case resent:
				require.NotNil(t, r.Failure)
				require.Equal(t, FailureConflict, r.Failure.Code)
				require.Equal(t, revisionBefore, l.World.Revision(), "a conflicting request changed the configuration")
				continue
			}
			outcomes[key] = firstOutcome{content, r}
			if c.Kind == CommandPlan {
				require.Equal(t, revisionBefore, l.World.Revision(), "a plan was applied before its confirmation")
			}
			if revision := l.World.Revision(); revision != revisionBefore {
				timesApplied[c.Plan]++
				require.Equal(t, 1, timesApplied[c.Plan], "a plan was applied twice")
			}
		}
		require.Equal(t, l.World.Digest(), replica.World.Digest())
	})
}

// TestConfirmAppliesWhatWasShown guards against a confirmation whose effect differs from the one that the plan showed.
func TestConfirmAppliesWhatWasShown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLedger(t)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := randomCommand(t, l)
			c.Number = RequestNumber(100 + i)
			shown, found := l.Plan(c.Plan)
			var current Plan
			if found {
				if d, f := expand(l.World, shown.Intent); f == nil {
					current = d.plan(nil)
				}
			}
			revisionBefore := l.World.Revision()
			r := applyJSON(t, l, c)
			if c.Kind != CommandConfirm || l.World.Revision() == revisionBefore {
				continue
			}
			require.Nil(t, r.Failure)
			require.Equal(t, effectHash(shown), effectHash(current), "plan %v had other effects than it showed", shown.Steps)
		}
	})
}

// TestStale guards against a plan that stays valid after its effects have changed, and against one that an unrelated change
// makes stale.
func TestStale(t *testing.T) {
	withdraw := Intent{Kind: WithdrawZone, Zone: &registrar.Zone{Name: "a"}}
	for name, tc := range map[string]struct {
		change func(l *Ledger)
		stale  bool
	}{
		"nothing":             {func(*Ledger) {}, false},
		"restart":             {func(l *Ledger) { applyJSON(t, l, announceCommand("u1", "a", 2, 3000, l)) }, false},
		"small weight change": {func(l *Ledger) { applyJSON(t, l, announceCommand("u1", "a", 1, 3300, l)) }, false},
		"capacity share":      {func(l *Ledger) { applyJSON(t, l, announceCommand("u1", "a", 1, 900, l)) }, true},
		"upstream moves away": {func(l *Ledger) { applyJSON(t, l, announceCommand("u1", "b", 1, 3000, l)) }, true},
		"operator":            {func(l *Ledger) { planAndConfirm(t, l, 900, upstreamIntent(RetireUpstream, "u3", 0)) }, true},
		"unconfirmed plan": {func(l *Ledger) {
			applyJSON(t, l, planCommand("x", 1, upstreamIntent(RetireUpstream, "u3", 0)))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger(t)
			r := applyJSON(t, l, planCommand("ana", 1, withdraw))
			require.Equal(t, []string{"service reservas: leaves 40% of capacity"}, r.Plan.Warnings)
			require.Equal(t, []CustomerEffect{{Customer: "cust", Services: []registrar.ServiceName{"reservas"}}}, r.Plan.Customers)
			tc.change(l)
			l = restoreCopy(t, l)
			c := applyJSON(t, l, confirmCommand("ana", 2, r.Plan.ID))
			if !tc.stale {
				require.Nil(t, c.Failure)
				return
			}
			require.NotNil(t, c.Failure)
			require.Equal(t, FailureStale, c.Failure.Code)
			z, _ := l.World.Zone("a")
			require.False(t, z.Withdrawn)
		})
	}
}

// TestEvictedRequestsAreRefused guards against a request that is applied again after its record was evicted, and against plans,
// requests and audit entries that grow without bound.
func TestEvictedRequestsAreRefused(t *testing.T) {
	l := newTestLedger(t)
	retire := upstreamIntent(RetireUpstream, "u1", 0)
	first := applyJSON(t, l, planCommand("ana", 5, retire))
	require.Nil(t, first.Failure)
	for n := range RequestNumber(maxRequests + 20) {
		applyJSON(t, l, planCommand("ana", n+6, retire))
	}
	l = restoreCopy(t, l)
	require.Equal(t, maxRequests, l.requests.requestCount)
	require.LessOrEqual(t, len(l.Plans()), maxRequests)
	require.LessOrEqual(t, l.planBytes, maxPlanBytes)
	require.LessOrEqual(t, len(l.Audit(0, maxAuditEntries+1)), maxAuditEntries)
	r := applyJSON(t, l, planCommand("ana", 5, retire))
	require.Equal(t, FailureExpired, r.Failure.Code)
	require.NotNil(t, applyJSON(t, l, confirmCommand("ana", maxRequests+100, first.Plan.ID)).Failure)
	// The other operator has the fewest requests, so its first one is still recorded.
	resent := applyJSON(t, l, planCommand("setup", 1, Intent{Kind: AddZone, Zone: &registrar.Zone{Name: "a", Region: "r"}}))
	require.Nil(t, resent.Failure)
}

// TestFactsKeepIntents guards against an announcement proposed with an outdated configuration that reverts an operator's change.
func TestFactsKeepIntents(t *testing.T) {
	l := newTestLedger(t)
	delayed := announceCommand("u1", "a", 1, 9000, l)
	planAndConfirm(t, l, 900, upstreamIntent(RetireUpstream, "u1", 0))
	planAndConfirm(t, l, 902, upstreamIntent(ChangeUpstream, "u1", 1234))
	require.Nil(t, applyJSON(t, l, delayed).Failure)
	u, _ := l.World.Upstream("u1")
	require.True(t, u.Retired)
	require.Equal(t, registrar.Weight(1234), u.Weight)
	outdated := announceCommand("u1", "b", 1, 3000, l)
	applyJSON(t, l, announceCommand("u1", "a", 2, 3000, l))
	applyJSON(t, l, outdated)
	u, _ = l.World.Upstream("u1")
	require.Equal(t, registrar.ZoneName("a"), u.Zone, "an entry about an earlier start was applied")
}

// TestBatchRefusesOnlyBadFacts guards against an invalid announcement that blocks the others in its batch, and against a second
// machine that takes over the name of an upstream whose agent is still running.
func TestBatchRefusesOnlyBadFacts(t *testing.T) {
	l := newTestLedger(t)
	c := announceCommand("u4", "a", 1, 3000, l)
	invalid := announceCommand("u5", "nowhere", 1, 3000, l)
	c.Facts.Add(*invalid.Facts)
	takeover := announceCommand("u6", "a", 1, 3000, l)
	takeover.Facts.Upstreams[0].Name = "u1"
	c.Facts.Add(*takeover.Facts)
	revisionBefore := l.World.Revision()
	r := applyJSON(t, l, c)
	require.Equal(t, revisionBefore+1, r.Revision, "a batch makes more than one revision")
	require.Len(t, r.Refusals, 2)
	_, ok := l.World.Upstream("u4")
	require.True(t, ok)
	silent := &Facts{Silent: []SilentFact{{Upstream: "u1", Machine: "agent-u1", Incarnation: 1}}}
	applyJSON(t, l, Command{Kind: CommandSystem, Facts: silent})
	require.Empty(t, applyJSON(t, l, takeover).Refusals, "a silent upstream may move to another machine")
	u, _ := l.World.Upstream("u1")
	require.Equal(t, registrar.MachineName("agent-u6"), u.Machine)
	require.Equal(t, registrar.UpstreamID(1), u.ID)
}

// TestGoneMachines guards against the removal of a machine that has restarted, has an upstream or serves without a lease.
func TestGoneMachines(t *testing.T) {
	l := newTestLedger(t)
	var f Facts
	for _, m := range []registrar.Machine{{Name: "old"}, {Name: "back", Incarnation: 2}, {Name: "serves", ServesWithoutLease: true}} {
		f.Machines = append(f.Machines, MachineFact{Machine: m})
	}
	applyJSON(t, l, Command{Kind: CommandSystem, Facts: &f})
	gone := &Facts{Gone: []GoneFact{
		{Machine: "old"}, {Machine: "back", Incarnation: 1}, {Machine: "serves"}, {Machine: "agent-u1", Incarnation: 1},
	}}
	applyJSON(t, l, Command{Kind: CommandSystem, Facts: gone})
	var names []registrar.MachineName
	for _, m := range l.World.Machines() {
		names = append(names, m.Name)
	}
	require.Equal(t, []registrar.MachineName{"agent-u1", "agent-u2", "agent-u3", "back", "serves"}, names)
}

// TestContentHash guards against a hash that differs between versions, with which a resend would be refused as a conflict.
func TestContentHash(t *testing.T) {
	in := Intent{Kind: RetireUpstream, Upstream: &registrar.Upstream{Name: "u1"}}
	c := planCommand("ana", 1, in)
	want := contentHash(c)
	require.Equal(t, uint64(0x7dc2d9fd00191034), want)
	c.AtMilli, c.Traffic = 5, []Share{{Customer: "cust", Percent: 3}}
	require.Equal(t, want, contentHash(c))
	require.NotEqual(t, want, contentHash(planCommand("ana", 1, upstreamIntent(RestoreUpstream, "u1", 0))))
}
