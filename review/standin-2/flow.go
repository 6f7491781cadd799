package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// flowCount is the number of long flows in a case.
	flowCount = 8
	// openLimit is how long the flows may take to open.
	openLimit = 5 * time.Second
	// The last request of a flow has lastRequestSize bytes, which are 16 packets with its head, as many as an end may have in flight. Its
	// requester gives up after lastRequestBudget.
	lastRequestSize   = 19_000
	lastRequestBudget = 10 * time.Second
)

// openMany opens long flows with one request each until flowCount of them are wanted, and ends the others.
func (q *requester) openMany(wanted func(f *clientFlow) bool) ([]*clientFlow, error) {
	var all []*clientFlow
	begun := time.Now()
	for i := 0; len(all) < flowCount; i++ {
		if time.Since(begun) > openLimit {
			return nil, fmt.Errorf("%w: flows do not open", errSetup)
		}
		f := q.open(stockRoute)
		switch {
		case f == nil:
		case f.request(fmt.Sprintf("r-first-%d", i), 900, 3*time.Second) != "" && wanted(f):
			all = append(all, f)
		default:
			f.close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return all, nil
}

// requestAll sends a request on each flow at the same time and returns how many were answered.
func requestAll(all []*clientFlow, id string, size int, budget time.Duration) int {
	var wg sync.WaitGroup
	answered := make([]string, len(all))
	for i, f := range all {
		wg.Go(func() { answered[i] = f.request(fmt.Sprint(id, "-", i), size, budget) })
	}
	wg.Wait()
	return len(all) - len(slices.DeleteFunc(answered, func(a string) bool { return a != "" }))
}

// judgeFlows checks the rule FLOW for flows of one server.
func judgeFlows(all []*clientFlow, own *server, others []*server, since time.Time) error {
	var err error
	for _, f := range all {
		recordStrays(f, append([]*server{own}, others...))
		err = errors.Join(err, judgeFlow(f, own, others, since))
	}
	return err
}

// judgeFlow checks the rule FLOW for an open flow whose server lives undisturbed since a time: the requester gets no reset that the server did
// not send, and there is no span of flowTime in which three or more different packets of the flow reach other servers and none its own.
func judgeFlow(f *clientFlow, own *server, others []*server, since time.Time) error {
	if f.resets > 0 {
		return fmt.Errorf("%w: FLOW (a): the requester got a reset that the server of the flow did not send", errBroken)
	}
	ownArrivals := own.arrivalsOf(f.key)
	var strays []arrival
	for _, o := range others {
		strays = append(strays, o.arrivalsOf(f.key)...)
	}
	slices.SortFunc(strays, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, first := range strays {
		end := first.at.Add(flowTime)
		if first.at.Before(since) || time.Now().Before(end) {
			continue
		}
		reachedOwn := slices.ContainsFunc(ownArrivals, func(a arrival) bool { return !a.at.Before(first.at) && !a.at.After(end) })
		packets := map[string]bool{}
		for _, a := range strays {
			if !a.at.Before(first.at) && !a.at.After(end) {
				packets[fmt.Sprint(a.seq, "/", a.size)] = true
			}
		}
		if !reachedOwn && len(packets) >= 3 {
			return fmt.Errorf("%w: FLOW (b): %d different packets of the open flow %v reached other servers within %v, and none its own, %s",
				errBroken, len(packets), f.key, flowTime, own.id)
		}
	}
	return nil
}

// recordStrays records the packets of a flow that reached servers.
func recordStrays(f *clientFlow, all []*server) {
	for _, s := range all {
		for _, a := range s.arrivalsOf(f.key) {
			f.r.rec.add("arrival at server %s at %.3f s: seq %d, %d bytes of data, held: %v", a.server, a.at.Sub(f.r.rec.started).Seconds(), a.seq, a.size, a.held)
		}
	}
}
