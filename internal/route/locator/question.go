package locator

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxBatch is the largest number of flows that are asked for at once. The others follow after 10 ms.
	maxBatch = 128
	// maxQuestions bounds the questions that are remembered, of at most carrier.MaxLookupFlows flows each. A question for which there is no
	// room is lost like a datagram.
	maxQuestions = 2048
)

// askedFlow is a flow in a question with the generation of its lookup.
type askedFlow struct {
	flow       registrar.Flow
	generation uint32
}

// question is what was asked under one id.
type question struct {
	flows  []askedFlow
	sentAt time.Time
}

// questions holds the questions that may still be answered, under its own lock.
type questions struct {
	mu     sync.Mutex
	nextID carrier.LookupID
	sent   map[carrier.LookupID]question
}

// asked returns the flows of a question, or nil if the question is unknown.
func (q *questions) asked(id carrier.LookupID) []askedFlow {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sent[id].flows
}

// expire removes the questions whose lookups have ended.
func (q *questions) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, s := range q.sent {
		if now.Sub(s.sentAt) > answerLifetime {
			delete(q.sent, id)
		}
	}
}

// target is the receiver of a question.
type target struct {
	agent Agent
	// flows are indexes in batch.flows.
	flows []int
}

// batch collects the flows that are to be asked for.
type batch struct {
	now time.Time
	// closed is true if no more flows are taken.
	closed  bool
	flows   []askedFlow
	targets map[Agent]*target
	// order holds the targets in the order in which they were added.
	order []*target
}

// addLookup adds the agents of a lookup that have not answered. It returns false if the batch is full.
func (b *batch) addLookup(f registrar.Flow, lk *lookup) bool {
	if b.closed || len(b.flows) == maxBatch {
		return false
	}
	if b.targets == nil {
		b.targets = map[Agent]*target{}
	}
	b.flows = append(b.flows, askedFlow{flow: f, generation: lk.generation})
	for i, a := range lk.candidates.Agents() {
		if lk.holdings[i] != unasked || lk.candidates.Stopped(b.now, i) || lk.rounds > 0 && !lk.candidates.Heard(b.now, i) {
			continue
		}
		// Upstreams of one service at one address share a question.
		key := Agent{Address: a.Address, Service: a.Service}
		t := b.targets[key]
		if t == nil {
			t = &target{agent: a}
			b.targets[key] = t
			b.order = append(b.order, t)
		}
		if n := len(t.flows); n == 0 || t.flows[n-1] != len(b.flows)-1 {
			t.flows = append(t.flows, len(b.flows)-1)
		}
	}
	return true
}

// add gives the questions of a batch their ids. Agents that are asked for the same flows share an id.
func (q *questions) add(now time.Time, b *batch) []Question {
	if len(b.order) == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sent == nil {
		q.sent = map[carrier.LookupID]question{}
	}
	shared := map[string]carrier.Lookup{}
	var all []Question
	var key []byte
	for _, t := range b.order {
		for start := 0; start < len(t.flows); start += carrier.MaxLookupFlows {
			part := t.flows[start:min(start+carrier.MaxLookupFlows, len(t.flows))]
			key = key[:0]
			for _, i := range part {
				key = binary.BigEndian.AppendUint16(key, uint16(i))
			}
			l, found := shared[string(key)]
			if !found {
				if l = q.newLookup(now, b, part); len(l.Flows) == 0 {
					continue
				}
				shared[string(key)] = l
			}
			all = append(all, Question{To: t.agent, Lookup: l})
		}
	}
	return all
}

// newLookup returns a lookup for the flows of a batch with the given indexes. It has no flows if there is no room. q must be locked.
func (q *questions) newLookup(now time.Time, b *batch, indexes []int) carrier.Lookup {
	if len(q.sent) >= maxQuestions {
		return carrier.Lookup{}
	}
	l := carrier.Lookup{ID: q.nextID}
	q.nextID++
	s := question{sentAt: now}
	for _, i := range indexes {
		l.Flows = append(l.Flows, b.flows[i].flow)
		s.flows = append(s.flows, b.flows[i])
	}
	q.sent[l.ID] = s
	return l
}
