package main

import (
	"fmt"
	"path/filepath"
	"time"
)

// deployment is a small deployment in three zones: three control instances with disks, five entries and eight servers with agents.
type deployment struct {
	sys      *system
	router   *router
	operator *operator
	servers  []*server
}

// The zones of the deployment.
var zones = []string{"johor-a", "johor-b", "johor-c"}

// serverPlan has the machine, the service and the zone of each server.
var serverPlan = []struct {
	machine int
	service string
	zone    string
}{
	{21, orderDesk, "johor-a"},
	{22, orderDesk, "johor-a"},
	{23, orderDesk, "johor-b"},
	{24, orderDesk, "johor-b"},
	{25, orderDesk, "johor-c"},
	{26, orderDesk, "johor-c"},
	{31, catalogue, "johor-a"},
	{32, catalogue, "johor-b"},
	{33, catalogue, "johor-c"},
}

// entryPlan has the machine and the zone of each entry.
var entryPlan = []struct {
	machine int
	zone    string
}{{11, "johor-a"}, {12, "johor-a"}, {13, "johor-b"}, {14, "johor-b"}, {15, "johor-c"}, {16, "johor-c"}}

// newDeployment starts the deployment and waits until it serves.
func newDeployment(sys *system, coldRate float64, work time.Duration) (*deployment, error) {
	d := &deployment{sys: sys, router: newRouter(sys), operator: &operator{sys: sys, controls: []int{1, 2, 3}}}
	for n := 1; n <= 3; n++ {
		sys.seeds = append(sys.seeds, sys.address(n, controlPort))
	}
	for n := 1; n <= 3; n++ {
		more := map[string]any{"data_dir": filepath.Join(sys.folder, "data", fmt.Sprint(n))}
		if err := sys.start("control", fmt.Sprint("control-", n), n, zones[n-1], more); err != nil {
			return d, err
		}
	}
	for _, e := range entryPlan {
		name := fmt.Sprint("edge-", e.machine)
		if err := sys.start("entry", name, e.machine, e.zone, nil); err != nil {
			return d, err
		}
		d.router.add(name, e.machine, e.zone)
	}
	for _, p := range serverPlan {
		if err := d.startServer(p.machine, p.service, p.zone, 0, work); err != nil {
			return d, err
		}
	}
	if err := d.operator.replace(deploymentConfig(3, orderDesk, coldRate)); err != nil {
		return d, err
	}
	for end := time.Now().Add(20 * time.Second); d.router.ready() < len(entryPlan); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return d, fmt.Errorf("%w: entries are not ready", errSetup)
		}
	}
	// Servers check in every 1.2 s, and every entry hears from every agent within another second.
	time.Sleep(3 * time.Second)
	return d, nil
}

// startServer starts a server and the agent beside it.
func (d *deployment) startServer(n int, service, zone string, cold, work time.Duration) error {
	more := map[string]any{"service": service}
	if err := d.sys.start("agent", fmt.Sprint("side-", n), n, zone, more); err != nil {
		return err
	}
	s, err := startServer(d.sys, n, fmt.Sprint("i-", n), service, zone, "", cold, work)
	d.servers = append(d.servers, s)
	return err
}

// serverAt returns the server on a machine.
func (d *deployment) serverAt(n int) *server {
	for _, s := range d.servers {
		if s.machine == n {
			return s
		}
	}
	return nil
}
