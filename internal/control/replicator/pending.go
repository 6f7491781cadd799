package replicator

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Outcome is the end of a proposal.
type Outcome struct {
	Token  Token
	Result []byte
	Err    error
}

// Pending matches proposals with the entries that are applied. The zero value is ready for use.
type Pending struct {
	mu     sync.Mutex
	tokens map[Index]place
}

type place struct {
	term  Term
	token Token
}

// Add takes note of a proposal that was written. It returns the outcome of an older one that it displaces.
func (p *Pending) Add(w Written) (Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens == nil {
		p.tokens = map[Index]place{}
	}
	old, displaced := p.tokens[w.Position.Index]
	p.tokens[w.Position.Index] = place{term: w.Position.Term, token: w.Token}
	// A displaced entry may still exist at another member, so its fate is open.
	return Outcome{Token: old.token, Err: eris.Wrap(ErrUncertain, "displaced at the leader")}, displaced
}

// Apply returns the outcome of the proposal at an entry that was applied.
func (p *Pending) Apply(at Position, result []byte) (Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.tokens[at.Index]
	if !ok {
		return Outcome{}, false
	}
	delete(p.tokens, at.Index)
	if w.term != at.Term {
		return Outcome{Token: w.token, Err: ErrDropped}, true
	}
	return Outcome{Token: w.token, Result: result}, true
}

// Skip returns the outcomes of all proposals up to an index that a snapshot covers.
func (p *Pending) Skip(to Index) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Outcome
	for at, w := range p.tokens {
		if at <= to {
			delete(p.tokens, at)
			out = append(out, Outcome{Token: w.token, Err: eris.Wrap(ErrUncertain, "covered by a snapshot")})
		}
	}
	return out
}
