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

type noListener struct{}

func (noListener) Add(registrar.Update) {}
func (noListener) Reset()               {}

func do(t require.TestingT, l *Ledger, c Command) Result {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	var r Result
	require.NoError(t, json.Unmarshal(l.Apply(0, b), &r))
	return r
}

func planOf(op registrar.OperatorName, n RequestNumber, in Intent) Command {
	return Command{Kind: CommandPlan, Operator: op, Number: n, Intent: &in}
}

func confirmOf(op registrar.OperatorName, n RequestNumber, id PlanID) Command {
	return Command{Kind: CommandConfirm, Operator: op, Number: n, Plan: id}
}

// carry plans and confirms an intent.
func carry(t require.TestingT, l *Ledger, n RequestNumber, in Intent) Plan {
	r := do(t, l, planOf("setup", n, in))
	require.Nil(t, r.Failure)
	r = do(t, l, confirmOf("setup", n+1, r.Plan.ID))
	require.Nil(t, r.Failure)
	return *r.Plan
}

func announce(u registrar.UpstreamName, zone registrar.ZoneName, inc registrar.Incarnation, w registrar.Weight, l *Ledger) Command {
	m := registrar.Machine{Name: registrar.MachineName("agent-" + u), Role: registrar.RoleAgent, Zone: zone, Incarnation: inc}
	old, _ := l.World.Machine(m.Name)
	return Command{Kind: CommandSystem, Facts: &Facts{
		Machines: []MachineFact{{Machine: m, Previous: old.Incarnation}},
		Upstreams: []UpstreamFact{{
			Name: u, Service: "reservas", Zone: zone, Machine: m.Name, Incarnation: inc, Slots: 3, Weight: w,
		}},
	}}
}

// estate returns a ledger with two zones, a service, three upstreams and a customer with a contract.
func estate(t require.TestingT) *Ledger {
	l := NewLedger(noListener{})
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
		carry(t, l, n, in)
		n += 2
	}
	do(t, l, announce("u1", "a", 1, 3000, l))
	do(t, l, announce("u2", "a", 1, 3000, l))
	do(t, l, announce("u3", "b", 1, 4000, l))
	return l
}

func restored(t require.TestingT, l *Ledger) *Ledger {
	b, err := l.Snapshot()
	require.NoError(t, err)
	next := NewLedger(noListener{})
	require.NoError(t, next.Restore(b))
	return next
}

func upstreamIntent(kind IntentKind, name registrar.UpstreamName, w registrar.Weight) Intent {
	return Intent{Kind: kind, Upstream: &registrar.Upstream{Name: name, Weight: w}}
}

// randomCommand draws a command from a small space, so that numbers, contents and plans collide often.
func randomCommand(t *rapid.T, l *Ledger) Command {
	op := rapid.SampledFrom([]registrar.OperatorName{"ana", "teoh"}).Draw(t, "operator")
	n := RequestNumber(rapid.IntRange(1, 8).Draw(t, "number"))
	u := rapid.SampledFrom([]registrar.UpstreamName{"u1", "u2", "u3"}).Draw(t, "upstream")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		w := registrar.Weight(rapid.SampledFrom([]int{2000, 3000, 4000}).Draw(t, "weight"))
		zone := rapid.SampledFrom([]registrar.ZoneName{"a", "b"}).Draw(t, "zone")
		return announce(u, zone, registrar.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")), w, l)
	case 1, 2:
		return confirmOf(op, n, PlanID(rapid.IntRange(1, 14).Draw(t, "plan")))
	case 3:
		kind := rapid.SampledFrom([]IntentKind{RetireUpstream, RestoreUpstream, ChangeUpstream, RemoveUpstream}).Draw(t, "intent")
		return planOf(op, n, upstreamIntent(kind, u, 2500))
	case 4:
		kind := rapid.SampledFrom([]IntentKind{CutCustomer, RestoreCustomer}).Draw(t, "intent")
		return planOf(op, n, Intent{Kind: kind, Customer: &registrar.Customer{Name: "cust"}})
	}
	kind := rapid.SampledFrom([]IntentKind{WithdrawZone, ReturnZone}).Draw(t, "intent")
	return planOf(op, n, Intent{Kind: kind, Zone: &registrar.Zone{Name: "a"}})
}

// TestRequestsTakeEffectOnce guards against a request that runs twice, a number that is accepted for two contents, a resend
// that gets another answer than the first, and a restart or snapshot that forgets any of it.
func TestRequestsTakeEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, other := estate(t), estate(t)
		type key struct {
			op registrar.OperatorName
			n  RequestNumber
		}
		type first struct {
			content string
			result  Result
		}
		done := map[key]first{}
		applied := map[PlanID]int{}
		var sent []Command
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				l = restored(t, l)
			}
			c := randomCommand(t, l)
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				c = rapid.SampledFrom(sent).Draw(t, "sent")
			} else if plans := l.Plans(); rapid.Bool().Draw(t, "confirm newest") {
				c = confirmOf("ana", RequestNumber(len(plans)), plans[len(plans)-1].ID)
			}
			sent = append(sent, c)
			before := l.World.Revision()
			r := do(t, l, c)
			require.Equal(t, r, do(t, other, c), "a restored replica answers differently")
			if c.Kind == CommandSystem {
				continue
			}
			content := fmt.Sprintf("%s %d %v", c.Kind, c.Plan, contentHash(c))
			k := key{c.Operator, c.Number}
			switch old, known := done[k]; {
			case known && old.content == content:
				require.Equal(t, old.result, r, "a resend gets another answer")
				require.Equal(t, before, l.World.Revision(), "a resend takes effect")
				continue
			case known:
				require.NotNil(t, r.Failure)
				require.Equal(t, FailureConflict, r.Failure.Code)
				require.Equal(t, before, l.World.Revision(), "a conflict takes effect")
				continue
			}
			done[k] = first{content, r}
			if c.Kind == CommandPlan {
				require.Equal(t, before, l.World.Revision(), "a plan takes effect before its confirmation")
			}
			if after := l.World.Revision(); after != before {
				applied[c.Plan]++
				require.Equal(t, 1, applied[c.Plan], "a plan takes effect twice")
			}
		}
		require.Equal(t, l.World.Digest(), other.World.Digest())
	})
}

// TestConfirmAppliesWhatWasShown guards against a plan whose effect at the time of its confirmation is not the one that the
// operator was shown.
func TestConfirmAppliesWhatWasShown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := estate(t)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := randomCommand(t, l)
			c.Number = RequestNumber(100 + i)
			shown, had := l.Plan(c.Plan)
			var now Plan
			if had {
				if d, f := expand(l.World, shown.Intent); f == nil {
					now = d.plan(nil)
				}
			}
			before := l.World.Revision()
			r := do(t, l, c)
			if c.Kind != CommandConfirm || l.World.Revision() == before {
				continue
			}
			require.Nil(t, r.Failure)
			require.Equal(t, effectHash(shown), effectHash(now), "plan %v did something else than it showed", shown.Steps)
		}
	})
}

