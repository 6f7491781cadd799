// Package locator decides, at an entry, which upstream holds a flow that the entry has no record of, and whether a flow is provably lost.
// It asks the agents of all upstreams that may hold the flow at the same time.
//
// The proof rests on one property: a caller sends packets other than opening ones only after an upstream has accepted its flow, and a flow
// never moves. An upstream that does not hold the flow after such a packet has arrived will therefore never hold it.
package locator

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	shardCount = 16
	// maxLookups bounds the lookups of a shard. Packets of flows beyond it are dropped; their callers send them again.
	maxLookups = 512
	// maxAnswers bounds the answers that the lookups of a shard hold, of one byte each.
	maxAnswers = 512 << 10
	// answerLifetime is how long a lookup and its answers are kept after the newest answer or return. It covers the first three
	// retransmissions of a caller. maxLookupTime bounds the whole lookup: to ask 34 upstreams one after another took more than 2 s on an
	// overloaded machine.
	answerLifetime = 2 * time.Second
	maxLookupTime  = 5 * time.Second
	// settledLifetime is how long a lookup is kept that no upstream can hold the flow of. Callers repeat a packet that ends a flow for some
	// 11 s, and each repetition would be another question to all agents.
	settledLifetime = 12 * time.Second
	// packetLifetime is how long a caller's packet is kept. A reset or a forwarded packet that is later than that would cross the caller's
	// next copy.
	packetLifetime = time.Second
	// repeatAfter is the time after which agents that have not answered are asked again, and maxRounds how often they are asked.
	repeatAfter = 60 * time.Millisecond
	maxRounds   = 3
	// linkShare is the fraction of the entry's link that lookups may use. Load reports have as much, and packets of callers the rest.
	linkShare = 0.2
	// questionWireSize is the size of a question without flows, with its UDP and IPv4 headers, and flowWireSize that of each flow in it, in
	// bytes.
	questionWireSize, flowWireSize = 41, 12
	// passTimeout is how long an agent may take to return a packet or to find the flow at its upstream. Agents return a packet at most
	// 150 ms after the upstream got it.
	passTimeout = 250 * time.Millisecond
)

// Agent is the agent of one upstream.
type Agent struct {
	Address  netip.AddrPort
	Service  carrier.ServiceTag
	Upstream registrar.UpstreamID
}

// Candidates are the upstreams that may hold the flows of a route by one configuration. The agents do not change.
type Candidates interface {
	// Agents returns the agents of the upstreams, each once.
	Agents() []Agent
	// At returns the indexes in Agents of the agents at an address. There are several if upstreams of two services were announced there.
	At(address netip.AddrPort) []int
	// Complete reports whether no other upstream can hold a flow of the route.
	Complete() bool
	// Stopped reports whether an upstream has ended for certain, so that its agent need not be asked. Its index is that in Agents.
	Stopped(now time.Time, index int) bool
	// Ended reports whether an upstream whose agent answers nothing counts as ended.
	Ended(now time.Time, index int) bool
	// Heard reports whether the entry has heard the agent of an upstream recently, so that a lost question is worth a repetition.
	Heard(now time.Time, index int) bool
	// Rank returns the rank of an upstream for a flow; the upstream with the highest one is the most likely holder.
	Rank(flow registrar.Flow, index int) uint64
	// HasRoom reports whether a new flow of the caller would find an upstream that is not cold.
	HasRoom(now time.Time, flow registrar.Flow) bool
}

// Configuration is the configuration that the entry enforces.
type Configuration interface {
	// Candidates returns the upstreams that may hold a flow, or nil if there is no route for it.
	Candidates(flow registrar.Flow) Candidates
	// ConfirmedAt returns a time such that the configuration holds everything that control had confirmed by then.
	ConfirmedAt() time.Time
	// Confirm asks control to confirm the configuration soon. It does not block.
	Confirm(now time.Time)
}

// Packet is a packet of a caller that does not open a flow.
type Packet struct {
	Flow registrar.Flow
	// Sequence and Acknowledged are the sequence numbers in the packet.
	Sequence, Acknowledged uint32
	// AwaitsAnswer is true if the caller waits for an answer to the packet. Only such a packet leads to a reset.
	AwaitsAnswer bool
}

// Verdict is what happens to a packet.
type Verdict byte

