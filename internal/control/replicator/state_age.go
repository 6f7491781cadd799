package replicator

import (
	"sync"
	"time"
)

// maxEchoes bounds the echoed clock readings that wait for entries to be applied.
const maxEchoes = 64

// echo is a clock reading of this process that a leader returned, with the commit index of the leader. Every entry confirmed
// before the reading was taken has an index of at most commit.
type echo struct {
	readAt time.Duration
	commit Index
}

// stateAge bounds the age of the applied state, under its own lock.
type stateAge struct {
	mu      sync.RWMutex
	applied Index
	commit  Index
	// behindSince is when the applied index fell behind commit.
	behindSince time.Time
	// waiting are the echoes whose commit index is not applied yet, oldest first.
	waiting []echo
	// hasEcho is true once the commit index of an echo has been applied.
	hasEcho bool
	// upToDateAt is the newest echoed clock reading such that the applied state holds every entry confirmed before it.
	upToDateAt time.Duration
}

func (a *stateAge) setCommit(now time.Time, index Index) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.applied >= a.commit {
		a.behindSince = now
	}
	a.commit = max(a.commit, index)
}

func (a *stateAge) setApplied(now time.Time, index Index) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = max(a.applied, index)
	// The entries that are still missing may have been committed after behindSince, but their commit times are not recorded, so
	// behindSince stays until all are applied.
	if a.applied >= a.commit {
		a.behindSince = now
	}
	a.applyEchoes()
}

func (a *stateAge) addEcho(e echo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == maxEchoes {
		a.waiting = a.waiting[:maxEchoes-1]
	}
	a.waiting = append(a.waiting, e)
	a.applyEchoes()
}

// applyEchoes updates upToDateAt from the waiting echoes whose commit index is applied.
func (a *stateAge) applyEchoes() {
	n := 0
	for n < len(a.waiting) && a.waiting[n].commit <= a.applied {
		if e := a.waiting[n]; !a.hasEcho || e.readAt > a.upToDateAt {
			a.hasEcho, a.upToDateAt = true, e.readAt
		}
		n++
	}
	a.waiting = append(a.waiting[:0], a.waiting[n:]...)
}

// leaderAge returns the age of the state at a leader with a valid lease. termStart is the index of the first entry of its term.
// The second result is false if that entry has not been applied.
func (a *stateAge) leaderAge(now time.Time, termStart Index) (time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if termStart == 0 || a.applied < termStart {
		return 0, false
	}
	if a.applied < a.commit {
		return now.Sub(a.behindSince), true
	}
	return 0, true
}

// followerAge returns the age of the state at a follower whose clock reads readAt. The second result is false if no
// echo has been applied.
func (a *stateAge) followerAge(readAt time.Duration) (time.Duration, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	// The caller may have read the clock before the newest echo was added. A negative age would make a lease too long.
	return max(readAt-a.upToDateAt, 0), a.hasEcho
}
