package encoder

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/gatherer"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ReportToMessage translates a report for another control instance. Times travel as durations, because clocks differ.
func ReportToMessage(now time.Time, r gatherer.Report) (*messenger.SessionsReply, error) {
	m := &messenger.SessionsReply{Protocol: Protocol}
	for name, end := range r.LeaseEnds {
		m.LeaseEnds = append(m.LeaseEnds, &messenger.LeaseEnd{Instance: string(name), RemainingMicros: micros(end.Sub(now))})
	}
	for _, s := range r.Sessions {
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

// ReportFromMessage translates a received report. askedAt is a clock reading from before the call, and now one from after
// it: a node is taken to have been heard at the earliest and to hold its lease until the latest possible time.
func ReportFromMessage(askedAt, now time.Time, m *messenger.SessionsReply) (r gatherer.Report, err error) {
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return r, err
	}
	for _, e := range m.GetLeaseEnds() {
		if r.LeaseEnds == nil {
			r.LeaseEnds = map[registrar.MachineName]time.Time{}
		}
		r.LeaseEnds[registrar.MachineName(e.GetInstance())] = now.Add(time.Duration(e.GetRemainingMicros()+1) * time.Microsecond)
	}
	for _, s := range m.GetSessions() {
		h, err := HeartbeatFromMessage(s.GetHeartbeat())
		if err != nil {
			return r, err
		}
		r.Sessions = append(r.Sessions, leaser.Session{
			Heartbeat: h, HeardAt: askedAt.Add(-time.Duration(s.GetHeardMicros()+1) * time.Microsecond),
			LeaseUntil: now.Add(time.Duration(s.GetLeaseMicros()+1) * time.Microsecond),
		})
	}
	return r, nil
}

func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }
