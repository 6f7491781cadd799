package replicator

import (
	"slices"
	"strings"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// PeerBound is an upper bound on how recent the state of another instance can be.
type PeerBound struct {
	Name registrar.MachineName
	// Until is a time on the leader's clock. The instance cannot claim a state newer than this, unless it receives an append
	// that a leader sent after the bound was computed.
	Until time.Time
}

// PeerBounds returns, for each other instance, the latest time as of which its state can be current, sorted by name. It returns
// nil unless this member is the leader and holds the lease at now. A follower dates its state by a clock reading that a
// leader echoed to it. This leader echoes only readings that it has received, so the bound is the time of the last
// answer. Earlier leaders echoed readings and dated their own state only while they held the lease, which expired before this
// member was elected, so the bound is never before peersChangedAt.
func (r *Replica) PeerBounds(now time.Time) []PeerBound {
	if !r.elector.HoldsLease(now) {
		return nil
	}
	r.peersMu.RLock()
	defer r.peersMu.RUnlock()
	var bounds []PeerBound
	for _, p := range r.peers {
		p.mu.Lock()
		bound := PeerBound{Name: p.name, Until: r.peersChangedAt}
		if p.answeredAt.After(bound.Until) {
			bound.Until = p.answeredAt
		}
		p.mu.Unlock()
		// Two members have the same name while a lost disk is replaced.
		i := slices.IndexFunc(bounds, func(other PeerBound) bool { return other.Name == bound.Name })
		switch {
		case i < 0:
			bounds = append(bounds, bound)
		case bound.Until.After(bounds[i].Until):
			bounds[i] = bound
		}
	}
	slices.SortFunc(bounds, func(a, b PeerBound) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return bounds
}
