package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// startSmall starts three edge machines, three servers of one service in three zones, and a requester.
func (d *deployment) startSmall() ([]*server, *requester, error) {
	if err := d.startEdges(3); err != nil {
		return nil, nil, err
	}
	servers, err := d.startServers(22, "desk", "desk", "desk")
	if err != nil {
		return nil, nil, err
	}
	op := &operator{rec: d.rec, nodes: d.seeds()}
	if !op.order("/Config.Replace", config(1, []routeConfig{newRoute("stock", stockRoute, "desk")}, []string{"desk"}), 20*time.Second) {
		return nil, nil, fmt.Errorf("%w: the config is not acknowledged", errSetup)
	}
	r := d.newRouter(1, 2, 3)
	if err := await("entries ready", 20*time.Second, func() bool { return r.inRotation() == 3 }); err != nil {
		return nil, nil, err
	}
	q, err := d.newRequester(r)
	return servers, q, err
}

// load opens a flow with one request at a fixed rate until stop is closed, and returns when the flows were opened.
func (q *requester) load(perSecond int, stop <-chan struct{}) map[flowKey]time.Time {
	sent := map[flowKey]time.Time{}
	flows := make(chan *clientFlow, 10_000)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	n := 0
	for running := true; running; {
		select {
		case <-stop:
			running = false
		case <-ticker.C:
			n++
			go func() {
				if f := q.open(stockRoute); f != nil {
					f.request(fmt.Sprintf("r-%d", n), 100, time.Second)
					f.close()
					flows <- f
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)
	for len(flows) > 0 {
		f := <-flows
		sent[f.key] = f.sentAt
	}
	return sent
}

// judgeCold checks the rule FAILBACK for a server that is cold for coldStart from its start: in no second more than the allowed number of
// requests that were sent and arrived in it.
func judgeCold(s *server, sent map[flowKey]time.Time) error {
	const allowed = coldSlack
	type request struct{ sentAt, arrivedAt time.Time }
	var all []request
	for _, r := range s.allRuns() {
		if at, found := sent[r.flow]; found && r.server == s.id && !r.openingAt.Before(s.started) && r.openingAt.Before(s.started.Add(coldStart)) {
			all = append(all, request{at, r.openingAt})
		}
	}
	slices.SortFunc(all, func(a, b request) int { return a.sentAt.Compare(b.sentAt) })
	most := 0
	for i, first := range all {
		n := 0
		for _, r := range all[i:] {
			if r.arrivedAt.Before(first.sentAt.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	s.rec.add("cold server %s: %d requests in its cold time, at most %d within one second, allowed %d", s.id, len(all), most, allowed)
	if most > allowed {
		return fmt.Errorf("%w: FAILBACK: the cold server %s got %d requests within one second, allowed are %d", errBroken, s.id, most, allowed)
	}
	return nil
}

// lateCheckIn lets a server crash and start again, cold. Then its agent is killed and started again, and a check-in of the crashed
// incarnation, which was held up on its way, arrives at the new process of the agent.
func lateCheckIn(d *deployment, trouble bool) error {
	servers, q, err := d.startSmall()
	if err != nil {
		return err
	}
	s := servers[0]
	stop := make(chan struct{})
	done := make(chan map[flowKey]time.Time, 1)
	go func() { done <- q.load(120, stop) }()
	time.Sleep(4 * time.Second)
	latePath, lateBody, _ := s.checkInCall()
	d.rec.add("check-in %s %s is sent and held up", latePath, lateBody)
	s.crash()
	time.Sleep(300 * time.Millisecond)
	s.start("i-1-again", coldStart)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.kill("agent-22")
		time.Sleep(100 * time.Millisecond)
		if err := d.startAgent(22, "desk"); err != nil {
			return err
		}
		status := 0
		if err := await("agent takes calls", 3*time.Second, func() bool { status = post(s.control, latePath, lateBody); return status != 0 }); err != nil {
			return err
		}
		d.rec.add("held-up check-in %s arrives: status %d", latePath, status)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	return judgeCold(s, <-done)
}

// delay is how long the deregistration is held up; a cut of a machine lasts as long at most.
const delay = 5500 * time.Millisecond

// lateDeregister restarts a server as planned under its id. Its deregistration is held up and arrives after the new incarnation has registered
// and taken a flow.
func lateDeregister(d *deployment, trouble bool) error {
	servers, q, err := d.startSmall()
	if err != nil {
		return err
	}
	s := servers[0]
	time.Sleep(2 * time.Second)
	s.setState("draining")
	if !s.checkIn() {
		return fmt.Errorf("%w: draining is not acknowledged", errSetup)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	path, body := "/Instances.Deregister/"+s.id, fmt.Sprintf(`{"born":%d}`, s.born)
	sentAt := time.Now()
	if trouble {
		d.rec.add("%s %s is sent and held up", path, body)
		time.Sleep(2500 * time.Millisecond)
	} else if status := post(s.control, path, body); status != http.StatusOK {
		return fmt.Errorf("%w: deregistration has status %d", errSetup, status)
	}
	s.crash()
	time.Sleep(300 * time.Millisecond)
	s.start(s.id, 0)
	flows, err := q.openMany(func(f *clientFlow) bool { return len(s.arrivalsOf(f.key)) > 0 })
	if err != nil {
		return err
	}
	time.Sleep(time.Until(sentAt.Add(delay)))
	if trouble {
		d.rec.add("held-up %s arrives: status %d", path, post(s.control, path, body))
	}
	healed := time.Now()
	time.Sleep(contactTime + 500*time.Millisecond)
	d.rec.add("%d of %d last requests answered", requestAll(flows, "r-last", lastRequestSize, lastRequestBudget), len(flows))
	return judgeFlows(flows, s, servers[1:], healed.Add(contactTime))
}

// setState changes the state that the server reports.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}
