package planner

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	operatorShards = 16
	// maxRequests bounds the remembered requests of all operators together. It is two days of changes at the design size.
	maxRequests = 8192
	// maxPlanBytes bounds the encoded plans that the remembered requests refer to, which dominate a snapshot.
	maxPlanBytes = 16 << 20
	// maxOperators bounds the operators. Further ones are refused, because forgetting one would let its requests run again.
	maxOperators = 4096
)

// request is the remembered outcome of an operator's request.
type request struct {
	Number RequestNumber `json:"number"`
	// Hash identifies the content of the request.
	Hash uint64      `json:"hash"`
	Kind CommandKind `json:"kind"`
	// Plan is the plan of the result; 0 for none. The plan is kept as long as a request refers to it.
	Plan     PlanID             `json:"plan,omitempty"`
	Revision registrar.Revision `json:"revision"`
	Failure  *Failure           `json:"failure,omitempty"`
}

// history is what is remembered of one operator.
type history struct {
	// Floor is the highest number of a request that was forgotten. Numbers up to it are refused unless remembered.
	Floor RequestNumber `json:"floor"`
	// Requests are in the order of the log.
	Requests []request `json:"requests"`
}

type operatorShard struct {
	mu        sync.RWMutex
	operators map[registrar.OperatorName]history
}

// memory remembers the requests of operators. Only one goroutine writes. The zero value is ready for use.
type memory struct {
	shards [operatorShards]operatorShard
	// total counts requests and operators counts operators; both are used by the writer only.
	total, operators int
}

func (m *memory) shard(name registrar.OperatorName) *operatorShard {
	return &m.shards[xxhash.Sum64String(string(name))%operatorShards]
}

func (m *memory) history(name registrar.OperatorName) (history, bool) {
	s := m.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.operators[name]
	return h, ok
}

func (m *memory) store(name registrar.OperatorName, h history) {
	s := m.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.operators == nil {
		s.operators = map[registrar.OperatorName]history{}
	}
	s.operators[name] = h
}

// find returns the request if it was made before, or why it may not run.
func (m *memory) find(c Command, hash uint64) (request, bool, *Failure) {
	if c.Number == 0 {
		return request{}, false, badField("number", "0", "a number of at least 1 that the operator has not used")
	}
	h, had := m.history(c.Operator)
	for _, r := range h.Requests {
		switch {
		case r.Number != c.Number:
			continue
		case r.Hash != hash:
			return r, false, &Failure{
				Code: FailureConflict, Field: "number", Value: fmt.Sprint(c.Number),
				Message: fmt.Sprintf("operator %q used request number %d for another request", c.Operator, c.Number),
			}
		}
		return r, true, nil
	}
	switch {
	case c.Number <= h.Floor:
		return request{}, false, &Failure{
			Code: FailureExpired, Field: "number", Value: fmt.Sprint(c.Number), Allowed: fmt.Sprintf("above %d", h.Floor),
			Message: fmt.Sprintf("request number %d is older than the remembered requests of operator %q; it may have run before",
				c.Number, c.Operator),
		}
	case !had && m.operators >= maxOperators:
		return request{}, false, invalid("%d operators have made requests, which is the limit", maxOperators)
	}
	return request{}, false, nil
}

func (m *memory) add(name registrar.OperatorName, r request) {
	h, had := m.history(name)
	h.Requests = append(slices.Clip(h.Requests), r)
	m.store(name, h)
	m.total++
	if !had {
		m.operators++
	}
}

// evict forgets the oldest request of the operator that has the most, and returns it.
func (m *memory) evict() request {
	var name registrar.OperatorName
	var largest history
	m.each(func(n registrar.OperatorName, h history) {
		d := len(h.Requests) - len(largest.Requests)
		if d > 0 || d == 0 && n < name {
			name, largest = n, h
		}
	})
	if len(largest.Requests) == 0 {
		return request{}
	}
	r := largest.Requests[0]
	m.store(name, history{Floor: max(largest.Floor, r.Number), Requests: largest.Requests[1:]})
	m.total--
	return r
}

func (m *memory) each(f func(registrar.OperatorName, history)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for name, h := range s.operators {
			f(name, h)
		}
		s.mu.RUnlock()
	}
}

// all returns a copy for a snapshot.
func (m *memory) all() map[registrar.OperatorName]history {
	all := map[registrar.OperatorName]history{}
	m.each(func(name registrar.OperatorName, h history) { all[name] = h })
	return all
}

func (m *memory) restore(all map[registrar.OperatorName]history) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.operators = nil
		s.mu.Unlock()
	}
	m.total, m.operators = 0, len(all)
	for name, h := range all {
		m.store(name, h)
		m.total += len(h.Requests)
	}
}
