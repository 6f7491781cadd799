package ejector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var start = time.Unix(1000, 0)

// TestThreshold guards against upstreams that are ejected because all fail alike, and against failing ones that are not.
func TestThreshold(t *testing.T) {
	const all, half = carrier.AllFailed, carrier.AllFailed / 2
	tests := []struct {
		name    string
		shares  []carrier.FailureShare
		failing int
	}{
		{"none", nil, 0},
		{"all well", []carrier.FailureShare{0, 0, 0, 0}, 0},
		{"one fails", []carrier.FailureShare{0, all, 0, 0}, 1},
		{"one fails in part", []carrier.FailureShare{0, 0, half, 0}, 1},
		{"single failures", []carrier.FailureShare{0, all / 8, 0, 0}, 0},
		{"most fail", []carrier.FailureShare{all, all, all, 0}, 3},
		{"all fail", []carrier.FailureShare{all, all, all, all}, 0},
		{"all fail in part", []carrier.FailureShare{half, half + 25, half - 25, half}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var upstreams []Upstream
			for _, share := range tt.shares {
				upstreams = append(upstreams, Upstream{Share: share, Slots: 2})
			}
			threshold := Threshold(upstreams)
			failing := 0
			for _, share := range tt.shares {
				if share > threshold {
					failing++
				}
			}
			require.Equal(t, tt.failing, failing)
		})
	}
}

// TestRemainingCapacity guards against a service whose whole capacity is ejected, whatever its upstreams fail.
func TestRemainingCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Upstream {
			return Upstream{Share: carrier.FailureShare(rapid.Uint8().Draw(t, "share")), Slots: registrar.Slots(rapid.IntRange(1, 64).Draw(t, "slots"))}
		}), 1, 20).Draw(t, "upstreams")
		threshold := Threshold(all)
		var sum, remaining float64
		for _, u := range all {
			sum += float64(u.Slots)
			if u.Share <= threshold {
				remaining += float64(u.Slots)
			}
		}
		require.GreaterOrEqual(t, remaining, baselineSlots*sum)
	})
}

// TestRecovery guards against an upstream that is probed too rarely to get its share again, against failures that never end because
// nothing probes it, and against probes of a silent upstream that follow each other as fast as those of one that answers.
func TestRecovery(t *testing.T) {
	var o Outcomes
	for range 40 {
		o.RecordFailure(start)
	}
	require.Greater(t, o.Share(start), carrier.FailureShare(250))
	require.Zero(t, o.Share(start.Add(outcomeLifetime+time.Nanosecond)))

	require.True(t, o.StartProbe(start))
	require.False(t, o.StartProbe(start))
	o.RecordSilence(start)
	require.False(t, o.ProbeDue(start.Add(probeInterval)))
	require.True(t, o.StartProbe(start.Add(unansweredProbeInterval)))
	now := start.Add(unansweredProbeInterval)
	o.RecordFailure(now)
	require.False(t, o.ProbeDue(now))
	require.True(t, o.ProbeDue(now.Add(probeInterval)))

	probes := 0
	for ; o.Share(now) > Threshold([]Upstream{{Slots: 1}}); probes++ {
		now = now.Add(time.Millisecond)
		if probes == 0 {
			now = now.Add(probeInterval)
		}
		require.True(t, o.StartProbe(now))
		o.RecordSuccess(now)
	}
	require.LessOrEqual(t, probes, 13)
}
