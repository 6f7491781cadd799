package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine.
const (
	portDatagram = 8172
	portReady    = 8167
	portControl  = 8166
	portApp      = 8165
	portOutbound = 8162
	portNode     = 7720
	portLog      = 7735
)

// Bounds and settings of the small installation that the cases run on.
const (
	heartbeat     = 1200 * time.Millisecond
	drainTime     = 3 * time.Second
	contactTime   = 4 * time.Second
	flowTime      = 2 * time.Second
	ackTimeout    = 5 * time.Second
	coldFactor    = 1.5
	coldSlack     = 5
	coldStart     = 2 * time.Second
	requesterHost = 200
)

// programPath is the program that the build of the deploy file produces.
const programPath = "target/peridotstage"

// process is a running process of the system.
type process struct {
	name string
	cmd  *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// deployment is a set of processes of the system on loopback addresses.
type deployment struct {
	rec    *record
	folder string
	// subnet is the text of the first three bytes of the addresses, with the dots.
	subnet string
	zones  map[string]string

	mu        sync.Mutex
	processes map[string]*process
}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, folder: folder, processes: map[string]*process{},
		zones: map[string]string{"johor-a": "johor", "johor-b": "johor", "johor-c": "johor"},
	}
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		if d.isFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("%w: no free addresses", errSetup)
}

// isFree reports whether the ports of the first machines are free.
func (d *deployment) isFree() bool {
	for n := 1; n <= 3; n++ {
		l, err := net.Listen("tcp", d.address(n, portControl).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) address(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(d.subnet+fmt.Sprint(n)), port)
}

// zoneOf returns the zone of machine n.
func zoneOf(n int) string { return []string{"johor-a", "johor-b", "johor-c"}[(n-1)%3] }

// seeds returns the control addresses of the first three machines.
func (d *deployment) seeds() []netip.AddrPort {
	return []netip.AddrPort{d.address(1, portControl), d.address(2, portControl), d.address(3, portControl)}
}

// common returns the settings that all roles on machine n share, as the templates of the deploy folder fill them in.
func (d *deployment) common(name string, n int) map[string]any {
	return map[string]any{
		"name": name, "zone": zoneOf(n), "region": "johor", "seeds": d.seeds(), "seed_port": portLog,
		"metrics_address": d.address(n, 9464),
	}
}

// startControl starts a control instance on machine n.
func (d *deployment) startControl(n int, bootstrap bool) error {
	name := fmt.Sprintf("edge-%d", n)
	s := d.common(name, n)
	s["metrics_address"], s["control_address"], s["operator_address"] = d.address(n, 9465), d.address(n, portLog), d.address(n, portControl)
	s["founding"], s["data_folder"], s["zones"] = bootstrap, filepath.Join(d.folder, "data", fmt.Sprint(n)), d.zones
	s["link_mbps"] = 1000.0
	return d.start(fmt.Sprintf("control-%d", n), "open-control", s)
}

// startEntry starts an entry on machine n.
func (d *deployment) startEntry(n int) error {
	s := d.common(fmt.Sprintf("edge-%d", n), n)
	s["control_address"], s["data_address"] = d.address(n, portNode), d.address(n, portNode)
	s["ready_address"], s["caller_address"] = d.address(n, portReady), d.address(n, portDatagram)
	s["flow_lookup"], s["max_waiting"], s["link_mbps"] = true, 1000, 1000.0
	return d.start(fmt.Sprintf("entry-%d", n), "stream-entry", s)
}

// startAgent starts the agent of a server of a service on machine n.
func (d *deployment) startAgent(n int, service string) error {
	s := d.common(fmt.Sprintf("side-%d", n), n)
	s["control_address"], s["data_address"] = d.address(n, portNode), d.address(n, portNode)
	s["ready_address"], s["caller_address"] = d.address(n, portReady), d.address(n, portDatagram)
	s["service"], s["upstream_address"] = service, d.address(n, portApp)
	s["outbound_address"], s["check_in_address"] = d.address(n, portOutbound), d.address(n, portControl)
	s["cold_factor"], s["cold_slack"], s["stops_after_upstream"] = coldFactor, coldSlack, true
	s["check_in_interval"], s["max_flow_age"] = heartbeat.String(), "60s"
	return d.start(fmt.Sprintf("agent-%d", n), "stream-agent", s)
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (d *deployment) start(name, role string, settings map[string]any) error {
	if folder, ok := settings["data_folder"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(programPath, role, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errSetup, name, err)
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	d.rec.add("process %s started (pid %d)", name, cmd.Process.Pid)
	return nil
}

// process returns the newest process with a name.
func (d *deployment) process(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

// kill ends a process at once.
func (d *deployment) kill(name string) {
	p := d.process(name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	d.rec.add("process %s killed", name)
}

// terminate stops a process as planned.
func (d *deployment) terminate(name string) {
	p := d.process(name)
	d.rec.add("process %s gets SIGTERM", name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		d.kill(name)
	}
	d.rec.add("process %s has ended", name)
}

// close ends all processes and removes the files of the deployment.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range d.processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
