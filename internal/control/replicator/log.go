package replicator

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrEntryIndex means that an entry is neither the next entry of the log nor a replacement of an entry in the log.
var ErrEntryIndex = eris.New("entry index is outside the log")

// Log is the part of the log that is not covered by the snapshot, under its own lock.
type Log struct {
	mu sync.RWMutex
	// base is the position of the last compacted entry. baseMembers is the membership at base.
	base        Position
	baseMembers Members
	// entries have consecutive indexes after base.
	entries []Entry
	// members is the newest membership. membersIndex is the index of the entry that set it.
	members      Members
	membersIndex Index
}

// Reset replaces the log by an empty one that starts after a snapshot at pos.
func (l *Log) Reset(pos Position, m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.baseMembers, l.entries = pos, m, nil
	l.findMembers()
}

// findMembers sets members and membersIndex from the entries.
func (l *Log) findMembers() {
	l.members, l.membersIndex = l.baseMembers, l.base.Index
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Members; m != nil {
			l.members, l.membersIndex = m, l.entries[i].Index
			return
		}
	}
}

// Append adds an entry. It replaces all entries from its index on.
func (l *Log) Append(e Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastLocked().Index
	if e.Index <= l.base.Index || e.Index > last+1 {
		return eris.Wrapf(ErrEntryIndex, "entry %d, log has entries after %d up to %d", e.Index, l.base.Index, last)
	}
	if e.Index <= last {
		// The entries are copied because messages in flight refer to the old slice.
		l.entries = slices.Clone(l.entries[:e.Index-l.base.Index-1])
		l.findMembers()
	}
	l.entries = append(l.entries, e)
	if e.Members != nil {
		l.members, l.membersIndex = e.Members, e.Index
	}
	return nil
}

// Last returns the position of the newest entry.
func (l *Log) Last() Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.lastLocked()
}

func (l *Log) lastLocked() Position {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Position
	}
	return l.base
}

// Base returns the position of the last compacted entry.
func (l *Log) Base() Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.base
}

// Term returns the term of the entry at an index. ok is false if the entry has been compacted or does not exist.
func (l *Log) Term(i Index) (t Term, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.termLocked(i)
}

func (l *Log) termLocked(i Index) (Term, bool) {
	if i == l.base.Index {
		return l.base.Term, true
	}
	if i < l.base.Index || i > l.lastLocked().Index {
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

// Slice returns the entries from an index on whose commands fit in maxBytes together, but at least one entry. It returns nil if
// the first entry has been compacted or does not exist.
func (l *Log) Slice(from Index, maxBytes int) []Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if from <= l.base.Index || from > l.lastLocked().Index {
		return nil
	}
	first := int(from - l.base.Index - 1)
	end, size := first, 0
	for end < len(l.entries) && (end == first || size+len(l.entries[end].Command) <= maxBytes) {
		size += len(l.entries[end].Command)
		end++
	}
	return l.entries[first:end:end]
}

// CompactBefore removes the entries before a snapshot at an index, except the newest of them: up to keep entries whose commands have up
// to keepBytes bytes.
func (l *Log) CompactBefore(snapshot, keep Index, keepBytes int) {
	l.mu.RLock()
	to := min(snapshot, l.lastLocked().Index)
	for size := 0; to > l.base.Index && snapshot-to < keep; to-- {
		if size += len(l.entries[to-l.base.Index-1].Command); size > keepBytes {
			break
		}
	}
	l.mu.RUnlock()
	l.Compact(to)
}

// CompactedTo returns the index of the newest entry that has been compacted.
func (l *Log) CompactedTo() Index {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.base.Index
}

// Compact removes the entries up to an index.
func (l *Log) Compact(to Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.termLocked(to)
	if !ok || to <= l.base.Index {
		return
	}
	n := int(to - l.base.Index)
	for _, e := range l.entries[:n] {
		if e.Members != nil {
			l.baseMembers = e.Members
		}
	}
	l.entries = slices.Clone(l.entries[n:])
	l.base = Position{Index: to, Term: t}
}

// Members returns the newest membership and the index of the entry that set it. Callers do not modify the result.
func (l *Log) Members() (Members, Index) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.members, l.membersIndex
}

// Voters returns the ids of the voters.
func (l *Log) Voters() []MemberID {
	m, _ := l.Members()
	return m.voters()
}

// PossibleLeaders returns the ids of the voters of the newest membership, and of the one before unless it has been compacted. The
// newest membership is then committed, so a leader that it removes has resigned.
func (l *Log) PossibleLeaders() []MemberID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := l.members.voters()
	if l.membersIndex <= l.base.Index {
		return ids
	}
	previous := l.baseMembers
	for _, e := range l.entries[:l.membersIndex-l.base.Index-1] {
		if e.Members != nil {
			previous = e.Members
		}
	}
	return append(ids, previous.voters()...)
}

// voters returns the ids of the voters.
func (m Members) voters() []MemberID {
	var ids []MemberID
	for _, v := range m {
		if v.Voter {
			ids = append(ids, v.ID)
		}
	}
	return ids
}
