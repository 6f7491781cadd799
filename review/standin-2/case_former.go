package main

import (
	"fmt"
	"net/netip"
	"time"
)

// stockRoute is the address of the route that the cases use.
var stockRoute = netip.MustParseAddrPort("198.18.0.1:8080")

// startEdges starts control instances and entries on the first machines.
func (d *deployment) startEdges(n int) error {
	for i := 1; i <= n; i++ {
		if err := d.startControl(i, true); err != nil {
			return err
		}
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts an agent and a server on each machine of a service, from machine first on.
func (d *deployment) startServers(first int, services ...string) ([]*server, error) {
	var all []*server
	for i, service := range services {
		n := first + i
		if err := d.startAgent(n, service); err != nil {
			return nil, err
		}
		s, err := d.newServer(n, service)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	time.Sleep(300 * time.Millisecond)
	for i, s := range all {
		s.start(fmt.Sprintf("i-%d", i+1), 0)
	}
	return all, nil
}

// formerServices opens a flow, moves its route to four other services one after the other, and stops the entry of the flow as planned.
func formerServices(d *deployment, trouble bool) error {
	services := []string{"desk-1", "desk-2", "desk-3", "desk-4", "desk-5"}
	if err := d.startEdges(3); err != nil {
		return err
	}
	servers, err := d.startServers(21, services...)
	if err != nil {
		return err
	}
	op := &operator{rec: d.rec, nodes: d.seeds()}
	send := func(version int, service string) error {
		if !op.order("/Config.Replace", config(version, []routeConfig{newRoute("stock", stockRoute, service)}, services), 20*time.Second) {
			return fmt.Errorf("%w: config %d is not acknowledged", errSetup, version)
		}
		return nil
	}
	if err := send(1, services[0]); err != nil {
		return err
	}
	r := d.newRouter(1, 2, 3)
	if err := await("entries ready", 20*time.Second, func() bool { return r.inRotation() == 3 }); err != nil {
		return err
	}
	q, err := d.newRequester(r)
	if err != nil {
		return err
	}
	// The flows are of one entry, which stops later.
	entry := -1
	flows, err := q.openMany(func(f *clientFlow) bool {
		if entry < 0 {
			entry = f.entry
		}
		return f.entry == entry
	})
	if err != nil {
		return err
	}
	opened := time.Now()
	for i := 1; i < len(services); i++ {
		if err := send(i+1, services[i]); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		if n := requestAll(flows, fmt.Sprintf("r-config-%d", i+1), 900, 3*time.Second); n < len(flows) {
			return fmt.Errorf("%w: only %d of %d flows are answered before the disruption", errSetup, n, len(flows))
		}
	}
	if trouble {
		go d.terminate(fmt.Sprintf("entry-%d", entry+1))
		if err := await("another entry for the flows", 6*time.Second, func() bool { return r.entryFor(flows[0].key) != entry }); err != nil {
			return err
		}
	}
	d.rec.add("the flows are %.1f s old", time.Since(opened).Seconds())
	d.rec.add("%d of %d last requests answered", requestAll(flows, "r-last", lastRequestSize, lastRequestBudget), len(flows))
	return judgeFlows(flows, servers[0], servers[1:], opened)
}
