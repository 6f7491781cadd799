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

// Listener is told about each update that a log entry made.
type Listener interface {
	Add(u registrar.Update)
	Reset()
}

// Ledger is the state machine of the replicated log: the configuration, the plans, the requests of operators and the audit
// log. Apply and Restore are called by one goroutine; readers may run beside them. The exported fields are set before first
// use.
type Ledger struct {
	World    *registrar.World
	Listener Listener

	memory memory
	audit  audit
	planMu sync.RWMutex
	// plans holds each plan that a remembered request refers to.
	plans map[PlanID]Plan
	// references counts the remembered requests that refer to a plan.
	references map[PlanID]int
	// planBytes is the encoded size of plans.
	planBytes int
	// nextPlan is the id of the next plan.
	nextPlan PlanID
	// operatorRevision is the newest revision that an operator's plan made.
	operatorRevision registrar.Revision
	documentMu       sync.RWMutex
	// document is the configuration of routes in force as its operator wrote it.
	document Document
}

// NewLedger returns an empty ledger.
func NewLedger(l Listener) *Ledger {
	return &Ledger{
		World: registrar.NewWorld(), Listener: l, plans: map[PlanID]Plan{}, references: map[PlanID]int{}, nextPlan: 1,
	}
}

// Apply carries out one log entry and returns its Result as JSON. Equal logs give equal states and results.
func (l *Ledger) Apply(_ uint64, entry []byte) []byte {
	var r Result
	if c, err := decodeCommand(entry); err != nil {
		r.Failure = invalid("log entry: %v", err)
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
			return Result{Revision: l.World.Revision(), Failure: invalid("system command without facts")}
		}
		return l.observe(*c.Facts)
	case CommandRead:
		return Result{Revision: l.World.Revision(), Version: l.World.Release().Version, Document: l.documentInForce()}
	case CommandReplace:
		return l.recorded(c, l.replace(c.Replacement))
	case CommandApply:
		return l.recorded(c, l.applyIntent(c))
	}
	return l.applyNumbered(c)
}

// recorded enters the outcome of a command into the audit log.
func (l *Ledger) recorded(c Command, r Result) Result {
	l.record(c, r)
	return r
}

// applyNumbered carries out a request that its operator may resend under the same number.
func (l *Ledger) applyNumbered(c Command) Result {
	hash := contentHash(c)
	first, known, f := l.memory.find(c, hash)
	switch {
	case known:
		return l.recall(first)
	case f != nil:
		r := Result{Revision: l.World.Revision(), Failure: f}
		l.record(c, r)
		return r
	}
	var r Result
	switch c.Kind {
	case CommandPlan:
		r = l.plan(c)
	case CommandConfirm:
		r = l.confirm(c)
	default:
		r = Result{Failure: invalid("command kind %q", c.Kind)}
	}
	l.remember(c, hash, r)
	l.record(c, r)
	return r
}

// recall returns the first result of a request again.
func (l *Ledger) recall(q request) Result {
	r := Result{Revision: q.Revision, Failure: q.Failure}
	if p, ok := l.Plan(q.Plan); ok {
		if q.Kind == CommandPlan {
			p.Confirmed, p.ConfirmedBy = 0, ""
		}
		r.Plan = &p
	}
	return r
}

func (l *Ledger) remember(c Command, hash uint64, r Result) {
	q := request{Number: c.Number, Hash: hash, Kind: c.Kind, Revision: r.Revision, Failure: r.Failure}
	if r.Plan != nil {
		q.Plan = r.Plan.ID
		l.references[q.Plan]++
	}
	l.memory.add(c.Operator, q)
	for l.memory.total > maxRequests || l.planBytes > maxPlanBytes && l.memory.total > 1 {
		l.release(l.memory.evict().Plan)
	}
}

// release forgets a plan once no remembered request refers to it.
func (l *Ledger) release(id PlanID) {
	if id == 0 {
		return
	}
	if l.references[id]--; l.references[id] > 0 {
		return
	}
	delete(l.references, id)
	l.planMu.Lock()
	defer l.planMu.Unlock()
	l.planBytes -= sizeOf(l.plans[id])
	delete(l.plans, id)
}

