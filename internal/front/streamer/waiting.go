package streamer

import (
	"bytes"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// keptPackets holds the opening packets that wait at the entry. The lock is held from a decision that a packet waits or leaves until the
// packet is kept or taken, so that no packet leaves before it is kept. One lock is enough: one goroutine receives all packets, and another
// one looks at waiting packets every 20 ms.
type keptPackets struct {
	mu     sync.Mutex
	byFlow map[registrar.Flow][]byte
}

// leaving is a packet whose wait has ended, with the decision about it.
type leaving struct {
	decision steerer.Decision
	packet   []byte
}

// keepLocked keeps a copy of a packet, which replaces an earlier copy of its flow.
func (k *keptPackets) keepLocked(f registrar.Flow, packet []byte) {
	if k.byFlow == nil {
		k.byFlow = map[registrar.Flow][]byte{}
	}
	k.byFlow[f] = bytes.Clone(packet)
}

// takeLocked returns the packets of decisions about waiting flows.
func (k *keptPackets) takeLocked(ended []steerer.Ended) []leaving {
	all := make([]leaving, 0, len(ended))
	for _, d := range ended {
		all = append(all, leaving{decision: d.Decision, packet: k.byFlow[d.Flow]})
		delete(k.byFlow, d.Flow)
	}
	return all
}

// applyLocked keeps the packet of a decision if it waits, and returns the packet that gives way to it, if there is one.
func (k *keptPackets) applyLocked(d steerer.Decision, s *carrier.Segment, packet []byte) []leaving {
	if d.Action != steerer.Wait {
		return nil
	}
	k.keepLocked(s.Flow(), packet)
	if d.Displaced == nil {
		return nil
	}
	return k.takeLocked([]steerer.Ended{*d.Displaced})
}

// handleOpening handles an opening packet of a caller.
func (e *Entry) handleOpening(b *buffer, n int) {
	e.kept.mu.Lock()
	d := e.Steerer.FromCaller(time.Now(), &b.segment)
	displaced := e.kept.applyLocked(d, &b.segment, b.datagram(n))
	e.kept.mu.Unlock()
	e.execute(d, b, n)
	e.finish(displaced)
}

// decideReturned decides about a packet that an agent returned.
func (e *Entry) decideReturned(now time.Time, from netip.AddrPort, h carrier.HopHeader, b *buffer, packet []byte) (steerer.Decision, []leaving) {
	if e.MaxWaiting == 0 || !b.segment.Opens() {
		return e.Steerer.HandleReturned(now, from, h, &b.segment), nil
	}
	e.kept.mu.Lock()
	defer e.kept.mu.Unlock()
	d := e.Steerer.HandleReturned(now, from, h, &b.segment)
	return d, e.kept.applyLocked(d, &b.segment, packet)
}

// releaseAt lets packets leave for the upstream whose agent has just reported.
func (e *Entry) releaseAt(now time.Time, agent netip.AddrPort) {
	if e.MaxWaiting == 0 {
		return
	}
	e.kept.mu.Lock()
	all := e.kept.takeLocked(e.Steerer.ReleaseAt(now, agent))
	e.kept.mu.Unlock()
	e.finish(all)
}

// releaseAll lets packets leave for which there is room, and drops those that have expired.
func (e *Entry) releaseAll(now time.Time) {
	if e.MaxWaiting == 0 {
		return
	}
	e.kept.mu.Lock()
	all := e.kept.takeLocked(e.Steerer.ReleaseAll(now))
	e.kept.mu.Unlock()
	e.finish(all)
}

// finish carries out the decisions about packets whose wait has ended.
func (e *Entry) finish(all []leaving) {
	for _, l := range all {
		e.executeKept(l.decision, l.packet)
	}
}
