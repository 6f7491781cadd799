package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Listener receives each update that a log entry makes. Reset is called when a snapshot has replaced the configuration.
type Listener interface {
	Add(u registrar.Update)
	Reset()
}

// Ledger is the state machine of the replicated log: the configuration, the plans, the requests of operators and the audit
// log. Apply and Restore are called by one goroutine; other goroutines may read at the same time. The exported fields are set
// before first use.
type Ledger struct {
	World    *registrar.World
	Listener Listener

	requests requestHistory
	audit    auditLog
	planMu   sync.RWMutex
	// plans holds each plan that a recorded request refers to.
	plans map[PlanID]Plan
	// planReferences counts the recorded requests that refer to each plan.
	planReferences map[PlanID]int
	// planBytes is the encoded size of all plans.
	planBytes int
	// nextPlan is the id of the next plan.
	nextPlan PlanID
	// operatorRevision is the newest revision that was made by confirming a plan.
	operatorRevision registrar.Revision
	documentMu       sync.RWMutex
	// document is the current configuration of routes as its operator wrote it.
	document Document
}

// NewLedger returns an empty ledger.
func NewLedger(l Listener) *Ledger {
	return &Ledger{
		World: registrar.NewWorld(), Listener: l, plans: map[PlanID]Plan{}, planReferences: map[PlanID]int{}, nextPlan: 1,
	}
}

// Apply applies one log entry and returns its Result as JSON. It is deterministic: equal logs give equal states and results.
func (l *Ledger) Apply(_ uint64, entry []byte) []byte {
	var r Result
	if c, err := decodeCommand(entry); err != nil {
		r.Failure = invalidRequest("log entry: %v", err)
	} else {
		r = l.apply(c)
	}
	b, err := json.Marshal(r)
	if err != nil {
		// All fields of Result are plain data, so encoding cannot fail.
		panic(err)
	}
	return b
}

func (l *Ledger) apply(c Command) Result {
	switch c.Kind {
	case CommandSystem:
		if c.Facts == nil {
			return Result{Revision: l.World.Revision(), Failure: invalidRequest("system command without facts")}
		}
		return l.applyFacts(*c.Facts)
	case CommandRead:
		return Result{Revision: l.World.Revision(), Version: l.World.Release().Version, Document: l.currentDocument()}
	case CommandReplace:
		return l.auditResult(c, l.replace(c.Replacement))
	case CommandApply:
		return l.auditResult(c, l.applyIntent(c))
	}
	return l.applyNumbered(c)
}

// auditResult adds the outcome of a command to the audit log and returns it.
func (l *Ledger) auditResult(c Command, r Result) Result {
	l.addAuditEntry(c, r)
	return r
}

// applyNumbered applies a request that its operator may resend under the same number.
func (l *Ledger) applyNumbered(c Command) Result {
	hash := contentHash(c)
	earlier, resent, f := l.requests.find(c, hash)
	switch {
	case resent:
		return l.firstResult(earlier)
	case f != nil:
		r := Result{Revision: l.World.Revision(), Failure: f}
		l.addAuditEntry(c, r)
		return r
	}
	var r Result
	switch c.Kind {
	case CommandPlan:
		r = l.createPlan(c)
	case CommandConfirm:
		r = l.confirmPlan(c)
	default:
		r = Result{Failure: invalidRequest("command kind %q", c.Kind)}
	}
	l.recordRequest(c, hash, r)
	l.addAuditEntry(c, r)
	return r
}

// firstResult returns the result that a request had when it was first applied.
func (l *Ledger) firstResult(req recordedRequest) Result {
	r := Result{Revision: req.Revision, Failure: req.Failure}
	if p, ok := l.Plan(req.Plan); ok {
		if req.Kind == CommandPlan {
			p.Confirmed, p.ConfirmedBy = 0, ""
		}
		r.Plan = &p
	}
	return r
}

