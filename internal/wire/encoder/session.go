package encoder

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Sessions is the answer of a control instance that was asked for its sessions.
type Sessions struct {
	Running  time.Duration
	Sessions []leaser.Session
	// Peers is set by the leader.
	Peers []leaser.PeerBound
}

// SessionsToMessage translates sessions as they are at now. Times become ages, because clocks of machines differ.
func SessionsToMessage(now time.Time, s Sessions) (*messenger.SessionsReply, error) {
	m := &messenger.SessionsReply{Protocol: Protocol, RunningMicros: uint64(max(s.Running, 0).Microseconds())}
	for _, v := range s.Sessions {
		report, err := HeartbeatToMessage(v.Heartbeat)
		if err != nil {
			return nil, err
		}
		m.Sessions = append(m.Sessions, &messenger.Session{
			Report: report, EvidenceKnown: v.EvidenceKnown,
			// Both are rounded up, so that a report never gets fresher and a lease never shorter from the encoding.
			HeardAgoMicros:  uint64(max(now.Sub(v.HeardAt), 0).Microseconds()) + 1,
			LeaseLeftMicros: leaseLeft(now, v.LeaseUntil),
		})
	}
	for _, p := range s.Peers {
		m.Peers = append(m.Peers, &messenger.PeerBound{Name: string(p.Name), LeaseLeftMicros: leaseLeft(now, p.LeaseUntil)})
	}
	return m, nil
}

// leaseLeft returns the time until a lease ends, rounded up to microseconds; 0 for no lease.
func leaseLeft(now, until time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return until.Sub(now).Microseconds() + 1
}

// SessionsFromMessage translates an answer to a question that was asked at askedAt and arrived at now. Reports are taken to be
// as old, and leases to run as long, as the time of the call allows.
func SessionsFromMessage(askedAt, now time.Time, m *messenger.SessionsReply) (Sessions, error) {
	s := Sessions{Running: time.Duration(m.GetRunningMicros()) * time.Microsecond}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return s, err
	}
	for _, v := range m.GetSessions() {
		h, err := HeartbeatFromMessage(v.GetReport())
		if err != nil {
			return s, err
		}
		next := leaser.Session{
			Heartbeat: h, EvidenceKnown: v.GetEvidenceKnown(),
			HeardAt: askedAt.Add(-time.Duration(v.GetHeardAgoMicros()) * time.Microsecond),
		}
		if left := v.GetLeaseLeftMicros(); left != 0 {
			next.LeaseUntil = now.Add(time.Duration(left) * time.Microsecond)
		}
		s.Sessions = append(s.Sessions, next)
	}
	for _, p := range m.GetPeers() {
		s.Peers = append(s.Peers, leaser.PeerBound{
			Name:       registrar.MachineName(p.GetName()),
			LeaseUntil: now.Add(time.Duration(p.GetLeaseLeftMicros()) * time.Microsecond),
		})
	}
	return s, nil
}
