package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// batchDelay is how long announcements are collected. When a zone comes back, its agents announce themselves within a
	// heartbeat interval of 500 ms, so five log entries carry all announcements.
	batchDelay = 100 * time.Millisecond
	// batchSize is the maximum number of machines in one log entry, which then takes about 100 KB.
	batchSize = 256
	// systemProposeTimeout bounds the proposal of a change that no operator requested. Facts that could not be written are
	// announced again with the next heartbeat.
	systemProposeTimeout = 2 * time.Second
)

// announcer collects the announcements of nodes and writes them to the log in batches. The exported fields are set before Run.
type announcer struct {
	Log      administrator.Log
	Recorder *recorder.Recorder

	mu sync.Mutex
	// queued holds the newest facts of each machine; order lists the machines in the order of their first queued announcement.
	queued map[registrar.MachineName]planner.Facts
	order  []registrar.MachineName
	wake   chan struct{}
}

func newAnnouncer(log administrator.Log, rec *recorder.Recorder) *announcer {
	return &announcer{
		Log: log, Recorder: rec, queued: map[registrar.MachineName]planner.Facts{}, wake: make(chan struct{}, 1),
	}
}

// Announce queues the facts of a machine and replaces those that are still queued for it.
func (a *announcer) Announce(machine registrar.MachineName, f planner.Facts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.queued[machine]; !ok {
		a.order = append(a.order, machine)
	}
	a.queued[machine] = f
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run proposes the queued facts in batches until ctx ends.
func (a *announcer) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		timer.Reset(batchDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		for machines, f := a.takeBatch(); len(machines) > 0 && ctx.Err() == nil; machines, f = a.takeBatch() {
			a.propose(ctx, machines, f)
		}
	}
}

// takeBatch removes up to batchSize machines from the queue and returns their merged facts.
func (a *announcer) takeBatch() ([]registrar.MachineName, planner.Facts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var f planner.Facts
	machines := a.order[:min(batchSize, len(a.order))]
	a.order = a.order[len(machines):]
	for _, m := range machines {
		f.Add(a.queued[m])
		delete(a.queued, m)
	}
	return machines, f
}

func (a *announcer) propose(ctx context.Context, machines []registrar.MachineName, f planner.Facts) {
	r, err := proposeFacts(ctx, a.Log, f)
	if err != nil {
		a.Recorder.Warn(recorder.ProposalFailed, zap.Int("machines", len(machines)), recorder.Err(err))
		return
	}
	a.Recorder.Info(recorder.AnnouncementsLogged, zap.Int("machines", len(machines)), zap.Uint64("revision", uint64(r.Revision)))
}

// proposeFacts writes observed facts to the log as one entry.
func proposeFacts(ctx context.Context, log administrator.Log, f planner.Facts) (planner.Result, error) {
	var r planner.Result
	entry, err := json.Marshal(planner.Command{Kind: planner.CommandSystem, AtMilli: time.Now().UnixMilli(), Facts: &f})
	if err != nil {
		return r, eris.Wrap(err, "encode facts")
	}
	ctx, cancel := context.WithTimeout(ctx, systemProposeTimeout)
	defer cancel()
	out, err := log.Propose(ctx, entry)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(out, &r); err != nil {
		return r, eris.Wrap(err, "decode result")
	}
	if r.Failure != nil {
		return r, r.Failure
	}
	return r, nil
}
