package responder

import (
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"
)

const (
	// probeAfter is how long a connection may go without an acknowledgement before it is probed.
	probeAfter = 1 * time.Second
	// silenceTimeout is how long a connection may go without an acknowledgement. After the probe, the caller has
	// 1.2 s to acknowledge it, which is several probe timeouts (PTO) of QUIC.
	silenceTimeout = 2200 * time.Millisecond
	// silenceCheckInterval is how often connections are checked.
	silenceCheckInterval = 250 * time.Millisecond
	// probeStreamType is a reserved type of HTTP/3 streams, which every peer ignores (RFC 9114 section 6.2.3).
	probeStreamType = 0x21
)

// ackMonitor detects that a caller has stopped acknowledging packets. Received packets alone do not count, because the link
// towards the caller may be the broken one.
type ackMonitor struct {
	// latestRTT is the newest sample of the round-trip time. It has nanosecond resolution, so a changed
	// value means a new acknowledgement.
	latestRTT       time.Duration
	packetsReceived uint64
	probed          bool // a probe was sent after the newest acknowledgement
	probeAt         time.Time
	deadline        time.Time
}

// observe evaluates the statistics of the connection. It reports whether to probe it now and whether it has been silent for
// longer than silenceTimeout.
func (m *ackMonitor) observe(now time.Time, st quic.ConnectionStats) (probe, timedOut bool) {
	if m.deadline.IsZero() || st.LatestRTT != m.latestRTT {
		m.latestRTT, m.probed = st.LatestRTT, false
		m.probeAt, m.deadline = now.Add(probeAfter), now.Add(silenceTimeout)
	}
	probe = !m.probed && !now.Before(m.probeAt)
	m.probed = m.probed || probe
	return probe, now.After(m.deadline)
}

// probeRefused records that the caller permits no stream for a probe. Received packets then count as activity instead.
func (m *ackMonitor) probeRefused(now time.Time, st quic.ConnectionStats) {
	if m.probed = false; st.PacketsReceived != m.packetsReceived {
		m.packetsReceived, m.deadline = st.PacketsReceived, now.Add(silenceTimeout)
	}
}

// monitorConnections closes silent connections until the responder shuts down. QUIC itself drops an idle connection without
// telling the caller and counts any packet as activity. The explicit close reaches a caller over a link that is broken in the
// other direction only.
func (r *Responder) monitorConnections() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.done:
			return
		case now := <-ticker.C:
			r.sendPendingNotices()
			for _, c := range r.conns.probeSilent(now) {
				_ = c.CloseWithError(errorCodeSilent, "nothing is acknowledged any more")
			}
		}
	}
}

// probeSilent probes the connections that need it and returns those that have been silent for too long.
func (s *connections) probeSilent(now time.Time) []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var timedOutConns []*quic.Conn
	for c, monitor := range s.open {
		st := c.ConnectionStats()
		probe, timedOut := monitor.observe(now, st)
		switch {
		case timedOut:
			timedOutConns = append(timedOutConns, c)
		case probe && !sendProbe(c):
			monitor.probeRefused(now, st)
		}
	}
	return timedOutConns
}

// sendProbe opens a stream that the caller acknowledges and then ignores. It returns false if the caller permits no more
// streams for now.
func sendProbe(c *quic.Conn) bool {
	stream, err := c.OpenUniStream()
	if err != nil {
		return false
	}
	_, err = stream.Write(quicvarint.Append(nil, probeStreamType))
	return err == nil && stream.Close() == nil
}
