package claimer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// HoldTime is how long after its sealing a ledger is given away. Planned restarts take a few seconds.
	HoldTime = 60 * time.Second
	// guardTime is how long after its start a process that cannot reach all agents of its service promises nothing. No ledger
	// of an earlier process is given away after it, so none can miss what this process grants.
	guardTime = HoldTime + 2*ClockError
	// holderShards and maxHeld bound the ledgers that an agent holds to 8, and their size to 64 MiB.
	holderShards = 4
	maxHeld      = 2
	// maxStarts bounds the starts of machines that a shard remembers.
	maxStarts = 4096
)

// Fetch asks an agent for the ledger of an earlier process of the sender's machine.
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
	// FetchRefused says nothing about ledgers.
	FetchRefused FetchVerdict = iota
	// FetchNone means that the agent holds no ledger of an earlier process and will accept none.
	FetchNone
	// FetchGiven comes with the ledger, which the agent no longer holds.
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

// start is the newest process of a machine that has asked for a ledger.
type start struct {
	incarnation registrar.Incarnation
	startedAt   time.Time
	expireAt    time.Time
}

type holderShard struct {
	mu     sync.Mutex
	held   map[registrar.MachineName]Handover
	starts map[registrar.MachineName]start
	closed bool
}

// Holder holds sealed ledgers of other agents of its service. A ledger leaves it with the first question of its machine,
// before the answer is sent, so that it is never given away twice; if the answer is lost, so is the ledger. The exported fields
// are set before first use.
type Holder struct {
	Service   registrar.ServiceName
	Directory *Directory
	Lease     Lease
	shards    [holderShards]holderShard
}

func (h *Holder) shard(m registrar.MachineName) *holderShard {
	s := &h.shards[xxhash.Sum64String(string(m))%holderShards]
	s.mu.Lock()
	if s.held == nil {
		s.held, s.starts = map[registrar.MachineName]Handover{}, map[registrar.MachineName]start{}
	}
	return s
}

// Hold takes a ledger and reports whether it was accepted. A ledger sealed by a process that a later one has followed is
// refused, because the later one has been told that there is none.
func (h *Holder) Hold(now time.Time, o Handover) bool {
	s := h.shard(o.Machine)
	defer s.mu.Unlock()
	s.expire(now)
	_, replaces := s.held[o.Machine]
	next, followed := s.starts[o.Machine]
	switch {
	case s.closed, o.Service != h.Service, !h.Lease.Valid(now), len(o.Ledger) > MaxLedger, expired(now, o):
		return false
	case followed && next.incarnation != o.Incarnation, !replaces && len(s.held) >= maxHeld:
		return false
	}
	s.held[o.Machine] = o
	return true
}

// Fetch answers the question for a ledger.
func (h *Holder) Fetch(now time.Time, f Fetch) Fetched {
	if f.Service != h.Service || !h.Lease.Valid(now) {
		return Fetched{}
	}
	s := h.shard(f.Machine)
	defer s.mu.Unlock()
	s.expire(now)
	if !s.follow(now, f) {
		return Fetched{}
	}
	o, ok := s.held[f.Machine]
	delete(s.held, f.Machine)
	// A ledger sealed after the start of the asking process belongs to no process before it.
	if !ok || o.Incarnation == f.Incarnation || o.SealedAt.After(f.StartedAt.Add(ClockError)) {
		return Fetched{Verdict: FetchNone}
	}
	return Fetched{Verdict: FetchGiven, Handover: &o, History: h.Directory.History()}
}

// follow notes the newest process of a machine. It returns false if a newer one is known, or if there is no room.
func (s *holderShard) follow(now time.Time, f Fetch) bool {
	old, known := s.starts[f.Machine]
	if known && old.incarnation != f.Incarnation && !f.StartedAt.After(old.startedAt) || !known && len(s.starts) >= maxStarts {
		return false
	}
	s.starts[f.Machine] = start{f.Incarnation, f.StartedAt, now.Add(guardTime)}
	return true
}

func expired(now time.Time, o Handover) bool { return now.After(o.SealedAt.Add(HoldTime)) }

// expire forgets ledgers that are too old, and starts that are older than any ledger which would be accepted.
func (s *holderShard) expire(now time.Time) {
	for name, o := range s.held {
		if expired(now, o) {
			delete(s.held, name)
		}
	}
	for name, p := range s.starts {
		if now.After(p.expireAt) {
			delete(s.starts, name)
		}
	}
}

// Expire forgets ledgers that are too old.
func (h *Holder) Expire(now time.Time) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.expire(now)
		s.mu.Unlock()
	}
}

// Close makes the holder refuse further ledgers, since the agent is about to end.
func (h *Holder) Close() {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
	}
}