// The verdicts.
const (
	// Undecided drops the packet: nothing is proved, or the reset has to wait for room.
	Undecided Verdict = iota
	// Wait keeps the packet while the lookup runs.
	Wait
	// Pass sends the packet to an agent.
	Pass
	// Lost drops the packet and resets its flow.
	Lost
	// Full drops the packet because too many lookups are running.
	Full
)

// Decision is the decision about one packet.
type Decision struct {
	Verdict
	// To is the agent that gets the packet; set for Pass only.
	To Agent
	// Asked is the number of agents that may hold the flow, and Elapsed the time since the first packet of the lookup.
	Asked   int
	Elapsed time.Duration
}

// Kept is a kept packet with the decision about it.
type Kept struct {
	Decision
	Packet []byte
}

// Question is a lookup for one agent.
type Question struct {
	To     Agent
	Lookup carrier.Lookup
}

// Result is the outcome of a lookup.
type Result string

// The results of a lookup.
const (
	ResultHeld      Result = "held"
	ResultLost      Result = "lost"
	ResultUndecided Result = "undecided"
	ResultFull      Result = "full"
)

// Results counts the lookups by result. Lookups that still run are not counted.
type Results struct{ held, lost, undecided, full atomic.Int64 }

// Each calls f with the number of lookups of each result.
func (r *Results) Each(f func(Result, int64)) {
	f(ResultHeld, r.held.Load())
	f(ResultLost, r.lost.Load())
	f(ResultUndecided, r.undecided.Load())
	f(ResultFull, r.full.Load())
}

// shard holds a part of the lookups under its own lock.
type shard struct {
	mu      sync.Mutex
	lookups map[registrar.Flow]*lookup
	// answers is the number of answers that the lookups hold.
	answers int
	// generation is the generation of the newest lookup.
	generation uint32
}

// Locator holds the lookups of an entry. The exported fields are set before first use.
type Locator struct {
	Configuration Configuration
	// Link is the rate of the entry's link, of which lookups use linkShare at most; 0 for no bound.
	Link registrar.Mbps
	// Results is updated when a lookup ends.
	Results Results

	shards    [shardCount]shard
	questions questions
	// running is the number of lookups in all shards.
	running atomic.Int64
	// askAt is the time of the next questions, by the share of the link. Tick has one caller.
	askAt time.Time
}

// New returns a locator. firstID is a random number: an answer to an earlier process of the entry must not be taken for one to this process.
func New(c Configuration, firstID carrier.LookupID) *Locator {
	return &Locator{Configuration: c, questions: questions{nextID: firstID}}
}

func (l *Locator) shard(f registrar.Flow) *shard { return &l.shards[f.Hash()%shardCount] }

// candidates returns the upstreams that may hold a flow now, and the time up to which the configuration is confirmed. The time is read
// first, so that the upstreams are never older than it says.
func (l *Locator) candidates(f registrar.Flow) (c Candidates, confirmedAt time.Time) {
	confirmedAt = l.Configuration.ConfirmedAt()
	return l.Configuration.Candidates(f), confirmedAt
}

