package driver

import "github.com/peridotstage/peridotstage/internal/control/replicator"

// volatileStore stores nothing except a new identity for each process. The entries since the newest snapshot are in the memory of
// the replica, and the effect of older ones is in the state machine.
type volatileStore struct {
	id replicator.MemberID
}

func (s *volatileStore) open(string) (replicator.State, error) {
	var err error
	s.id, err = newIdentity()
	return replicator.State{}, err
}

func (s *volatileStore) identity() replicator.MemberID { return s.id }

func (*volatileStore) write(replicator.Effects) error { return nil }

func (*volatileStore) saveSnapshot(replicator.Snapshot) error { return nil }

func (*volatileStore) release(replicator.Index) error { return nil }

func (*volatileStore) reload() (replicator.State, error) { return replicator.State{}, nil }

func (*volatileStore) close() error { return nil }
