package locator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

// holding is what is known of a flow at one upstream.
type holding byte

const (
	// unasked means that the agent has not answered.
	unasked holding = iota
	// unknown means that the agent does not know, and that its upstream has not been asked.
	unknown
	// undecided means that the upstream has neither answered a packet of the flow nor sent it back.
	undecided
	// held means that the agent says that its upstream holds the flow.
	held
	// absent means that the agent says that its upstream does not hold the flow.
	absent
	// returned means that the upstream itself does not hold the flow.
	returned
	holdingCount
)

// none is no index of an agent.
const none = -1

// lookup is the search for the upstream that holds one flow. The lock of its shard guards it.
type lookup struct {
	generation uint32
	// packet is the first packet. The answers are only valid for packets with its acknowledged sequence number.
	packet    Packet
	startedAt time.Time
	// progressAt is the time of the newest answer or return that changed what is known.
	progressAt time.Time
	// rounds counts the questions to the agents that have not answered, and askAt is when the next one is due. askedOut is true once
	// agents have not answered any of maxRounds questions.
	rounds   int
	askAt    time.Time
	askedOut bool
	// candidates are the upstreams at the newest decision, and holdings has one element for each of their agents.
	candidates Candidates
	holdings   []holding
	// counts holds the number of holdings of each value.
	counts [holdingCount]int
	// accounted is the number of answers that the shard counts for the lookup.
	accounted int
	// holderIndex is the agent that gets packets while its holding is held.
	holderIndex int
	// passedTo is the agent that has got a packet of the flow because it does not know the flow, or none. It has time until passedUntil.
	passedTo    int
	passedUntil time.Time
	// kept is the newest packet of the caller, or nil.
	kept             []byte
	keptAwaitsAnswer bool
	keptAt           time.Time
	// counted is true once the result is counted.
	counted bool
	// settled is true once no upstream of candidates can hold the flow. That is final, since flows never move.
	settled bool
}

// outdated reports whether a packet needs a new lookup: the answers are too old, or the packet is not of the same flow or of a flow that
// has since had an answer. Addresses and ports are used again, and an answer about an earlier flow proves nothing about a later one.
func (lk *lookup) outdated(now time.Time, p Packet) bool {
	return lk.expired(now) || p.Acknowledged != lk.packet.Acknowledged ||
		int32(p.Sequence-lk.packet.Sequence) < 0
}

func (lk *lookup) expired(now time.Time) bool {
	if lk.settled {
		return now.Sub(lk.startedAt) > settledLifetime
	}
	return now.Sub(lk.progressAt) > answerLifetime || now.Sub(lk.startedAt) > maxLookupTime
}

func (lk *lookup) decision(now time.Time, v Verdict) Decision {
	return Decision{Verdict: v, Asked: len(lk.holdings), Elapsed: now.Sub(lk.startedAt)}
}

// set changes what is known of the flow at an upstream.
func (lk *lookup) set(now time.Time, i int, h holding) {
	if h != lk.holdings[i] && h != undecided {
		lk.progressAt = now
	}
	lk.counts[lk.holdings[i]]--
	lk.counts[h]++
	lk.holdings[i] = h
}

// gone returns the number of upstreams that do not hold the flow.
func (lk *lookup) gone() int { return lk.counts[absent] + lk.counts[returned] }

// follow makes the lookup cover the upstreams of the newest configuration. Answers of unchanged upstreams are kept; new ones are asked
// like the others.
func (lk *lookup) follow(now time.Time, c Candidates) {
	if lk.candidates == c {
		return
	}
	old := lk.candidates.Agents()
	known := make(map[Agent]holding, len(old))
	for i, a := range old {
		known[a] = lk.holdings[i]
	}
	agents := c.Agents()
	holdings, counts := make([]holding, len(agents)), [holdingCount]int{}
	passedTo, hasNew := none, false
	for i, a := range agents {
		h, found := known[a]
		holdings[i], hasNew = h, hasNew || !found
		counts[h]++
		if lk.passedTo != none && a == old[lk.passedTo] {
			passedTo = i
		}
	}
	lk.candidates, lk.holdings, lk.counts, lk.passedTo = c, holdings, counts, passedTo
	if hasNew {
		lk.rounds, lk.askAt, lk.askedOut = 0, now, false
		if lk.settled {
			lk.settled, lk.startedAt, lk.progressAt = false, now, now
		}
	}
}

