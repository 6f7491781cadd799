package tracker

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// entryLive is how long after a datagram from an entry the entry counts as running. With 1 s, late answers went to an entry
// that had been killed 750 ms before.
const entryLive = callerQuiet

// entryProbes bounds how many entries of the configuration are looked at for one answer.
const entryProbes = 8

// entrySet holds the entries of the configuration and when each was last heard. It is immutable but for the times.
type entrySet struct {
	addresses []netip.AddrPort
	heardAt   map[netip.AddrPort]*atomic.Int64
}

// newEntrySet lists the entries outside withdrawn zones. The times of previous are kept; previous may be nil.
func newEntrySet(w *registrar.World, previous *entrySet) *entrySet {
	s := &entrySet{heardAt: map[netip.AddrPort]*atomic.Int64{}}
	for _, m := range w.Machines() {
		z, ok := w.Zone(m.Zone)
		if m.Role != registrar.RoleEntry || !m.DataAddress.IsValid() || !ok || z.Withdrawn {
			continue
		}
		s.addresses = append(s.addresses, m.DataAddress)
		s.heardAt[m.DataAddress] = &atomic.Int64{}
		if previous != nil && previous.heardAt[m.DataAddress] != nil {
			s.heardAt[m.DataAddress] = previous.heardAt[m.DataAddress]
		}
	}
	return s
}

func (s *entrySet) heard(now instant, entry netip.AddrPort) {
	if at := s.heardAt[entry]; at != nil {
		at.Store(int64(now))
	}
}

func (s *entrySet) live(now instant, entry netip.AddrPort) bool {
	at := s.heardAt[entry]
	if at == nil {
		return false
	}
	last := instant(at.Load())
	return last != 0 && now <= last.add(entryLive)
}

// Answer returns the header of an answer to a caller and the entry to send it through. It returns false if the flow is not
// known or may not be answered.
func (t *Tracker) Answer(now time.Time, caller netip.AddrPort) (carrier.Header, bool) {
	if !t.Lease.Valid(now) {
		return carrier.Header{}, false
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.ok || t.self.ZoneWithdrawn {
		return carrier.Header{}, false
	}
	key := endpointOf(caller)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.flows[key]
	if !ok || r.redirect != 0 {
		return carrier.Header{}, false
	}
	at := t.instant(now)
	r.answered()
	r.expireAt = at.add(t.flowIdle())
	entry := t.pickEntry(at, &r)
	s.flows[key] = r
	return carrier.Header{
		Kind: carrier.Answer, Service: t.route.Service.ID, Target: t.self.ID, Revision: t.route.Revision,
		Flow: registrar.Flow{Caller: caller, Service: t.route.Service.Address}, Entry: entry,
	}, true
}

// pickEntry returns the entry that carried the caller's last packet. Once the caller is quiet, that entry may be gone
// without the caller noticing, so the answers alternate over entries that are heard from on any flow.
func (t *Tracker) pickEntry(now instant, r *flowRecord) netip.AddrPort {
	last := r.entries[0].addrPort()
	if now <= r.seenAt.add(callerQuiet) {
		return last
	}
	r.answers++
	n := int(r.answers)
	for i := range recentEntries {
		if a := r.entries[(n+i)%recentEntries].addrPort(); t.entries.live(now, a) {
			return a
		}
	}
	all := t.entries.addresses
	for i := range min(entryProbes, len(all)) {
		if a := all[(n+i)%len(all)]; t.entries.live(now, a) {
			return a
		}
	}
	// No entry is known to run, so all are tried in turn, the ones that the flow has used more often.
	if a := r.entries[n/2%recentEntries].addrPort(); n%2 == 0 && a.IsValid() {
		return a
	}
	if len(all) > 0 {
		return all[n/2%len(all)]
	}
	return last
}
