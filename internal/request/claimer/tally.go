package claimer

import "slices"

// Tally counts the replies to one call. A decision needs a majority of each set.
type Tally struct {
	Sets []Set
	// Known is false until an owner has said which sets count, if the agent does not know it.
	Known   bool
	replies map[Peer]Reply
	answer  *Answer
}

// Add counts a reply.
func (t *Tally) Add(r OwnerReply) {
	if t.replies == nil {
		t.replies = map[Peer]Reply{}
	}
	t.replies[r.Peer] = r.Reply
	if len(r.Reply.Sets) > 0 {
		t.adopt(r.Reply.Sets)
	}
	if r.Reply.Verdict == Answered && t.answer == nil {
		t.answer = r.Reply.Answer
	}
}

// adopt adds the sets that an owner knows. The owner's configuration is at most as old as a lease, and so is the agent's; a
// set that was in force only between the two was joined by the owner's newest set, which is among them.
func (t *Tally) adopt(sets []Set) {
	t.Known = true
	for _, s := range sets {
		if !slices.ContainsFunc(t.Sets, func(o Set) bool { return o.ID() == s.ID() }) {
			t.Sets = append(t.Sets, s)
		}
	}
}

// Answer returns the stored answer, if an owner has it.
func (t *Tally) Answer() *Answer { return t.answer }

// Peers returns the members of all sets once each.
func (t *Tally) Peers() []Peer {
	var peers []Peer
	seen := map[Peer]bool{}
	for _, s := range t.Sets {
		for _, p := range s {
			if !seen[p] {
				seen[p] = true
				peers = append(peers, p)
			}
		}
	}
	return peers
}

// Any reports whether an owner gave the verdict.
func (t *Tally) Any(v Verdict) bool {
	for _, r := range t.replies {
		if r.Verdict == v {
			return true
		}
	}
	return false
}

// Agreed reports whether a majority of each set gave the verdict.
func (t *Tally) Agreed(v Verdict) bool {
	if len(t.Sets) == 0 || !t.Known {
		return false
	}
	for _, s := range t.Sets {
		n := 0
		for _, p := range s {
			if r, ok := t.replies[p]; ok && r.Verdict == v {
				n++
			}
		}
		if n <= len(s)/2 {
			return false
		}
	}
	return true
}