// TestStale guards the rule about which changes make a plan stale.
func TestStale(t *testing.T) {
	withdraw := Intent{Kind: WithdrawZone, Zone: &registrar.Zone{Name: "a"}}
	for name, tc := range map[string]struct {
		between func(l *Ledger)
		stale   bool
	}{
		"nothing":             {func(*Ledger) {}, false},
		"restart":             {func(l *Ledger) { do(t, l, announce("u1", "a", 2, 3000, l)) }, false},
		"small weight change": {func(l *Ledger) { do(t, l, announce("u1", "a", 1, 3300, l)) }, false},
		"capacity share":      {func(l *Ledger) { do(t, l, announce("u1", "a", 1, 900, l)) }, true},
		"upstream moves away": {func(l *Ledger) { do(t, l, announce("u1", "b", 1, 3000, l)) }, true},
		"operator":            {func(l *Ledger) { carry(t, l, 900, upstreamIntent(RetireUpstream, "u3", 0)) }, true},
		"unconfirmed plan":    {func(l *Ledger) { do(t, l, planOf("x", 1, upstreamIntent(RetireUpstream, "u3", 0))) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := estate(t)
			r := do(t, l, planOf("ana", 1, withdraw))
			require.Equal(t, []string{"service reservas: leaves 40% of capacity"}, r.Plan.Warnings)
			require.Equal(t, []CustomerEffect{{Customer: "cust", Services: []registrar.ServiceName{"reservas"}}}, r.Plan.Customers)
			tc.between(l)
			l = restored(t, l)
			c := do(t, l, confirmOf("ana", 2, r.Plan.ID))
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

// TestForgottenRequestsAreRefused guards against an old request that runs again after it left the remembered window, and
// against plans, requests and audit entries that grow without bound.
func TestForgottenRequestsAreRefused(t *testing.T) {
	l := estate(t)
	retire := upstreamIntent(RetireUpstream, "u1", 0)
	first := do(t, l, planOf("ana", 5, retire))
	require.Nil(t, first.Failure)
	for n := range RequestNumber(maxRequests + 20) {
		do(t, l, planOf("ana", n+6, retire))
	}
	l = restored(t, l)
	require.Equal(t, maxRequests, l.memory.total)
	require.LessOrEqual(t, len(l.Plans()), maxRequests)
	require.LessOrEqual(t, l.planBytes, maxPlanBytes)
	require.LessOrEqual(t, len(l.Audit(0, maxAudit+1)), maxAudit)
	r := do(t, l, planOf("ana", 5, retire))
	require.Equal(t, FailureExpired, r.Failure.Code)
	require.NotNil(t, do(t, l, confirmOf("ana", maxRequests+100, first.Plan.ID)).Failure)
	// The other operator has the fewest requests, so its first one is still known.
	again := do(t, l, planOf("setup", 1, Intent{Kind: AddZone, Zone: &registrar.Zone{Name: "a", Region: "r"}}))
	require.Nil(t, again.Failure)
}

// TestFactsKeepIntents guards against an announcement, made from knowledge that was old, that reverts an operator's change.
func TestFactsKeepIntents(t *testing.T) {
	l := estate(t)
	late := announce("u1", "a", 1, 9000, l)
	carry(t, l, 900, upstreamIntent(RetireUpstream, "u1", 0))
	carry(t, l, 902, upstreamIntent(ChangeUpstream, "u1", 1234))
	require.Nil(t, do(t, l, late).Failure)
	u, _ := l.World.Upstream("u1")
	require.True(t, u.Retired)
	require.Equal(t, registrar.Weight(1234), u.Weight)
	old := announce("u1", "b", 1, 3000, l)
	do(t, l, announce("u1", "a", 2, 3000, l))
	do(t, l, old)
	u, _ = l.World.Upstream("u1")
	require.Equal(t, registrar.ZoneName("a"), u.Zone, "an entry about an earlier start took effect")
}

// TestBatchRefusesOnlyBadFacts guards against one bad announcement that holds up the others of its batch, and against a second
// machine that takes over the name of a live upstream.
func TestBatchRefusesOnlyBadFacts(t *testing.T) {
	l := estate(t)
	c := announce("u4", "a", 1, 3000, l)
	bad := announce("u5", "nowhere", 1, 3000, l)
	c.Facts.Add(*bad.Facts)
	thief := announce("u6", "a", 1, 3000, l)
	thief.Facts.Upstreams[0].Name = "u1"
	c.Facts.Add(*thief.Facts)
	before := l.World.Revision()
	r := do(t, l, c)
	require.Equal(t, before+1, r.Revision, "a batch is one revision")
	require.Len(t, r.Refusals, 2)
	_, ok := l.World.Upstream("u4")
	require.True(t, ok)
	silent := &Facts{Silent: []SilentFact{{Upstream: "u1", Machine: "agent-u1", Incarnation: 1}}}
	do(t, l, Command{Kind: CommandSystem, Facts: silent})
	require.Empty(t, do(t, l, thief).Refusals, "a silent upstream may move to another machine")
	u, _ := l.World.Upstream("u1")
	require.Equal(t, registrar.MachineName("agent-u6"), u.Machine)
	require.Equal(t, registrar.UpstreamID(1), u.ID)
}

// TestGoneMachines guards against the removal of a machine that has started again, holds an upstream or serves without a lease.
func TestGoneMachines(t *testing.T) {
	l := estate(t)
	var f Facts
	for _, m := range []registrar.Machine{{Name: "old"}, {Name: "back", Incarnation: 2}, {Name: "serves", ServesExpired: true}} {
		f.Machines = append(f.Machines, MachineFact{Machine: m})
	}
	do(t, l, Command{Kind: CommandSystem, Facts: &f})
	gone := &Facts{Gone: []GoneFact{
		{Machine: "old"}, {Machine: "back", Incarnation: 1}, {Machine: "serves"}, {Machine: "agent-u1", Incarnation: 1},
	}}
	do(t, l, Command{Kind: CommandSystem, Facts: gone})
	var names []registrar.MachineName
	for _, m := range l.World.Machines() {
		names = append(names, m.Name)
	}
	require.Equal(t, []registrar.MachineName{"agent-u1", "agent-u2", "agent-u3", "back", "serves"}, names)
}

// TestContentHash guards against a change of the hash between versions, which would turn resends into conflicts.
func TestContentHash(t *testing.T) {
	in := Intent{Kind: RetireUpstream, Upstream: &registrar.Upstream{Name: "u1"}}
	c := planOf("ana", 1, in)
	want := contentHash(c)
	require.Equal(t, uint64(0x7dc2d9fd00191034), want)
	c.AtMilli, c.Traffic = 5, []Share{{Customer: "cust", Percent: 3}}
	require.Equal(t, want, contentHash(c))
	require.NotEqual(t, want, contentHash(planOf("ana", 1, upstreamIntent(RestoreUpstream, "u1", 0))))
}
