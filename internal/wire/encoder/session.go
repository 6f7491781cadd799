package encoder

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// SessionsToMessage translates sessions for another control instance. Times travel as durations, because clocks differ.
func SessionsToMessage(now time.Time, sessions []leaser.Session) (*messenger.SessionsReply, error) {
	m := &messenger.SessionsReply{Protocol: Protocol}
	for _, s := range sessions {
		h, err := HeartbeatToMessage(s.Heartbeat)
		if err != nil {
			return nil, err
		}
		m.Sessions = append(m.Sessions, &messenger.NodeSession{
			Heartbeat: h, HeardMicros: micros(now.Sub(s.HeardAt)), LeaseMicros: micros(s.LeaseUntil.Sub(now)),
		})
	}
	return m, nil
}

// SessionsFromMessage translates received sessions. askedAt is a clock reading from before the call, and now one from after
// it: a node is taken to have been heard at the earliest and to hold its lease until the latest possible time.
func SessionsFromMessage(askedAt, now time.Time, m *messenger.SessionsReply) ([]leaser.Session, error) {
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	var sessions []leaser.Session
	for _, s := range m.GetSessions() {
		h, err := HeartbeatFromMessage(s.GetHeartbeat())
		if err != nil {
			return nil, err
		}
		sessions = append(sessions, leaser.Session{
			Heartbeat: h, HeardAt: askedAt.Add(-time.Duration(s.GetHeardMicros()+1) * time.Microsecond),
			LeaseUntil: now.Add(time.Duration(s.GetLeaseMicros()+1) * time.Microsecond),
		})
	}
	return sessions, nil
}

func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }
