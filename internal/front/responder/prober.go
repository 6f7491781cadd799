package responder

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silentAfter is how long nothing may arrive on a connection, although pings were sent on it after keepAlive. Together
	// with probeInterval and idleTimeout it keeps the detection on both ends within 5 s.
	silentAfter = 2200 * time.Millisecond
	// probeInterval is how often connections are looked at.
	probeInterval = 250 * time.Millisecond
)

// silence watches one connection for the absence of authenticated packets.
type silence struct {
	packets  uint64
	deadline time.Time
}

// observe notes how many packets have arrived so far and reports whether the connection has been silent for too long.
func (s *silence) observe(now time.Time, packets uint64) bool {
	if s.deadline.IsZero() || packets != s.packets {
		s.packets, s.deadline = packets, now.Add(silentAfter)
		return false
	}
	return now.After(s.deadline)
}

// probe closes silent connections until the responder shuts down. QUIC drops an idle connection without a word, so a
// caller that is still reached over a link cut in one direction would keep waiting; an explicit close reaches it.
func (r *Responder) probe() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.done:
			return
		case now := <-ticker.C:
			r.payNotices()
			for _, c := range r.conns.silent(now) {
				_ = c.CloseWithError(closeSilent, "no packet arrives any more")
			}
		}
	}
}

// silent returns the connections that have been silent for too long.
func (s *connections) silent(now time.Time) []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*quic.Conn
	for c, watch := range s.open {
		if watch.observe(now, c.ConnectionStats().PacketsReceived) {
			found = append(found, c)
		}
	}
	return found
}
