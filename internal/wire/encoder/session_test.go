package encoder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestSessionTimes guards against a translation between clocks that makes a report fresher or a lease shorter than it is, or
// that loses evidence.
func TestSessionTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The clock of the instance that answers differs from that of the one that asks.
		skew := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "skew"))
		answered := time.Unix(1_800_000_000, rapid.Int64Range(0, 1e9).Draw(t, "ns"))
		heard := answered.Add(-time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "heard ago")))
		lease := answered.Add(time.Duration(rapid.Int64Range(-1e9, 3e9).Draw(t, "lease left")))
		s := leaser.Session{
			Heartbeat: leaser.Heartbeat{
				Machine: registrar.Machine{Name: "entry-0", Incarnation: 7, ServesExpired: true}, Revision: 9, Digest: 5, Sequence: 8,
				EvidenceBase: 7, ServeExpired: true,
				Evidence: []counter.Evidence{{
					Customer: "cust", Passed: 1, Dropped: 2, PassedSinceCut: 3, LiveFlows: 4, LastPassedMilli: 5, CutRevision: 6,
				}},
			},
			HeardAt: heard, LeaseUntil: lease, EvidenceKnown: true,
		}
		m, err := SessionsToMessage(answered, Sessions{Running: time.Hour, Sessions: []leaser.Session{s}, Peers: []leaser.PeerBound{{Name: "control-1", LeaseUntil: lease}}})
		require.NoError(t, err)
		asked := answered.Add(skew - time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "way there")))
		arrived := answered.Add(skew + time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "way back")))
		got, err := SessionsFromMessage(asked, arrived, m)
		require.NoError(t, err)
		require.Equal(t, time.Hour, got.Running)
		require.False(t, got.Peers[0].LeaseUntil.Before(lease.Add(skew)), "leases of another instance became shorter")
		v := got.Sessions[0]
		require.Equal(t, s.Heartbeat, v.Heartbeat)
		require.True(t, v.EvidenceKnown)
		require.False(t, v.HeardAt.After(heard.Add(skew)), "a report became fresher")
		if !lease.Before(answered) {
			require.False(t, v.LeaseUntil.Before(lease.Add(skew)), "a lease became shorter")
		}
	})
}