// sizeOf returns the encoded size of a plan without the fields that a confirmation sets.
func sizeOf(p Plan) int {
	p.Confirmed, p.ConfirmedBy = 0, ""
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (l *Ledger) record(c Command, r Result) {
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

func (l *Ledger) plan(c Command) Result {
	if c.Intent == nil {
		return Result{Revision: l.World.Revision(), Failure: badField("intent", "", "one intent")}
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
	l.planBytes += sizeOf(p)
	return Result{Plan: &p, Revision: p.Base}
}

// confirm applies a plan if it would still do exactly what it shows. A plan is stale once another operator's plan was
// confirmed after it was made, or if observed facts (announcements, silence, weights, trims) have changed its changes, steps,
// affected objects, customers or warnings. Other facts, such as the restart of a machine, leave it valid.
func (l *Ledger) confirm(c Command) Result {
	l.planMu.Lock()
	defer l.planMu.Unlock()
	p, ok := l.plans[c.Plan]
	switch {
	case !ok:
		return Result{Revision: l.World.Revision(), Failure: notFound("plan", fmt.Sprint(c.Plan))}
	case p.Confirmed != 0:
		return Result{Plan: &p, Revision: p.Confirmed}
	}
	if reason := l.stale(p); reason != "" {
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

// stale says why a plan would no longer do what it shows; empty if it would.
func (l *Ledger) stale(p Plan) string {
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
		return Result{Revision: l.World.Revision(), Failure: invalid("%v", err)}
	}
	l.Listener.Add(u)
	return Result{Revision: u.Revision}
}

// Plan returns a plan by id.
func (l *Ledger) Plan(id PlanID) (Plan, bool) {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	p, ok := l.plans[id]
	return p, ok
}

// Plans returns all remembered plans ordered by id.
func (l *Ledger) Plans() []Plan {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	plans := make([]Plan, 0, len(l.plans))
	for _, id := range slices.Sorted(maps.Keys(l.plans)) {
		plans = append(plans, l.plans[id])
	}
	return plans
}

// PlansAfter returns up to limit remembered plans with ids above one, ordered by id.
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
	World            registrar.State                    `json:"world"`
	Plans            []Plan                             `json:"plans"`
	NextPlan         PlanID                             `json:"next_plan"`
	OperatorRevision registrar.Revision                 `json:"operator_revision"`
	Operators        map[registrar.OperatorName]history `json:"operators"`
	Audit            []AuditEntry                       `json:"audit"`
	AuditLast        AuditSequence                      `json:"audit_last"`
	Document         Document                           `json:"document,omitempty"`
}

// Snapshot returns the whole state as JSON. It is called by the goroutine that calls Apply.
func (l *Ledger) Snapshot() ([]byte, error) {
	b, err := json.Marshal(snapshot{
		World: l.World.State(), Plans: l.Plans(), NextPlan: l.nextPlan, OperatorRevision: l.operatorRevision,
		Operators: l.memory.all(), Audit: l.audit.page(0, maxAudit), AuditLast: l.audit.last,
		Document: l.documentInForce(),
	})
	return b, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state by a snapshot.
func (l *Ledger) Restore(b []byte) error {
	var st snapshot
	if err := json.Unmarshal(b, &st); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if err := l.World.Restore(st.World); err != nil {
		return eris.Wrap(err, "restore configuration")
	}
	l.memory.restore(st.Operators)
	l.audit.restore(st.Audit, st.AuditLast)
	l.setDocument(st.Document)
	l.planMu.Lock()
	defer l.planMu.Unlock()
	l.plans, l.references, l.planBytes = map[PlanID]Plan{}, map[PlanID]int{}, 0
	for _, p := range st.Plans {
		l.plans[p.ID] = p
		l.planBytes += sizeOf(p)
	}
	for _, h := range st.Operators {
		for _, q := range h.Requests {
			if q.Plan != 0 {
				l.references[q.Plan]++
			}
		}
	}
	l.nextPlan, l.operatorRevision = max(st.NextPlan, 1), st.OperatorRevision
	l.Listener.Reset()
	return nil
}
