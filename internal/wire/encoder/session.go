package encoder

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Sessions is the reply of a control instance to a request for its sessions.
type Sessions struct {
	// Running is how long the replying instance has been running.
	Running  time.Duration
	Sessions []leaser.Session
	// Peers is empty unless the replying instance is the leader.
	Peers []leaser.PeerBound
}

// SessionsToMessage translates a reply. Times are sent relative to now, the time of the reply, because the clocks of
// machines differ.
func SessionsToMessage(now time.Time, s Sessions) (*messenger.SessionsReply, error) {
	m := &messenger.SessionsReply{Protocol: Protocol, RunningMicros: uint64(max(s.Running, 0).Microseconds())}
	for _, session := range s.Sessions {
		report, err := HeartbeatToMessage(session.Heartbeat)
		if err != nil {
			return nil, err
		}
		m.Sessions = append(m.Sessions, &messenger.Session{
			Report: report, EvidenceKnown: session.EvidenceKnown,
			// Both durations are rounded up, so that the encoding never makes a report newer or a lease shorter.
			HeardAgoMicros:  uint64(max(now.Sub(session.HeardAt), 0).Microseconds()) + 1,
			LeaseLeftMicros: leaseLeftMicros(now, session.LeaseUntil),
		})
	}
	for _, p := range s.Peers {
		m.Peers = append(m.Peers, &messenger.PeerBound{Name: string(p.Name), LeaseLeftMicros: leaseLeftMicros(now, p.LeaseUntil)})
	}
	return m, nil
}

// leaseLeftMicros returns the time until a lease ends, rounded up to microseconds. It returns 0 if there is no lease.
func leaseLeftMicros(now, leaseUntil time.Time) int64 {
	if leaseUntil.IsZero() {
		return 0
	}
	return leaseUntil.Sub(now).Microseconds() + 1
}

// SessionsFromMessage translates a reply that arrived at now to a request that was sent at requestedAt. The peer sent
// the reply at an unknown time between the two. To be safe, ages of reports are subtracted from requestedAt, and remaining times
// of leases are added to now.
func SessionsFromMessage(requestedAt, now time.Time, m *messenger.SessionsReply) (Sessions, error) {
	s := Sessions{Running: time.Duration(m.GetRunningMicros()) * time.Microsecond}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return s, err
	}
	for _, session := range m.GetSessions() {
		h, err := HeartbeatFromMessage(session.GetReport())
		if err != nil {
			return s, err
		}
		decoded := leaser.Session{
			Heartbeat: h, EvidenceKnown: session.GetEvidenceKnown(),
			HeardAt: requestedAt.Add(-time.Duration(session.GetHeardAgoMicros()) * time.Microsecond),
		}
		if leaseLeft := session.GetLeaseLeftMicros(); leaseLeft != 0 {
			decoded.LeaseUntil = now.Add(time.Duration(leaseLeft) * time.Microsecond)
		}
		s.Sessions = append(s.Sessions, decoded)
	}
	for _, p := range m.GetPeers() {
		s.Peers = append(s.Peers, leaser.PeerBound{
			Name:       registrar.MachineName(p.GetName()),
			LeaseUntil: now.Add(time.Duration(p.GetLeaseLeftMicros()) * time.Microsecond),
		})
	}
	return s, nil
}
