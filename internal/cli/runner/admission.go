package runner

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// clock reads the clock of the operating system.
type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// limiterTimer advances a limiter at the time given to the latest call of SetAlarm.
type limiterTimer struct {
	limiter *limiter.Limiter
	mu      sync.Mutex
	timer   *time.Timer
}

// SetAlarm replaces the time at which the limiter is advanced.
func (a *limiterTimer) SetAlarm(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil {
		a.timer = time.AfterFunc(time.Until(at), func() { a.limiter.Advance(time.Now()) })
		return
	}
	a.timer.Reset(time.Until(at))
}

// coldStartLogger logs cold starts.
type coldStartLogger struct{ *recorder.Recorder }

// ColdStart logs that the limiter assumes a cold start of the upstream.
func (w coldStartLogger) ColdStart(r limiter.Reason) {
	w.Info(recorder.UpstreamCold, zap.String("reason", string(r)))
}

// Warm logs the end of a cold start.
func (w coldStartLogger) Warm() { w.Info(recorder.UpstreamWarm) }

// admission applies each configuration to the limiter and to the directory of claim owners.
type admission struct {
	service   registrar.ServiceName
	upstream  registrar.UpstreamName
	limiter   *limiter.Limiter
	directory *claimer.Directory
	// mu guards withdrawn, which is true if the upstream's zone was withdrawn in the newest configuration.
	mu        sync.Mutex
	withdrawn bool
}

// Update applies a configuration, and treats the upstream as cold when its zone returns to service.
func (a *admission) Update(w *registrar.World) {
	v, ok := w.View(a.service)
	if !ok {
		return
	}
	now := time.Now()
	a.directory.Update(now, v)
	a.limiter.SetPeerWeight(a.peerWeight(v))
	for _, u := range v.Upstreams {
		if u.Name != a.upstream {
			continue
		}
		a.mu.Lock()
		returned := a.withdrawn && !u.ZoneWithdrawn
		a.withdrawn = u.ZoneWithdrawn
		a.mu.Unlock()
		if returned {
			a.limiter.TurnCold(now)
		}
	}
}

// peerWeight returns the median weight per slot of the service's other upstreams that have been measured, or 0 without
// any.
func (a *admission) peerWeight(v registrar.ServiceView) registrar.Weight {
	var weights []registrar.Weight
	for _, u := range v.Upstreams {
		if u.Name == a.upstream || u.Silent || u.Slots == 0 {
			continue
		}
		if w := u.Weight / registrar.Weight(u.Slots); w != limiter.UnmeasuredWeight {
			weights = append(weights, w)
		}
	}
	if len(weights) == 0 {
		return 0
	}
	slices.Sort(weights)
	return weights[len(weights)/2]
}