// askAgain makes the caller's next packet ask for what is missing: agents that have not answered the last question, and upstreams that
// were undecided.
func (lk *lookup) askAgain(now time.Time) {
	if lk.settled {
		return
	}
	if lk.counts[unasked] > 0 && lk.rounds >= maxRounds && !now.Before(lk.askAt) {
		lk.rounds, lk.askAt, lk.askedOut = 0, now, true
	}
	if lk.counts[undecided] == 0 || lk.counts[unknown] > 0 || lk.passedTo != none {
		return
	}
	for i, h := range lk.holdings {
		if h == undecided {
			lk.set(lk.progressAt, i, unknown)
		}
	}
}

// applyAnswer applies the answer of an agent at an address.
func (lk *lookup) applyAnswer(now time.Time, from netip.AddrPort, service carrier.ServiceTag, answer carrier.Holding) {
	agents := lk.candidates.Agents()
	for _, i := range lk.candidates.At(from) {
		h := lk.holdings[i]
		switch {
		case h == returned:
			// The upstream itself knows better than an agent.
		case agents[i].Service != service:
			// The address belongs to an upstream of another service now, so this one has ended.
			lk.set(now, i, absent)
		case answer == carrier.HoldingHeld:
			lk.set(now, i, held)
		case answer == carrier.HoldingAbsent && h != held:
			lk.set(now, i, absent)
		case answer == carrier.HoldingUnknown && h == unasked:
			lk.set(now, i, unknown)
		}
	}
}

// applyReturn applies the return of a packet by an agent that has answered before.
func (lk *lookup) applyReturn(now time.Time, from netip.AddrPort, reason carrier.ReturnReason) {
	for _, i := range lk.candidates.At(from) {
		if lk.passedTo == i {
			lk.passedTo = none
		}
		switch h := lk.holdings[i]; {
		case h == unasked || h == absent || h == returned:
			// An agent that has not answered is of an earlier version, in which the reason does not prove anything.
		case reason == carrier.ReturnUnknownFlow:
			lk.set(now, i, returned)
		default:
			lk.set(now, i, undecided)
		}
	}
}

// holder returns the agent that gets the next packet: one whose upstream holds the flow or, if there is none, the most likely one of those
// that do not know. The latter get a packet one after another, once all agents have had the time to answer.
func (lk *lookup) holder(now time.Time) (int, bool) {
	if lk.counts[held] > 0 {
		if lk.holderIndex >= len(lk.holdings) || lk.holdings[lk.holderIndex] != held {
			lk.holderIndex = slices.Index(lk.holdings, held)
		}
		return lk.holderIndex, true
	}
	if lk.passedTo != none {
		if now.Before(lk.passedUntil) {
			return lk.passedTo, true
		}
		lk.set(now, lk.passedTo, undecided)
		lk.passedTo = none
	}
	if lk.counts[unknown] == 0 || lk.counts[unasked] > 0 && lk.rounds < 2 && (lk.rounds == 0 || now.Before(lk.askAt)) {
		return none, false
	}
	best, bestRank := none, uint64(0)
	for i, h := range lk.holdings {
		if h != unknown {
			continue
		}
		if r := lk.candidates.Rank(lk.packet.Flow, i); best == none || r > bestRank {
			best, bestRank = i, r
		}
	}
	lk.passedTo, lk.passedUntil = best, now.Add(passTimeout)
	return best, true
}

// inProgress reports whether agents may still answer.
func (lk *lookup) inProgress(now time.Time) bool {
	return lk.counts[unasked] > 0 && (lk.rounds < maxRounds || now.Before(lk.askAt))
}

// absentEverywhere reports whether no upstream can hold the flow. Upstreams that count as ended need not answer, but are asked first unless
// they have stopped for certain.
func (lk *lookup) absentEverywhere(now time.Time, c Candidates) bool {
	if lk.gone()+lk.counts[unasked] < len(lk.holdings) {
		return false
	}
	askedAll := lk.askedOut || !lk.inProgress(now)
	for i, h := range lk.holdings {
		if h == unasked && !c.Stopped(now, i) && !(askedAll && c.Ended(now, i)) {
			return false
		}
	}
	return true
}
