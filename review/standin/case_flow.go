package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	flowCount     = 240
	requestBudget = 2500 * time.Millisecond
	workTime      = 15 * time.Millisecond
	// strayPackets is how many packets of a flow may not reach other servers within flowTime while none reaches its own.
	strayPackets = 3
	// The bodies of requests in bytes. The job orders of the site have 900 on average and 5,400 at most.
	smallBody, largeBody = 900, 4000
)

// heldFlow is an open flow with the server that holds it.
type heldFlow struct {
	*flow
	owner *server
	entry string
}

// openFlows opens flows to the order route, each with one request, and finds their servers.
func (d *deployment) openFlows(c *caller) ([]*heldFlow, error) {
	flows := make([]*heldFlow, flowCount)
	d.each(flowCount, 6, func(i int) {
		f := c.newFlow(orderAddress)
		entry, _ := d.router.route(f.key, c.zone)
		if !f.open() {
			return
		}
		if _, ok := f.request(fmt.Sprint("first-", i), smallBody, requestBudget); !ok {
			return
		}
		for _, s := range d.servers {
			if s.holds(f.key) {
				flows[i] = &heldFlow{f, s, entry}
			}
		}
	})
	for i, f := range flows {
		if f == nil {
			return nil, fmt.Errorf("%w: flow %d did not open", errSetup, i)
		}
		d.sys.rec.add("flow %s through %s is open at server %s", f.key.requester, f.entry, f.owner.id)
	}
	return flows, nil
}

// each calls f for 0 to n-1 with a number of calls at a time.
func (d *deployment) each(n, parallel int, f func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	wg.Wait()
}

// requestAll sends a request on each flow and returns the number of answers.
func (d *deployment) requestAll(name string, flows []*heldFlow, parallel int) int {
	var mu sync.Mutex
	answered := 0
	d.each(len(flows), parallel, func(i int) {
		id := fmt.Sprint(name, "-", i)
		_, ok := flows[i].request(id, largeBody, requestBudget)
		d.sys.rec.add("request %s on flow %s of server %s: answered %v", id, flows[i].key.requester, flows[i].owner.id, ok)
		mu.Lock()
		defer mu.Unlock()
		if ok {
			answered++
		}
	})
	d.sys.rec.say("%s: %d of %d requests on open flows are answered", name, answered, len(flows))
	return answered
}

// stopEntry stops an entry as planned and waits until the routers have moved its flows.
func (d *deployment) stopEntry(name string) {
	d.sys.stop(name)
	time.Sleep(1700 * time.Millisecond)
}

// strays returns the flows that break the rule on flows: for flowTime, strayPackets packets or more reach another server and none
// reaches their own, which lives. Packets that reach several other servers count once: the server that got most is judged.
func (d *deployment) strays(flows []*heldFlow, opened time.Time) []string {
	arrived := map[flowKey]map[*server][]time.Time{}
	for _, f := range flows {
		arrived[f.key] = map[*server][]time.Time{}
	}
	for _, s := range d.servers {
		for _, a := range s.seen() {
			if at := arrived[a.flow]; at != nil && !a.opens && a.at.After(opened) {
				at[s] = append(at[s], a.at)
			}
		}
	}
	var broken []string
	for _, f := range flows {
		own := arrived[f.key][f.owner]
		d.sys.rec.add("flow %s of server %s: packets at its server at %s", f.key.requester, f.owner.id, d.times(own))
		for s, other := range arrived[f.key] {
			if s == f.owner || f.owner.dead {
				continue
			}
			d.sys.rec.add("flow %s of server %s: packets at server %s at %s", f.key.requester, f.owner.id, s.id, d.times(other))
			if text := strayWindow(own, other); text != "" {
				broken = append(broken, fmt.Sprintf("flow %s, open at living server %s: %s %s", f.key.requester, f.owner.id, text, s.id))
				break
			}
		}
	}
	d.sys.rec.say("flows that break the rule: %d of %d", len(broken), len(flows))
	return broken
}

// times returns the times of packets as text.
func (d *deployment) times(all []time.Time) string {
	text := ""
	for _, t := range all {
		text += fmt.Sprintf("%.3f ", d.sys.rec.at(t))
	}
	return text
}

// strayWindow describes the first window in which the packets of a flow reach another server and not their own.
func strayWindow(own, other []time.Time) string {
	within := func(all []time.Time, from time.Time) int {
		n := 0
		for _, t := range all {
			if !t.Before(from) && t.Before(from.Add(flowTime)) {
				n++
			}
		}
		return n
	}
	for _, from := range other {
		if n := within(other, from); n >= strayPackets && within(own, from) == 0 && time.Now().After(from.Add(flowTime)) {
			return fmt.Sprintf("in %s none of its packets reached it, and %d reached server", flowTime, n)
		}
	}
	return ""
}

// flowDeadServer: a server crashes, and later an entry is stopped as planned. The flows of the other servers move to another entry,
// which searches their servers.
func flowDeadServer(sys *system, trouble bool) ([]string, error) {
	d, err := newDeployment(sys, 4, workTime)
	if err != nil {
		return nil, err
	}
	c, err := startCaller(sys, d.router, 99, zones[0])
	if err != nil {
		return nil, err
	}
	flows, err := d.openFlows(c)
	if err != nil {
		return nil, err
	}
	opened := time.Now()
	crashed := d.serverAt(23)
	if trouble {
		crashed.crash()
	}
	time.Sleep(contactTime + time.Second)
	var living []*heldFlow
	for _, f := range flows {
		if f.owner != crashed {
			living = append(living, f)
		}
	}
	if n := d.requestAll("before", living, 20); n != len(living) {
		return nil, fmt.Errorf("%w: not all flows work before the stop of the entry", errSetup)
	}
	d.stopEntry("edge-11")
	d.requestAll("after", living, len(living))
	time.Sleep(flowTime)
	return d.strays(living, opened), nil
}

// flowMovedRoute: a configuration sends the new flows of a route to another service. Later an entry is stopped as planned, and the
// open flows of the route move to another entry.
func flowMovedRoute(sys *system, trouble bool) ([]string, error) {
	d, err := newDeployment(sys, 4, workTime)
	if err != nil {
		return nil, err
	}
	c, err := startCaller(sys, d.router, 99, zones[0])
	if err != nil {
		return nil, err
	}
	flows, err := d.openFlows(c)
	if err != nil {
		return nil, err
	}
	opened := time.Now()
	if err := d.operator.replace(deploymentConfig(7, catalogue, 4)); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	if n := d.requestAll("before", flows, 20); n != len(flows) {
		return nil, fmt.Errorf("%w: not all flows work before the stop of the entry", errSetup)
	}
	if trouble {
		d.stopEntry("edge-11")
	}
	d.requestAll("after", flows, len(flows))
	time.Sleep(flowTime)
	return d.strays(flows, opened), nil
}
