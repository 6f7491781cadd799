package replicator

import (
	"sync"
	"time"
)

// maxEchoes bounds the readings that wait for entries to be applied.
const maxEchoes = 64

// echo is a moment of the own clock at which the commit index of the leader was at most commit.
type echo struct {
	at     time.Duration
	commit Index
}

// voucher knows how old the applied state may be, under its own lock.
type voucher struct {
	mu      sync.RWMutex
	applied Index
	commit  Index
	// behindSince is when the applied state fell behind commit.
	behindSince time.Time
	// waiting are echoes whose commit index is not applied yet, oldest first.
	waiting []echo
	known   bool
	// knownAt is the newest moment at which the applied state held every confirmed entry.
	knownAt time.Duration
}

func (v *voucher) setCommit(now time.Time, c Index) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.applied >= v.commit {
		v.behindSince = now
	}
	v.commit = max(v.commit, c)
}

func (v *voucher) setApplied(now time.Time, a Index) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applied = max(v.applied, a)
	// What is still missing was committed later, but when is not kept: the bound stays until the state has caught up.
	if v.applied >= v.commit {
		v.behindSince = now
	}
	v.settle()
}

func (v *voucher) addEcho(e echo) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.waiting) == maxEchoes {
		v.waiting = v.waiting[:maxEchoes-1]
	}
	v.waiting = append(v.waiting, e)
	v.settle()
}

func (v *voucher) settle() {
	n := 0
	for n < len(v.waiting) && v.waiting[n].commit <= v.applied {
		if e := v.waiting[n]; !v.known || e.at > v.knownAt {
			v.known, v.knownAt = true, e.at
		}
		n++
	}
	v.waiting = append(v.waiting[:0], v.waiting[n:]...)
}

// lead returns the age of the state at a leader with a valid lease, whose first entry of its own term is at start.
func (v *voucher) lead(now time.Time, start Index) (time.Duration, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if start == 0 || v.applied < start {
		return 0, false
	}
	if v.applied < v.commit {
		return now.Sub(v.behindSince), true
	}
	return 0, true
}

// follow returns the age of the state at a follower whose clock reads at.
func (v *voucher) follow(at time.Duration) (time.Duration, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	// The caller may have read the clock before the newest echo was taken in. A lease must not get longer by that.
	return max(at-v.knownAt, 0), v.known
}