// recordRequest stores the outcome of a request, and removes the oldest requests and plans above the limits.
func (l *Ledger) recordRequest(c Command, hash uint64, r Result) {
	req := recordedRequest{Number: c.Number, Hash: hash, Kind: c.Kind, Revision: r.Revision, Failure: r.Failure}
	if r.Plan != nil {
		req.Plan = r.Plan.ID
		l.planReferences[req.Plan]++
	}
	l.requests.add(c.Operator, req)
	for l.requests.requestCount > maxRequests || l.planBytes > maxPlanBytes && l.requests.requestCount > 1 {
		l.releasePlan(l.requests.evictOldest().Plan)
	}
}

// releasePlan removes one reference to a plan, and the plan once no recorded request refers to it.
func (l *Ledger) releasePlan(id PlanID) {
	if id == 0 {
		return
	}
	if l.planReferences[id]--; l.planReferences[id] > 0 {
		return
	}
	delete(l.planReferences, id)
	l.planMu.Lock()
	defer l.planMu.Unlock()
	l.planBytes -= encodedSize(l.plans[id])
	delete(l.plans, id)
}

// encodedSize returns the size of a plan as JSON, in bytes, without the fields that a confirmation sets.
func encodedSize(p Plan) int {
	p.Confirmed, p.ConfirmedBy = 0, ""
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (l *Ledger) addAuditEntry(c Command, r Result) {
	e := AuditEntry{
		AtMilli: c.AtMilli, Operator: c.Operator, Number: c.Number, Action: c.Kind, Plan: c.Plan, Revision: r.Revision,
		Outcome: outcomeDone,
	}
	in := c.Intent
	if r.Plan != nil {
		e.Plan, in = r.Plan.ID, &r.Plan.Intent
	}
	if in != nil {
		e.Intent, e.Object = in.Kind, in.Object()
	}
	if r.Failure != nil {
		e.Outcome = r.Failure.Code
	}
	l.audit.add(e)
}

func (l *Ledger) createPlan(c Command) Result {
	if c.Intent == nil {
		return Result{Revision: l.World.Revision(), Failure: invalidField("intent", "", "one intent")}
	}
	d, f := expand(l.World, *c.Intent)
	if f != nil {
		return Result{Revision: l.World.Revision(), Failure: f}
	}
	l.planMu.Lock()
	defer l.planMu.Unlock()
	p := d.plan(c.Traffic)
	p.ID, p.Operator, p.AtMilli, p.Intent, p.Base = l.nextPlan, c.Operator, c.AtMilli, *c.Intent, l.World.Revision()
	l.nextPlan++
	l.plans[p.ID] = p
	l.planBytes += encodedSize(p)
	return Result{Plan: &p, Revision: p.Base}
}

// confirmPlan applies a plan if it would still have exactly the effects that it shows. A plan is stale once another plan was
// confirmed after it was made, or if facts (announcements, silent upstreams, weights, trims) have altered its changes, steps,
// affected objects, customers or warnings. Other facts, such as the restart of a machine, leave it valid.
func (l *Ledger) confirmPlan(c Command) Result {
	l.planMu.Lock()
	defer l.planMu.Unlock()
	p, ok := l.plans[c.Plan]
	switch {
	case !ok:
		return Result{Revision: l.World.Revision(), Failure: notFound("plan", fmt.Sprint(c.Plan))}
	case p.Confirmed != 0:
		return Result{Plan: &p, Revision: p.Confirmed}
	}
	if reason := l.staleReason(p); reason != "" {
		return Result{Revision: l.World.Revision(), Failure: &Failure{
			Code: FailureStale, Field: "plan", Value: fmt.Sprint(p.ID), Allowed: "a plan for the present configuration",
			Message: fmt.Sprintf("plan %d is stale: %s; ask for a new plan", p.ID, reason),
		}}
	}
	r := l.commit(p.Changes)
	if r.Failure != nil {
		r.Failure.Code = FailureStale
		return r
	}
	p.Confirmed, p.ConfirmedBy = r.Revision, c.Operator
	l.operatorRevision = r.Revision
	l.plans[p.ID] = p
	r.Plan = &p
	return r
}

// staleReason returns why a plan would no longer have the effects that it shows; empty if it would still have them.
func (l *Ledger) staleReason(p Plan) string {
	if l.operatorRevision > p.Base {
		return fmt.Sprintf("it was made for revision %d, and an operator confirmed revision %d since", p.Base, l.operatorRevision)
	}
	d, f := expand(l.World, p.Intent)
	if f != nil {
		return f.Message
	}
	if effectHash(d.plan(nil)) != effectHash(p) {
		return fmt.Sprintf("at revision %d it would not do what it showed at revision %d", l.World.Revision(), p.Base)
	}
	return ""
}

// commit applies changes as the next revision.
func (l *Ledger) commit(changes []registrar.Change) Result {
	u := registrar.Update{Revision: l.World.Revision() + 1, Changes: changes}
	if err := l.World.Apply(u); err != nil {
		return Result{Revision: l.World.Revision(), Failure: invalidRequest("%v", err)}
	}
	l.Listener.Add(u)
	return Result{Revision: u.Revision}
}

// Plan returns the plan with an id.
func (l *Ledger) Plan(id PlanID) (Plan, bool) {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	p, ok := l.plans[id]
	return p, ok
}

// Plans returns all stored plans ordered by id.
func (l *Ledger) Plans() []Plan {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	plans := make([]Plan, 0, len(l.plans))
	for _, id := range slices.Sorted(maps.Keys(l.plans)) {
		plans = append(plans, l.plans[id])
	}
	return plans
}

// PlansAfter returns up to limit stored plans with ids above after, ordered by id.
func (l *Ledger) PlansAfter(after PlanID, limit int) []Plan {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	var plans []Plan
	for _, id := range slices.Sorted(maps.Keys(l.plans)) {
		if id > after && len(plans) < limit {
			plans = append(plans, l.plans[id])
		}
	}
	return plans
}

// Audit returns up to limit audit entries after a sequence number.
func (l *Ledger) Audit(after AuditSequence, limit int) []AuditEntry {
	return l.audit.page(after, limit)
}

// snapshot is the encoded form of a ledger.
type snapshot struct {
	World            registrar.State                            `json:"world"`
	Plans            []Plan                                     `json:"plans"`
	NextPlan         PlanID                                     `json:"next_plan"`
	OperatorRevision registrar.Revision                         `json:"operator_revision"`
	Operators        map[registrar.OperatorName]operatorHistory `json:"operators"`
	Audit            []AuditEntry                               `json:"audit"`
	AuditLast        AuditSequence                              `json:"audit_last"`
	Document         Document                                   `json:"document,omitempty"`
}

// Snapshot returns the whole state as JSON. It is called by the goroutine that calls Apply.
func (l *Ledger) Snapshot() ([]byte, error) {
	b, err := json.Marshal(snapshot{
		World: l.World.State(), Plans: l.Plans(), NextPlan: l.nextPlan, OperatorRevision: l.operatorRevision,
		Operators: l.requests.histories(), Audit: l.audit.page(0, maxAuditEntries), AuditLast: l.audit.lastSequence,
		Document: l.currentDocument(),
	})
	return b, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state by a snapshot.
func (l *Ledger) Restore(b []byte) error {
	var state snapshot
	if err := json.Unmarshal(b, &state); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if err := l.World.Restore(state.World); err != nil {
		return eris.Wrap(err, "restore configuration")
	}
	l.requests.restore(state.Operators)
	l.audit.restore(state.Audit, state.AuditLast)
	l.setDocument(state.Document)
	l.planMu.Lock()
	defer l.planMu.Unlock()
	l.plans, l.planReferences, l.planBytes = map[PlanID]Plan{}, map[PlanID]int{}, 0
	for _, p := range state.Plans {
		l.plans[p.ID] = p
		l.planBytes += encodedSize(p)
	}
	for _, h := range state.Operators {
		for _, req := range h.Requests {
			if req.Plan != 0 {
				l.planReferences[req.Plan]++
			}
		}
	}
	l.nextPlan, l.operatorRevision = max(state.NextPlan, 1), state.OperatorRevision
	l.Listener.Reset()
	return nil
}
