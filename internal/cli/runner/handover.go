package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

const (
	// recoveryInterval is the pause between two rounds of requests for the ledger of the previous process.
	recoveryInterval = 100 * time.Millisecond
	// recoveryRetryRounds is the number of rounds after which an agent that did not answer is asked again.
	recoveryRetryRounds = 5
	// recoveryReadyTimeout is the maximum time after the start for which an agent with unsettled claims reports that it is not
	// ready. Every running agent of the service has answered by then.
	recoveryReadyTimeout = 10 * time.Second
)

// Reasons why a ledger is not handed over.
var (
	errNotSealed = eris.New("ledger is not known to be complete, or too large")
	errNoPeer    = eris.New("no valid lease, or no other agent of the service")
)

// handover transfers the claim ledger from one process of an agent to the next through the other agents of its service.
type handover struct {
	owner    *claimer.Owner
	claims   *connector.Claims
	holder   *claimer.Holder
	recovery *claimer.Recovery
	recorder *recorder.Recorder
}

func newHandover(cfg parser.Agent, n *supervisor.Node, o *claimer.Owner, c *connector.Claims) *handover {
	return &handover{
		owner: o, claims: c, recorder: n.Recorder,
		holder: &claimer.Holder{Service: cfg.Service, Directory: o.Directory, Lease: o.Lease},
		recovery: &claimer.Recovery{
			Request: claimer.Fetch{
				Service: cfg.Service, Machine: cfg.Name, Incarnation: n.Machine.Incarnation, StartedAt: o.StartedAt,
			},
			Owner: o, Directory: o.Directory, Lease: o.Lease,
		},
	}
}

// recoveryPending reports whether the agent is still recovering claims and recoveryReadyTimeout has not passed. Until the
// recovery ends, the owner cannot grant every claim.
func (h *handover) recoveryPending(now time.Time) bool {
	return now.Before(h.owner.StartedAt.Add(recoveryReadyTimeout)) && !h.owner.Settled(now)
}

// recoverLedger requests the ledger of the previous process from the other agents until the owner is settled or ctx ends.
func (h *handover) recoverLedger(ctx context.Context) error {
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	failed := map[claimer.Peer]int{}
	for round := 0; ; round++ {
		if h.fetchLedger(ctx, round, failed) {
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

// fetchLedger requests the ledger from all agents that have not answered, and reports whether it was restored. failed holds the
// round of the last failed request of each agent.
func (h *handover) fetchLedger(ctx context.Context, round int, failed map[claimer.Peer]int) (restored bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range h.recovery.PeersToAsk(time.Now()) {
		mu.Lock()
		failedRound, failedBefore := failed[p]
		mu.Unlock()
		if failedBefore && round < failedRound+recoveryRetryRounds {
			continue
		}
		wg.Go(func() {
			f, err := h.claims.Fetch(ctx, p, h.recovery.Request)
			ok := h.recovery.HandleAnswer(time.Now(), p, f)
			mu.Lock()
			defer mu.Unlock()
			if f.Verdict == claimer.FetchRefused {
				failed[p] = round
			}
			if err != nil && !failedBefore && ctx.Err() == nil {
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

// handOver seals the ledger and transfers it to another agent.
func (h *handover) handOver(ctx context.Context) {
	now := time.Now()
	l, ok := h.owner.Seal(now)
	if !ok {
		h.recorder.Warn(recorder.LedgerNotHandedOver, recorder.Err(errNotSealed))
		return
	}
	b, err := encoder.LedgerToBytes(l)
	if err != nil {
		h.recorder.Warn(recorder.LedgerNotHandedOver, recorder.Err(err))
		return
	}
	q := h.recovery.Request
	o := claimer.Handover{Service: q.Service, Machine: q.Machine, Incarnation: q.Incarnation, SealedAt: now, Ledger: b}
	err = errNoPeer
	for _, p := range h.holders(now) {
		var v claimer.HoldVerdict
		if v, err = h.claims.Hold(ctx, p, o); v == claimer.HoldAccepted {
			h.recorder.Info(recorder.LedgerHandedOver, zap.String("holder", string(p.Machine)),
				zap.Int("requests", len(l.Records)), zap.Int("bytes", len(b)))
			return
		}
		if !v.MayAskAnother() {
			break
		}
	}
	h.recorder.Warn(recorder.LedgerNotHandedOver, recorder.Err(err))
}

// holders returns the agents that may hold the ledger, and none without a valid lease: in that case another process may already
// run under the machine's name and would miss a ledger that is handed over after its recovery.
func (h *handover) holders(now time.Time) []claimer.Peer {
	if !h.owner.Lease.Valid(now) {
		return nil
	}
	return h.owner.Directory.Holders(h.recovery.Request.Machine)
}
