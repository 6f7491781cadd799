package replicator

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Outcome is the result of a proposal.
type Outcome struct {
	Token  Token
	Result []byte
	Err    error
}

// Pending matches applied entries with the proposals of this member that wait for them. The zero value is ready to use.
type Pending struct {
	mu        sync.Mutex
	proposals map[Index]pendingProposal
}

type pendingProposal struct {
	term  Term
	token Token
}

// Add adds a proposal that was written. It returns the outcome of an older proposal at the same index, if there is one.
func (p *Pending) Add(w Written) (Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proposals == nil {
		p.proposals = map[Index]pendingProposal{}
	}
	old, replaced := p.proposals[w.Position.Index]
	p.proposals[w.Position.Index] = pendingProposal{term: w.Position.Term, token: w.Token}
	// Another member may still have the replaced entry and commit it later.
	return Outcome{Token: old.token, Err: eris.Wrap(ErrUncertain, "the entry was replaced at the leader")}, replaced
}

// Apply returns the outcome of the proposal that waits for the applied entry at pos, if there is one.
func (p *Pending) Apply(pos Position, result []byte) (Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.proposals[pos.Index]
	if !ok {
		return Outcome{}, false
	}
	delete(p.proposals, pos.Index)
	if w.term != pos.Term {
		return Outcome{Token: w.token, Err: ErrDropped}, true
	}
	return Outcome{Token: w.token, Result: result}, true
}

// Skip returns the outcomes of all proposals up to an index, whose entries are skipped because an installed snapshot covers
// them.
func (p *Pending) Skip(to Index) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Outcome
	for index, w := range p.proposals {
		if index <= to {
			delete(p.proposals, index)
			out = append(out, Outcome{Token: w.token, Err: eris.Wrap(ErrUncertain, "the entry is covered by a snapshot")})
		}
	}
	return out
}
