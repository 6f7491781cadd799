package claimer

// Tally counts the replies to one call. A decision needs a majority of each set.
type Tally struct {
	Sets []Set
	// Known is false if an owner must say that it is steady before grants and voids count.
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
	if r.Reply.Verdict == Answered && t.answer == nil {
		t.answer = r.Reply.Answer
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

// Complete reports whether every owner has replied.
func (t *Tally) Complete() bool { return len(t.replies) == len(t.Peers()) }

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
	if len(t.Sets) == 0 || !t.Known && !t.steady() {
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

// steady reports whether an owner with the same view of the owners knows that no others matter.
func (t *Tally) steady() bool {
	for _, r := range t.replies {
		if r.Steady && len(t.Sets) == 1 && r.Set == t.Sets[0].ID() {
			return true
		}
	}
	return false
}
