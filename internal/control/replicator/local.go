package replicator

import (
	"context"
	"sync"
)

// StateMachine carries out log entries in order.
type StateMachine interface {
	Apply(index uint64, entry []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Local is a log with one member that keeps nothing on disk.
type Local struct {
	Machine StateMachine

	mu    sync.Mutex
	index uint64
}

// Propose appends an entry and returns the result of carrying it out.
func (l *Local) Propose(_ context.Context, entry []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.Machine.Apply(l.index, entry), nil
}
