package replicator

import (
	"slices"
	"strings"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Knowledge bounds what another instance knows.
type Knowledge struct {
	Name registrar.MachineName
	// Until is a moment of the leader's clock. The instance vouches for no state that is newer, unless a leader sends to it
	// after the bound was asked for.
	Until time.Time
}

// Knowledge returns a bound for each other instance, sorted by name; nil unless this member is the leader and holds the lease
// at now. A follower vouches as of a clock reading that a leader returned to it. This leader returns only readings that it
// has received. Earlier leaders returned readings, and vouched themselves, only while they held the lease, which ended before
// this member was elected.
func (r *Replica) Knowledge(now time.Time) []Knowledge {
	if !r.elector.Leased(now) {
		return nil
	}
	r.peersMu.RLock()
	defer r.peersMu.RUnlock()
	var all []Knowledge
	for _, p := range r.peers {
		p.mu.Lock()
		k := Knowledge{Name: p.name, Until: r.peersAt}
		if p.heardAt.After(k.Until) {
			k.Until = p.heardAt
		}
		p.mu.Unlock()
		// Two identities share a name while a lost disk is replaced.
		i := slices.IndexFunc(all, func(o Knowledge) bool { return o.Name == k.Name })
		switch {
		case i < 0:
			all = append(all, k)
		case k.Until.After(all[i].Until):
			all[i] = k
		}
	}
	slices.SortFunc(all, func(a, b Knowledge) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}
