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

// TestSessionTimes guards against a report that looks newer or a lease that looks shorter than it is to an instance whose clock
// differs, and against evidence that is lost in the encoding.
func TestSessionTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// skew is the difference between the clocks of the requesting and the replying instance.
		skew := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "skew"))
		repliedAt := time.Unix(1_800_000_000, rapid.Int64Range(0, 1e9).Draw(t, "ns"))
		heardAt := repliedAt.Add(-time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "heard ago")))
		leaseUntil := repliedAt.Add(time.Duration(rapid.Int64Range(-1e9, 3e9).Draw(t, "lease left")))
		s := leaser.Session{
			Heartbeat: leaser.Heartbeat{
				Machine: registrar.Machine{Name: "entry-0", Incarnation: 7, ServesWithoutLease: true}, Revision: 9, Digest: 5, Sequence: 8,
				EvidenceBase: 7, ServesWithoutLease: true,
				Evidence: []counter.Evidence{{
					Customer: "cust", Passed: 1, Dropped: 2, PassedSinceCut: 3, LiveFlows: 4, LastPassedMilli: 5, CutRevision: 6,
				}},
			},
			HeardAt: heardAt, LeaseUntil: leaseUntil, EvidenceKnown: true,
		}
		m, err := SessionsToMessage(repliedAt, Sessions{Running: time.Hour, Sessions: []leaser.Session{s}, Peers: []leaser.PeerBound{{Name: "control-1", LeaseUntil: leaseUntil}}})
		require.NoError(t, err)
		requestedAt := repliedAt.Add(skew - time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "request delay")))
		arrivedAt := repliedAt.Add(skew + time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "reply delay")))
		got, err := SessionsFromMessage(requestedAt, arrivedAt, m)
		require.NoError(t, err)
		require.Equal(t, time.Hour, got.Running)
		require.False(t, got.Peers[0].LeaseUntil.Before(leaseUntil.Add(skew)), "leases of another instance became shorter")
		decoded := got.Sessions[0]
		require.Equal(t, s.Heartbeat, decoded.Heartbeat)
		require.True(t, decoded.EvidenceKnown)
		require.False(t, decoded.HeardAt.After(heardAt.Add(skew)), "a report became newer")
		if !leaseUntil.Before(repliedAt) {
			require.False(t, decoded.LeaseUntil.Before(leaseUntil.Add(skew)), "a lease became shorter")
		}
	})
}
