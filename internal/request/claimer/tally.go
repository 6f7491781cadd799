package claimer

import "slices"

// Tally counts the replies of owners to one call. A decision needs a majority of each set.
type Tally struct {
	Sets []Set
	// SetsComplete is true if Sets is complete, by the agent's own directory or by an owner's reply.
	SetsComplete bool
	replies      map[Peer]Reply
	answer       *Answer
}

// Add counts a reply.
func (t *Tally) Add(r OwnerReply) {
	if t.replies == nil {
		t.replies = map[Peer]Reply{}
	}
	t.replies[r.Peer] = r.Reply
	if len(r.Reply.Sets) > 0 {
		t.addSets(r.Reply.Sets)
	}
	if r.Reply.Verdict == Answered && t.answer == nil {
		t.answer = r.Reply.Answer
	}
}

// addSets adds the sets that an owner knows. The configurations of the owner and of the agent are at most as old as a lease. A
// set that was in force only between the two needed a majority of the owner's newest set too, which is among the added sets.
func (t *Tally) addSets(sets []Set) {
	t.SetsComplete = true
	for _, s := range sets {
		if !slices.ContainsFunc(t.Sets, func(other Set) bool { return other.ID() == s.ID() }) {
			t.Sets = append(t.Sets, s)
		}
	}
}

// Answer returns the stored answer, or nil if no owner has replied with it.
func (t *Tally) Answer() *Answer { return t.answer }

// Peers returns the members of all sets without duplicates.
func (t *Tally) Peers() []Peer {
	var peers []Peer
	added := map[Peer]bool{}
	for _, s := range t.Sets {
		for _, p := range s {
			if !added[p] {
				added[p] = true
				peers = append(peers, p)
			}
		}
	}
	return peers
}

// Any reports whether at least one owner replied with the verdict.
func (t *Tally) Any(v Verdict) bool {
	for _, r := range t.replies {
		if r.Verdict == v {
			return true
		}
	}
	return false
}

// Agreed reports whether a majority of each set replied with the verdict.
func (t *Tally) Agreed(v Verdict) bool {
	if len(t.Sets) == 0 || !t.SetsComplete {
		return false
	}
	for _, s := range t.Sets {
		count := 0
		for _, p := range s {
			if r, ok := t.replies[p]; ok && r.Verdict == v {
				count++
			}
		}
		if count <= len(s)/2 {
			return false
		}
	}
	return true
}
