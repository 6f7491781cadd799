package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const operatorShards = 16

// requestsPerOperator bounds the remembered requests of one operator. Older ones are answered as conflicts.
const requestsPerOperator = 1024

// request is the remembered outcome of an operator's request.
type request struct {
	Number RequestNumber `json:"number"`
	// Hash identifies the content of the request.
	Hash   uint64 `json:"hash"`
	Result Result `json:"result"`
}

type operatorShard struct {
	mu sync.RWMutex
	// requests are ordered by their position in the log.
	requests map[registrar.OperatorName][]request
}

// Listener is told about each update that a log entry made.
type Listener interface {
	Add(u registrar.Update)
	Reset()
}

// Ledger is the state machine of the replicated log: the configuration, the plans and the requests of operators. Apply and
// Restore are called by one goroutine; readers may run beside them. The exported fields are set before first use.
type Ledger struct {
	World    *registrar.World
	Listener Listener

	shards [operatorShards]operatorShard
	planMu sync.RWMutex
	plans  map[PlanID]Plan
	// nextPlan is the id of the next plan.
	nextPlan PlanID
	// operatorRevision is the newest revision that an operator's plan made.
	operatorRevision registrar.Revision
}

// NewLedger returns an empty ledger.
func NewLedger(l Listener) *Ledger {
	return &Ledger{World: registrar.NewWorld(), Listener: l, plans: map[PlanID]Plan{}, nextPlan: 1}
}

func (l *Ledger) shard(name registrar.OperatorName) *operatorShard {
	return &l.shards[xxhash.Sum64String(string(name))%operatorShards]
}

// Apply carries out one log entry and returns its Result as JSON. Equal logs give equal states and results.
func (l *Ledger) Apply(_ uint64, entry []byte) []byte {
	var c Command
	var r Result
	if err := json.Unmarshal(entry, &c); err != nil {
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
	if c.Kind == CommandSystem {
		return l.system(c)
	}
	hash := contentHash(c)
	if r, known := l.remembered(c, hash); known {
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
	return r
}

func (l *Ledger) system(c Command) Result {
	l.planMu.RLock()
	newest := l.operatorRevision
	l.planMu.RUnlock()
	if newest > c.Base {
		return Result{Revision: l.World.Revision(), Failure: &Failure{
			Code:    FailureStale,
			Message: fmt.Sprintf("changes were made for revision %d, and revision %d has come between", c.Base, newest),
		}}
	}
	return l.commit(c.Changes)
}

func contentHash(c Command) uint64 {
	c.AtMilli = 0
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// remembered returns the first result of a request that was made before.
func (l *Ledger) remembered(c Command, hash uint64) (Result, bool) {
	s := l.shard(c.Operator)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, r := range s.requests[c.Operator] {
		if r.Number != c.Number {
			continue
		}
		if r.Hash != hash {
			return Result{Failure: &Failure{
				Code:    FailureConflict,
				Message: fmt.Sprintf("operator %q used request number %d for another request", c.Operator, c.Number),
			}}, true
		}
		return r.Result, true
	}
	return Result{}, false
}

func (l *Ledger) remember(c Command, hash uint64, r Result) {
	s := l.shard(c.Operator)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[registrar.OperatorName][]request{}
	}
	list := append(s.requests[c.Operator], request{Number: c.Number, Hash: hash, Result: r})
	if extra := len(list) - requestsPerOperator; extra > 0 {
		list = slices.Clone(list[extra:])
	}
	s.requests[c.Operator] = list
}

func (l *Ledger) plan(c Command) Result {
	if c.Intent == nil {
		return Result{Failure: invalid("plan without an intent")}
	}
	d, f := expand(l.World, *c.Intent)
	if f != nil {
		return Result{Revision: l.World.Revision(), Failure: f}
	}
	l.planMu.Lock()
	defer l.planMu.Unlock()
	p := Plan{
		ID: l.nextPlan, Operator: c.Operator, Intent: *c.Intent, Base: l.World.Revision(),
		Changes: d.changes, Steps: d.steps, Affected: d.affected, Warnings: d.warnings,
	}
	l.nextPlan++
	l.plans[p.ID] = p
	return Result{Plan: &p, Revision: p.Base}
}

func (l *Ledger) confirm(c Command) Result {
	l.planMu.Lock()
	defer l.planMu.Unlock()
	p, ok := l.plans[c.Plan]
	if !ok {
		return Result{Revision: l.World.Revision(), Failure: notFound("plan", fmt.Sprint(c.Plan))}
	}
	if p.Confirmed != 0 {
		return Result{Plan: &p, Revision: p.Confirmed}
	}
	if l.operatorRevision > p.Base {
		return Result{Revision: l.World.Revision(), Failure: &Failure{
			Code: FailureStale,
			Message: fmt.Sprintf("plan %d was made for revision %d, and revision %d has changed the configuration since",
				p.ID, p.Base, l.operatorRevision),
		}}
	}
	r := l.commit(p.Changes)
	if r.Failure != nil {
		r.Failure.Code = FailureStale
		return r
	}
	p.Confirmed = r.Revision
	l.operatorRevision = r.Revision
	l.plans[p.ID] = p
	r.Plan = &p
	return r
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

// Plans returns all plans ordered by id.
func (l *Ledger) Plans() []Plan {
	l.planMu.RLock()
	defer l.planMu.RUnlock()
	plans := make([]Plan, 0, len(l.plans))
	for _, id := range slices.Sorted(maps.Keys(l.plans)) {
		plans = append(plans, l.plans[id])
	}
	return plans
}

// snapshot is the encoded form of a ledger.
type snapshot struct {
	World            registrar.State                      `json:"world"`
	Plans            []Plan                               `json:"plans"`
	NextPlan         PlanID                               `json:"next_plan"`
	OperatorRevision registrar.Revision                   `json:"operator_revision"`
	Requests         map[registrar.OperatorName][]request `json:"requests"`
}

// Snapshot returns the whole state as JSON.
func (l *Ledger) Snapshot() ([]byte, error) {
	st := snapshot{
		World: l.World.State(), Plans: l.Plans(), Requests: map[registrar.OperatorName][]request{},
	}
	l.planMu.RLock()
	st.NextPlan, st.OperatorRevision = l.nextPlan, l.operatorRevision
	l.planMu.RUnlock()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.RLock()
		for name, list := range s.requests {
			st.Requests[name] = slices.Clone(list)
		}
		s.mu.RUnlock()
	}
	b, err := json.Marshal(st)
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
	l.planMu.Lock()
	defer l.planMu.Unlock()
	l.plans = map[PlanID]Plan{}
	for _, p := range st.Plans {
		l.plans[p.ID] = p
	}
	l.nextPlan, l.operatorRevision = max(st.NextPlan, 1), st.OperatorRevision
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.requests = nil
		s.mu.Unlock()
	}
	for name, list := range st.Requests {
		s := l.shard(name)
		s.mu.Lock()
		if s.requests == nil {
			s.requests = map[registrar.OperatorName][]request{}
		}
		s.requests[name] = list
		s.mu.Unlock()
	}
	l.Listener.Reset()
	return nil
}
