package main

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

const (
	coldRate   = 2.0
	coldFactor = 1.5
	coldSlack  = 5.0
	coldTime   = 2 * time.Second
	// coldWork is the work of a request.
	coldWork = 25 * time.Millisecond
	// killAfter is the time from the start of a server to the end of its agent.
	killAfter = 650 * time.Millisecond
	// openRate is the new flows per second of the requesters of each zone.
	openRate = 125
)

// coldAgent: new servers start one after the other while requesters send, as in a release, and are cold. The agent beside each is
// killed and is back within a second.
func coldAgent(sys *system, trouble bool) ([]string, error) {
	d, err := newDeployment(sys, coldRate, coldWork)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var callers []*caller
	for i, z := range zones {
		c, err := startCaller(sys, d.router, 99+i, z)
		if err != nil {
			return nil, err
		}
		callers = append(callers, c)
		wg.Go(func() { c.openSteadily(openRate, stop, &wg) })
	}
	time.Sleep(5 * time.Second)
	var broken []string
	for round := range 6 {
		n := 41 + round
		if err := d.startServer(n, orderDesk, zones[round%len(zones)], coldTime, coldWork); err != nil {
			return nil, err
		}
		time.Sleep(killAfter)
		if trouble {
			sys.kill(fmt.Sprint("side-", n))
		}
		time.Sleep(contactTime)
		broken = append(broken, d.serverAt(n).overloadedWhileCold(callers)...)
	}
	close(stop)
	wg.Wait()
	return broken, nil
}

// openSteadily opens a number of flows a second, with one request each, until stop is closed.
func (c *caller) openSteadily(rate int, stop chan struct{}, wg *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		wg.Go(func() {
			f := c.newFlow(orderAddress)
			c.noteSent(f.key)
			if f.open() {
				f.request(fmt.Sprint(c.zone, "-", n), smallBody, requestBudget)
			}
			f.end()
		})
	}
}

// noteSent notes when the requester sends the first opening packet of a flow.
func (c *caller) noteSent(key flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt == nil {
		c.sentAt = map[flowKey]time.Time{}
	}
	c.sentAt[key] = time.Now()
}

// overloadedWhileCold returns the seconds in which the cold server got more requests than it bears. A request counts by the opening
// packet that the server took first, and only if it was also sent within that second.
func (s *server) overloadedWhileCold(callers []*caller) []string {
	limit := int(math.Floor(coldRate*coldFactor + coldSlack))
	type request struct{ sent, arrived time.Time }
	var all []request
	seen := map[flowKey]bool{}
	for _, a := range s.seen() {
		if !a.opens || seen[a.flow] || a.at.After(s.born.Add(s.cold)) {
			continue
		}
		seen[a.flow] = true
		for _, c := range callers {
			c.mu.Lock()
			sent, ok := c.sentAt[a.flow]
			c.mu.Unlock()
			if ok {
				all = append(all, request{sent, a.at})
				s.sys.rec.add("server %s, cold: flow %s, sent at %.4f, arrived at %.4f", s.id, a.flow.requester, s.sys.rec.at(sent), s.sys.rec.at(a.at))
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].arrived.Before(all[j].arrived) })
	most := 0
	var at time.Time
	for _, first := range all {
		n := 0
		for _, r := range all {
			if !r.sent.Before(first.sent) && r.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	s.sys.rec.say("server %s: at most %d requests in one second while cold, allowed are %d", s.id, most, limit)
	if most <= limit {
		return nil
	}
	return []string{fmt.Sprintf("cold server %s got %d requests in the second from %.4f, allowed are %d", s.id, most, s.sys.rec.at(at), limit)}
}
