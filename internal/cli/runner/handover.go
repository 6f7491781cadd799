package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

const (
	// recoverInterval is the wait between two rounds of questions for the ledger of the process before.
	recoverInterval = 100 * time.Millisecond
	// retryRounds is the number of rounds after which an agent that did not answer is asked again.
	retryRounds = 5
	// recoverReady is how long after its start an agent is not ready while its claims are not settled. Each agent of the
	// service that works has answered by then.
	recoverReady = 10 * time.Second
)

// Reasons why a ledger is not handed over.
var (
	errNotSealed = eris.New("ledger is not known to be complete, or too large")
	errNoPeer    = eris.New("no valid lease, or no other agent of the service")
)

// handover carries claim ledgers between the processes of an agent, by way of the other agents of its service.
type handover struct {
	owner    *claimer.Owner
	claims   *connector.Claims
	holder   *claimer.Holder
	recovery *claimer.Recovery
	recorder *recorder.Recorder
}

func newHandover(cfg parser.Agent, n *node, o *claimer.Owner, c *connector.Claims) *handover {
	return &handover{
		owner: o, claims: c, recorder: n.recorder,
		holder: &claimer.Holder{Service: cfg.Service, Directory: o.Directory, Lease: o.Lease},
		recovery: &claimer.Recovery{
			Question: claimer.Fetch{
				Service: cfg.Service, Machine: cfg.Name, Incarnation: n.machine.Incarnation, StartedAt: o.StartedAt,
			},
			Owner: o, Directory: o.Directory, Lease: o.Lease,
		},
	}
}

// pending reports whether the agent may soon grant more claims than now.
func (h *handover) pending(now time.Time) bool {
	return now.Before(h.owner.StartedAt.Add(recoverReady)) && !h.owner.Settled(now)
}

// recover asks the other agents for the ledger of the process before until the owner is settled or ctx ends.
func (h *handover) recover(ctx context.Context) error {
	ticker := time.NewTicker(recoverInterval)
	defer ticker.Stop()
	failed := map[claimer.Peer]int{}
	for round := 0; ; round++ {
		if h.ask(ctx, round, failed) {
			return nil
		}
		if h.recovery.Settle(time.Now()) {
			h.recorder.Info(recorder.LedgerMissing)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ask asks all agents that have not answered, and reports whether the ledger was restored. failed has the round in which an
// agent last did not answer.
func (h *handover) ask(ctx context.Context, round int, failed map[claimer.Peer]int) (restored bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range h.recovery.Ask(time.Now()) {
		mu.Lock()
		at, known := failed[p]
		mu.Unlock()
		if known && round < at+retryRounds {
			continue
		}
		wg.Go(func() {
			f, err := h.claims.Fetch(ctx, p, h.recovery.Question)
			ok := h.recovery.Heard(time.Now(), p, f)
			mu.Lock()
			defer mu.Unlock()
			if f.Verdict == claimer.FetchRefused {
				failed[p] = round
			}
			if err != nil && !known && ctx.Err() == nil {
				h.recorder.Warn(recorder.FetchFailed, zap.String("agent", string(p.Machine)), recorder.Err(err))
			}
			if ok {
				restored = true
				h.recorder.Info(recorder.LedgerRestored, zap.String("holder", string(p.Machine)),
					zap.Int("requests", len(f.Ledger.Records)), zap.Bool("history", f.History != nil))
			}
		})
	}
	wg.Wait()
	return restored
}

// handOver seals the ledger and hands it over to another agent.
func (h *handover) handOver(ctx context.Context) {
	now := time.Now()
	l, ok := h.owner.Seal(now)
	if !ok {
		h.recorder.Warn(recorder.LedgerNotHeld, recorder.Err(errNotSealed))
		return
	}
	b, err := encoder.LedgerToBytes(l)
	if err != nil {
		h.recorder.Warn(recorder.LedgerNotHeld, recorder.Err(err))
		return
	}
	q := h.recovery.Question
	o := claimer.Handover{Service: q.Service, Machine: q.Machine, Incarnation: q.Incarnation, SealedAt: now, Ledger: b}
	err = errNoPeer
	for _, p := range h.holders(now) {
		var v claimer.HoldVerdict
		if v, err = h.claims.Hold(ctx, p, o); v == claimer.HoldAccepted {
			h.recorder.Info(recorder.LedgerHeld, zap.String("holder", string(p.Machine)),
				zap.Int("requests", len(l.Records)), zap.Int("bytes", len(b)))
			return
		}
		if !v.Another() {
			break
		}
	}
	h.recorder.Warn(recorder.LedgerNotHeld, recorder.Err(err))
}

// holders returns the agents that may hold the ledger. Without a valid lease another process may have taken the machine's
// name, and it would not learn of a ledger that is handed over after its own search.
func (h *handover) holders(now time.Time) []claimer.Peer {
	if !h.owner.Lease.Valid(now) {
		return nil
	}
	return h.owner.Directory.Holders(h.recovery.Question.Machine)
}
