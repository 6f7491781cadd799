package claimer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// HoldTime is how long after it was sealed a ledger is handed out. Planned restarts take a few seconds.
	HoldTime = 60 * time.Second
	// abstainTime is how long after its start a process abstains if it cannot reach all agents of its service. No ledger of an
	// earlier process is handed out later, so none can lack a claim that this process grants.
	abstainTime = HoldTime + 2*ClockError
	// holderShards and maxLedgersPerShard bound the ledgers that an agent holds to 8, and their total size to 64 MiB.
	holderShards       = 4
	maxLedgersPerShard = 2
	// maxProcessesPerShard bounds the machines whose newest process a shard remembers.
	maxProcessesPerShard = 4096
)

// Fetch is a request for the ledger of an earlier process of the sender's machine.
type Fetch struct {
	Service     registrar.ServiceName
	Machine     registrar.MachineName
	Incarnation registrar.Incarnation
	StartedAt   time.Time
}

// FetchVerdict is the kind of answer to a Fetch.
type FetchVerdict uint8

// The kinds of answers.
const (
	// FetchRefused means that the agent does not tell whether it holds a ledger.
	FetchRefused FetchVerdict = iota
	// FetchNone means that the agent holds no ledger of an earlier process and will accept none.
	FetchNone
	// FetchGiven means that the answer contains the ledger, which the agent no longer holds.
	FetchGiven
)

// Fetched is the answer to a Fetch.
type Fetched struct {
	Verdict FetchVerdict
	// Handover and History are set for FetchGiven.
	Handover *Handover
	History  *History
	// Ledger is the decoded ledger; nil if this version cannot decode it.
	Ledger *Ledger
}

// fetchingProcess is the newest process of a machine that has asked for a ledger.
type fetchingProcess struct {
	incarnation registrar.Incarnation
	startedAt   time.Time
	expireAt    time.Time
}

type holderShard struct {
	mu              sync.Mutex
	ledgers         map[registrar.MachineName]Handover
	newestProcesses map[registrar.MachineName]fetchingProcess
	closed          bool
}

// Holder holds sealed ledgers of other agents of its service. It removes a ledger at the first Fetch of its machine, before the
// answer is sent, so that no ledger is handed out twice; if the answer is lost, the ledger is lost too. The exported fields are
// set before first use.
type Holder struct {
	Service   registrar.ServiceName
	Directory *Directory
	Lease     Lease
	shards    [holderShards]holderShard
}

func (h *Holder) shard(m registrar.MachineName) *holderShard {
	s := &h.shards[xxhash.Sum64String(string(m))%holderShards]
	s.mu.Lock()
	if s.ledgers == nil {
		s.ledgers, s.newestProcesses = map[registrar.MachineName]Handover{}, map[registrar.MachineName]fetchingProcess{}
	}
	return s
}

// Hold stores a ledger and reports whether it was accepted. It refuses the ledger of a process if a later process of the machine
// has asked for a ledger, because that process was told that there is none.
func (h *Holder) Hold(now time.Time, handover Handover) bool {
	s := h.shard(handover.Machine)
	defer s.mu.Unlock()
	s.removeExpired(now)
	_, holdsLedger := s.ledgers[handover.Machine]
	newestProcess, hasFetched := s.newestProcesses[handover.Machine]
	switch {
	case s.closed, handover.Service != h.Service, !h.Lease.Valid(now), len(handover.Ledger) > MaxLedger, expired(now, handover):
		return false
	case hasFetched && newestProcess.incarnation != handover.Incarnation, !holdsLedger && len(s.ledgers) >= maxLedgersPerShard:
		return false
	}
	s.ledgers[handover.Machine] = handover
	return true
}

// Fetch answers a request for a ledger.
func (h *Holder) Fetch(now time.Time, f Fetch) Fetched {
	if f.Service != h.Service || !h.Lease.Valid(now) {
		return Fetched{}
	}
	s := h.shard(f.Machine)
	defer s.mu.Unlock()
	s.removeExpired(now)
	if !s.recordProcess(now, f) {
		return Fetched{}
	}
	handover, ok := s.ledgers[f.Machine]
	delete(s.ledgers, f.Machine)
	// A ledger that was sealed after the requesting process started does not come from an earlier process.
	if !ok || handover.Incarnation == f.Incarnation || handover.SealedAt.After(f.StartedAt.Add(ClockError)) {
		return Fetched{Verdict: FetchNone}
	}
	return Fetched{Verdict: FetchGiven, Handover: &handover, History: h.Directory.History()}
}

// recordProcess records the newest process of a machine. It returns false if a newer process is known, or if the shard is full.
func (s *holderShard) recordProcess(now time.Time, f Fetch) bool {
	previous, known := s.newestProcesses[f.Machine]
	if known && previous.incarnation != f.Incarnation && !f.StartedAt.After(previous.startedAt) || !known && len(s.newestProcesses) >= maxProcessesPerShard {
		return false
	}
	s.newestProcesses[f.Machine] = fetchingProcess{f.Incarnation, f.StartedAt, now.Add(abstainTime)}
	return true
}

func expired(now time.Time, handover Handover) bool {
	return now.After(handover.SealedAt.Add(HoldTime))
}

// removeExpired removes expired ledgers, and processes that are older than any ledger that would be accepted.
func (s *holderShard) removeExpired(now time.Time) {
	for machine, handover := range s.ledgers {
		if expired(now, handover) {
			delete(s.ledgers, machine)
		}
	}
	for machine, process := range s.newestProcesses {
		if now.After(process.expireAt) {
			delete(s.newestProcesses, machine)
		}
	}
}

// Expire removes expired ledgers.
func (h *Holder) Expire(now time.Time) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.removeExpired(now)
		s.mu.Unlock()
	}
}

// Close makes the holder refuse further ledgers, because the agent is about to stop.
func (h *Holder) Close() {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
	}
}
