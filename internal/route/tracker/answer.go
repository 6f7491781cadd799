package tracker

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// entryLiveTimeout is how long after its last datagram an entry counts as running. With 1 s, late answers went to an entry that
// had been killed 750 ms before.
const entryLiveTimeout = callerQuietPeriod

// maxEntriesChecked is the maximum number of entries of the configuration that are checked for one answer.
const maxEntriesChecked = 8

// entrySet holds the entries of the configuration and the time of each one's last datagram. It is immutable except for the times.
type entrySet struct {
	addresses    []netip.AddrPort
	lastPacketAt map[netip.AddrPort]*atomic.Int64
}

// newEntrySet returns the entries outside withdrawn zones. The times of previous, which may be nil, are kept.
func newEntrySet(w *registrar.World, previous *entrySet) *entrySet {
	s := &entrySet{lastPacketAt: map[netip.AddrPort]*atomic.Int64{}}
	for _, m := range w.Machines() {
		z, ok := w.Zone(m.Zone)
		if m.Role != registrar.RoleEntry || !m.DataAddress.IsValid() || !ok || z.Withdrawn {
			continue
		}
		s.addresses = append(s.addresses, m.DataAddress)
		s.lastPacketAt[m.DataAddress] = &atomic.Int64{}
		if previous != nil && previous.lastPacketAt[m.DataAddress] != nil {
			s.lastPacketAt[m.DataAddress] = previous.lastPacketAt[m.DataAddress]
		}
	}
	return s
}

// recordPacket sets the time of the last datagram from an entry.
func (s *entrySet) recordPacket(now nanotime, entry netip.AddrPort) {
	if last := s.lastPacketAt[entry]; last != nil {
		last.Store(int64(now))
	}
}

// live reports whether a datagram from an entry has arrived within entryLiveTimeout.
func (s *entrySet) live(now nanotime, entry netip.AddrPort) bool {
	stored := s.lastPacketAt[entry]
	if stored == nil {
		return false
	}
	last := nanotime(stored.Load())
	return last != 0 && now <= last.add(entryLiveTimeout)
}

// Answer returns the header of an answer to a caller; its Entry field is the entry to send the answer through. It returns false
// if the flow is unknown or must not be answered.
func (t *Tracker) Answer(now time.Time, caller netip.AddrPort) (carrier.Header, bool) {
	if !t.Lease.Valid(now) {
		return carrier.Header{}, false
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.configured || t.self.ZoneWithdrawn {
		return carrier.Header{}, false
	}
	key := endpointOf(caller)
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.flows[key]
	if !found || r.redirect != 0 {
		return carrier.Header{}, false
	}
	nowNanos := t.sinceEpoch(now)
	r.countAnswer()
	r.expireAt = nowNanos.add(t.idleTimeout())
	entry := t.pickEntry(nowNanos, &r)
	s.flows[key] = r
	return carrier.Header{
		Kind: carrier.Answer, Service: t.route.Service.ID, Target: t.self.ID, Revision: t.route.Revision,
		Flow: registrar.Flow{Caller: caller, Service: t.route.Service.Address}, Entry: entry,
	}, true
}

// pickEntry returns the entry that forwarded the caller's last packet. Once the caller has sent nothing for callerQuietPeriod,
// that entry may be gone without the caller noticing, so the answers alternate over entries that have recently forwarded a
// datagram of any flow.
func (t *Tracker) pickEntry(now nanotime, r *flowRecord) netip.AddrPort {
	last := r.entries[0].addrPort()
	if now <= r.callerPacketAt.add(callerQuietPeriod) {
		return last
	}
	r.lateAnswers++
	n := int(r.lateAnswers)
	for i := range recentEntryCount {
		if a := r.entries[(n+i)%recentEntryCount].addrPort(); t.entries.live(now, a) {
			return a
		}
	}
	all := t.entries.addresses
	for i := range min(maxEntriesChecked, len(all)) {
		if a := all[(n+i)%len(all)]; t.entries.live(now, a) {
			return a
		}
	}
	// No entry is known to be running, so all are tried in turn. Every other answer goes to an entry that the flow has used.
	if a := r.entries[n/2%recentEntryCount].addrPort(); n%2 == 0 && a.IsValid() {
		return a
	}
	if len(all) > 0 {
		return all[n/2%len(all)]
	}
	return last
}
