package responder

import (
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"
)

const (
	// probeAfter is how long a connection may go without an acknowledgement before it is probed.
	probeAfter = 1 * time.Second
	// silentAfter is how long a connection may go without an acknowledgement. It leaves the caller 1.2 s, several probe
	// timeouts of QUIC, to acknowledge the probe.
	silentAfter = 2200 * time.Millisecond
	// probeInterval is how often connections are looked at.
	probeInterval = 250 * time.Millisecond
	// probeStreamType is a reserved type of HTTP/3 streams, which every peer has to ignore (RFC 9114 section 6.2.3).
	probeStreamType = 0x21
)

// silence watches one connection for the absence of acknowledgements. Packets that merely arrive do not count, because the
// way to the caller may be the one that is cut.
type silence struct {
	// rtt is the newest sample of the round-trip time. Each acknowledgement makes a new one, in nanoseconds.
	rtt      time.Duration
	packets  uint64
	probed   bool
	probeAt  time.Time
	deadline time.Time
}

// observe looks at the counts of the connection. It reports whether to probe it now and whether it has been silent for too
// long.
func (s *silence) observe(now time.Time, st quic.ConnectionStats) (probe, dead bool) {
	if s.deadline.IsZero() || st.LatestRTT != s.rtt {
		s.rtt, s.probed = st.LatestRTT, false
		s.probeAt, s.deadline = now.Add(probeAfter), now.Add(silentAfter)
	}
	probe = !s.probed && !now.Before(s.probeAt)
	s.probed = s.probed || probe
	return probe, now.After(s.deadline)
}

// refused notes that the caller lets no probe pass. Then packets that arrive are the only sign of life.
func (s *silence) refused(now time.Time, st quic.ConnectionStats) {
	if s.probed = false; st.PacketsReceived != s.packets {
		s.packets, s.deadline = st.PacketsReceived, now.Add(silentAfter)
	}
}

// probe closes silent connections until the responder shuts down. QUIC itself drops an idle connection without a word and
// counts any packet as activity; the explicit close reaches a caller over a link that is cut in the other direction.
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
				_ = c.CloseWithError(closeSilent, "nothing is acknowledged any more")
			}
		}
	}
}

// silent probes the connections that need it and returns those that have been silent for too long.
func (s *connections) silent(now time.Time) []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*quic.Conn
	for c, watch := range s.open {
		st := c.ConnectionStats()
		probe, dead := watch.observe(now, st)
		switch {
		case dead:
			found = append(found, c)
		case probe && !sendProbe(c):
			watch.refused(now, st)
		}
	}
	return found
}

// sendProbe sends a stream that the caller has to acknowledge and ignore. It returns false if the caller permits no more
// streams for now.
func sendProbe(c *quic.Conn) bool {
	stream, err := c.OpenUniStream()
	if err != nil {
		return false
	}
	_, err = stream.Write(quicvarint.Append(nil, probeStreamType))
	return err == nil && stream.Close() == nil
}