// FromCaller decides about a packet of a caller. After Wait, Keep takes the packet.
func (l *Locator) FromCaller(now time.Time, p Packet) Decision {
	c, confirmedAt := l.candidates(p.Flow)
	if c == nil {
		return Decision{}
	}
	sh := l.shard(p.Flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lk := sh.lookups[p.Flow]
	if lk == nil || lk.outdated(now, p) {
		if lk = l.start(now, sh, p, c); lk == nil {
			return Decision{Verdict: Full}
		}
	}
	lk.follow(now, c)
	lk.askAgain(now)
	return l.decide(now, lk, c, confirmedAt, p.AwaitsAnswer)
}

// start starts the lookup for the flow of a packet, in the place of an earlier one. It returns nil if too many are running. The shard
// must be locked.
func (l *Locator) start(now time.Time, sh *shard, p Packet, c Candidates) *lookup {
	l.end(sh, p.Flow)
	n := len(c.Agents())
	if sh.isFull(n) {
		l.endSettled(sh)
	}
	if sh.isFull(n) {
		l.Results.full.Add(1)
		return nil
	}
	if sh.lookups == nil {
		sh.lookups = map[registrar.Flow]*lookup{}
	}
	sh.generation++
	lk := &lookup{
		generation: sh.generation, packet: p, startedAt: now, progressAt: now, askAt: now, candidates: c,
		holdings: make([]holding, n), accounted: n, passedTo: none,
	}
	lk.counts[unasked] = n
	sh.lookups[p.Flow] = lk
	sh.answers += n
	l.running.Add(1)
	return lk
}

// isFull reports whether the shard has no room for a lookup with n answers. The shard must be locked.
func (sh *shard) isFull(n int) bool {
	return len(sh.lookups) >= maxLookups || sh.answers+n > maxAnswers
}

// endSettled removes the settled lookups of a shard, which are only kept to save questions. The shard must be locked.
func (l *Locator) endSettled(sh *shard) {
	for f, lk := range sh.lookups {
		if lk.settled && lk.kept == nil {
			l.end(sh, f)
		}
	}
}

// end removes the lookup for a flow, if there is one. The shard must be locked.
func (l *Locator) end(sh *shard, f registrar.Flow) {
	lk := sh.lookups[f]
	if lk == nil {
		return
	}
	if !lk.counted {
		l.Results.undecided.Add(1)
	}
	delete(sh.lookups, f)
	sh.answers -= lk.accounted
	l.running.Add(-1)
}

// Found ends the lookup for a flow whose upstream is known now.
func (l *Locator) Found(f registrar.Flow) { l.remove(f, true) }

// Forget ends the lookup for a flow that the caller opens anew.
func (l *Locator) Forget(f registrar.Flow) { l.remove(f, false) }

func (l *Locator) remove(f registrar.Flow, found bool) {
	if l.running.Load() == 0 {
		return
	}
	sh := l.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if lk := sh.lookups[f]; lk != nil && found {
		l.count(lk, &l.Results.held)
	}
	l.end(sh, f)
}

// count counts the result of a lookup, once.
func (l *Locator) count(lk *lookup, counter *atomic.Int64) {
	if !lk.counted {
		lk.counted = true
		counter.Add(1)
	}
}

// Keep keeps a copy of a packet for which FromCaller or HandleReturned has returned Wait. A packet whose caller awaits no answer does not
// replace one whose caller does.
func (l *Locator) Keep(now time.Time, p Packet, packet []byte) {
	sh := l.shard(p.Flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lk := sh.lookups[p.Flow]
	if lk == nil || lk.packet.Acknowledged != p.Acknowledged || lk.kept != nil && lk.keptAwaitsAnswer && !p.AwaitsAnswer {
		return
	}
	lk.kept, lk.keptAwaitsAnswer, lk.keptAt = slices.Clone(packet), p.AwaitsAnswer, now
}

// HandleReturned decides about a packet that an agent has returned during a lookup.
func (l *Locator) HandleReturned(now time.Time, from netip.AddrPort, reason carrier.ReturnReason, p Packet) Decision {
	c, confirmedAt := l.candidates(p.Flow)
	if c == nil {
		return Decision{}
	}
	sh := l.shard(p.Flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lk := sh.lookups[p.Flow]
	if lk == nil {
		// Another agent has said that its upstream holds the flow, or the lookup has lasted too long.
		if lk = l.start(now, sh, p, c); lk == nil {
			return Decision{Verdict: Full}
		}
	}
	if lk.packet.Acknowledged != p.Acknowledged {
		// The lookup is one for a later flow between the same addresses.
		return Decision{}
	}
	lk.follow(now, c)
	lk.applyReturn(now, from, reason)
	if lk.passedTo != none {
		// Another packet of the flow is at another agent.
		return Decision{}
	}
	return l.decide(now, lk, c, confirmedAt, p.AwaitsAnswer)
}

// HandleAnswer applies the answer of an agent. service is the service of the agent's upstream. It returns the kept packets that are
// decided now.
func (l *Locator) HandleAnswer(now time.Time, from netip.AddrPort, service carrier.ServiceTag, a carrier.LookupAnswer) []Kept {
	asked := l.questions.asked(a.ID)
	if len(asked) != len(a.Holdings) {
		return nil
	}
	var decided []Kept
	for i, q := range asked {
		c, confirmedAt := l.candidates(q.flow)
		if c == nil {
			continue
		}
		if k, ok := l.applyAnswer(now, q, c, confirmedAt, from, service, a.Holdings[i]); ok {
			decided = append(decided, k)
		}
	}
	return decided
}

func (l *Locator) applyAnswer(now time.Time, q askedFlow, c Candidates, confirmedAt time.Time, from netip.AddrPort,
	service carrier.ServiceTag, answer carrier.Holding,
) (Kept, bool) {
	sh := l.shard(q.flow)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lk := sh.lookups[q.flow]
	if lk == nil || lk.generation != q.generation {
		return Kept{}, false
	}
	lk.follow(now, c)
	lk.applyAnswer(now, from, service, answer)
	lk.settled = lk.absentEverywhere(now, c)
	return l.decideKept(now, lk, c, confirmedAt)
}

// decideKept decides about the kept packet of a lookup. It returns false if there is none or if it is kept on. The shard must be locked.
func (l *Locator) decideKept(now time.Time, lk *lookup, c Candidates, confirmedAt time.Time) (Kept, bool) {
	if lk.kept == nil {
		return Kept{}, false
	}
	if now.Sub(lk.keptAt) > packetLifetime {
		k := Kept{Decision: lk.decision(now, Undecided), Packet: lk.kept}
		lk.kept = nil
		return k, true
	}
	d := l.decide(now, lk, c, confirmedAt, lk.keptAwaitsAnswer)
	if d.Verdict == Wait {
		return Kept{}, false
	}
	k := Kept{Decision: d, Packet: lk.kept}
	lk.kept = nil
	return k, true
}

// decide decides about a packet of a lookup that follows the given upstreams. The shard must be locked.
func (l *Locator) decide(now time.Time, lk *lookup, c Candidates, confirmedAt time.Time, awaitsAnswer bool) Decision {
	if i, found := lk.holder(now); found {
		if lk.holdings[i] == held {
			l.count(lk, &l.Results.held)
		}
		d := lk.decision(now, Pass)
		d.To = c.Agents()[i]
		return d
	}
	lk.settled = lk.absentEverywhere(now, c)
	switch {
	case !lk.settled:
		if lk.inProgress(now) {
			return lk.decision(now, Wait)
		}
		return lk.decision(now, Undecided)
	case !c.Complete() || !awaitsAnswer:
		return lk.decision(now, Undecided)
	case !confirmedAt.After(lk.startedAt):
		// An upstream that was added to the configuration before the flow was opened may still be missing here.
		l.Configuration.Confirm(now)
		return lk.decision(now, Wait)
	case !c.HasRoom(now, lk.packet.Flow):
		return lk.decision(now, Wait)
	}
	l.count(lk, &l.Results.lost)
	return lk.decision(now, Lost)
}

// Tick returns the questions that are due and the kept packets that are decided now, and ends lookups that have run for too long. The
// front end calls it every 10 ms, which is the time over which flows are put into one lookup.
func (l *Locator) Tick(now time.Time) (due []Question, decided []Kept) {
	if l.running.Load() == 0 {
		return nil, nil
	}
	l.questions.expire(now)
	b := batch{now: now, closed: now.Before(l.askAt)}
	for i := range l.shards {
		decided = append(decided, l.tickShard(now, &l.shards[i], &b)...)
	}
	due = l.questions.add(now, &b)
	l.askAt = now.Add(l.sendTime(due))
	return due, decided
}

// sendTime returns the time that questions take on the share of the link for lookups. Without that bound the lookups after a loss of power
// fill a narrow link, so that neither reports nor heartbeats pass.
func (l *Locator) sendTime(due []Question) time.Duration {
	if l.Link <= 0 {
		return 0
	}
	size := 0
	for _, q := range due {
		size += questionWireSize + len(q.Lookup.Flows)*flowWireSize
	}
	return time.Duration(float64(size) / (linkShare * l.Link.BytesPerSecond()) * float64(time.Second))
}

func (l *Locator) tickShard(now time.Time, sh *shard, b *batch) (decided []Kept) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for f, lk := range sh.lookups {
		c, confirmedAt := l.candidates(f)
		if c == nil || lk.expired(now) {
			l.end(sh, f)
			continue
		}
		lk.follow(now, c)
		if !now.Before(lk.askAt) && lk.counts[unasked] > 0 && lk.rounds < maxRounds && b.addLookup(f, lk) {
			lk.rounds++
			lk.askAt = now.Add(repeatAfter)
		}
		if k, ok := l.decideKept(now, lk, c, confirmedAt); ok {
			decided = append(decided, k)
		}
	}
	return decided
}
