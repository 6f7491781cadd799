package replicator

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrLog means that entries do not fit the log.
var ErrLog = eris.New("entries do not fit the log")

// Log is the part of the log that is not covered by the snapshot, under its own lock.
type Log struct {
	mu sync.RWMutex
	// base is the position before the first entry kept. baseMembers is the membership there.
	base        Position
	baseMembers Members
	// entries have consecutive indexes after base.
	entries []Entry
	// members is the newest membership, which was set at membersAt.
	members   Members
	membersAt Index
}

// Reset replaces the log by the state at a snapshot.
func (l *Log) Reset(at Position, m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.baseMembers, l.entries = at, m, nil
	l.findMembers()
}

func (l *Log) findMembers() {
	l.members, l.membersAt = l.baseMembers, l.base.Index
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Members; m != nil {
			l.members, l.membersAt = m, l.entries[i].Index
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
		return eris.Wrapf(ErrLog, "entry %d, log from %d to %d", e.Index, l.base.Index, last)
	}
	if e.Index <= last {
		// Copied, because messages in flight share the old entries.
		l.entries = slices.Clone(l.entries[:e.Index-l.base.Index-1])
		l.findMembers()
	}
	l.entries = append(l.entries, e)
	if e.Members != nil {
		l.members, l.membersAt = e.Members, e.Index
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

// Base returns the position before the first entry kept.
func (l *Log) Base() Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.base
}

// Term returns the term of the entry at an index. ok is false if the entry is not kept.
func (l *Log) Term(at Index) (t Term, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.termLocked(at)
}

func (l *Log) termLocked(at Index) (Term, bool) {
	if at == l.base.Index {
		return l.base.Term, true
	}
	if at < l.base.Index || at > l.lastLocked().Index {
		return 0, false
	}
	return l.entries[at-l.base.Index-1].Term, true
}

// Slice returns entries from an index on, as many as fit in maxBytes but at least one.
func (l *Log) Slice(from Index, maxBytes int) []Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if from <= l.base.Index || from > l.lastLocked().Index {
		return nil
	}
	first := int(from - l.base.Index - 1)
	n, size := first, 0
	for n < len(l.entries) && (n == first || size+len(l.entries[n].Command) <= maxBytes) {
		size += len(l.entries[n].Command)
		n++
	}
	return l.entries[first:n:n]
}

// Compact drops the entries up to an index.
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

// Members returns the newest membership and the index it was set at. The result is read-only.
func (l *Log) Members() (Members, Index) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.members, l.membersAt
}

// Voters returns the ids of the voters.
func (l *Log) Voters() []MemberID {
	m, _ := l.Members()
	var ids []MemberID
	for _, v := range m {
		if v.Voter {
			ids = append(ids, v.ID)
		}
	}
	return ids
}
