package planner

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	operatorShardCount = 16
	// maxRequests bounds the recorded requests of all operators together. It holds two days of changes at the design size.
	maxRequests = 8192
	// maxPlanBytes bounds the encoded size of the plans that recorded requests refer to, which are most of a snapshot.
	maxPlanBytes = 16 << 20
	// maxOperators bounds the number of operators. Further operators are refused, because removing one would let its requests be
	// applied again.
	maxOperators = 4096
)

// recordedRequest is the recorded outcome of an operator's request.
type recordedRequest struct {
	Number RequestNumber `json:"number"`
	// Hash identifies the content of the request.
	Hash uint64      `json:"hash"`
	Kind CommandKind `json:"kind"`
	// Plan is the plan in the result; 0 if there is none. A plan is stored as long as a recorded request refers to it.
	Plan     PlanID             `json:"plan,omitempty"`
	Revision registrar.Revision `json:"revision"`
	Failure  *Failure           `json:"failure,omitempty"`
}

// operatorHistory holds the recorded requests of one operator.
type operatorHistory struct {
	// Floor is the highest number of a request that was removed. Numbers up to Floor are refused unless they are still recorded.
	Floor RequestNumber `json:"floor"`
	// Requests is in the order of the log.
	Requests []recordedRequest `json:"requests"`
}

type operatorShard struct {
	mu        sync.RWMutex
	operators map[registrar.OperatorName]operatorHistory
}

// requestHistory records the requests of all operators. Only one goroutine writes. The zero value is ready for use.
type requestHistory struct {
	shards [operatorShardCount]operatorShard
	// requestCount and operatorCount are used only by the goroutine that writes.
	requestCount, operatorCount int
}

func (m *requestHistory) shard(name registrar.OperatorName) *operatorShard {
	return &m.shards[xxhash.Sum64String(string(name))%operatorShardCount]
}

func (m *requestHistory) history(name registrar.OperatorName) (operatorHistory, bool) {
	s := m.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.operators[name]
	return h, ok
}

func (m *requestHistory) setHistory(name registrar.OperatorName, h operatorHistory) {
	s := m.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.operators == nil {
		s.operators = map[registrar.OperatorName]operatorHistory{}
	}
	s.operators[name] = h
}

// find returns the recorded request and true if c is a resend of it, or a failure if c cannot be applied.
func (m *requestHistory) find(c Command, hash uint64) (recordedRequest, bool, *Failure) {
	if c.Number == 0 {
		return recordedRequest{}, false, invalidField("number", "0", "a number of at least 1 that the operator has not used")
	}
	h, found := m.history(c.Operator)
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
		return recordedRequest{}, false, &Failure{
			Code: FailureExpired, Field: "number", Value: fmt.Sprint(c.Number), Allowed: fmt.Sprintf("above %d", h.Floor),
			Message: fmt.Sprintf("request number %d is older than the remembered requests of operator %q; it may have run before",
				c.Number, c.Operator),
		}
	case !found && m.operatorCount >= maxOperators:
		return recordedRequest{}, false, invalidRequest("%d operators have made requests, which is the limit", maxOperators)
	}
	return recordedRequest{}, false, nil
}

func (m *requestHistory) add(name registrar.OperatorName, r recordedRequest) {
	h, found := m.history(name)
	h.Requests = append(slices.Clip(h.Requests), r)
	m.setHistory(name, h)
	m.requestCount++
	if !found {
		m.operatorCount++
	}
}

// evictOldest removes and returns the oldest request of the operator that has the most recorded requests.
func (m *requestHistory) evictOldest() recordedRequest {
	var name registrar.OperatorName
	var largest operatorHistory
	m.forEach(func(n registrar.OperatorName, h operatorHistory) {
		difference := len(h.Requests) - len(largest.Requests)
		if difference > 0 || difference == 0 && n < name {
			name, largest = n, h
		}
	})
	if len(largest.Requests) == 0 {
		return recordedRequest{}
	}
	r := largest.Requests[0]
	m.setHistory(name, operatorHistory{Floor: max(largest.Floor, r.Number), Requests: largest.Requests[1:]})
	m.requestCount--
	return r
}

func (m *requestHistory) forEach(f func(registrar.OperatorName, operatorHistory)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for name, h := range s.operators {
			f(name, h)
		}
		s.mu.RUnlock()
	}
}

// histories returns the histories of all operators, for a snapshot.
func (m *requestHistory) histories() map[registrar.OperatorName]operatorHistory {
	all := map[registrar.OperatorName]operatorHistory{}
	m.forEach(func(name registrar.OperatorName, h operatorHistory) { all[name] = h })
	return all
}

func (m *requestHistory) restore(all map[registrar.OperatorName]operatorHistory) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.operators = nil
		s.mu.Unlock()
	}
	m.requestCount, m.operatorCount = 0, len(all)
	for name, h := range all {
		m.setHistory(name, h)
		m.requestCount += len(h.Requests)
	}
}
