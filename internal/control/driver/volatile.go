package driver

import "github.com/peridotstage/peridotstage/internal/control/replicator"

// volatileStore keeps nothing but the identity of this process. The replica holds the entries since its newest snapshot in
// memory, and its state machine the rest.
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
