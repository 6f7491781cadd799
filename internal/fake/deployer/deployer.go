// Package deployer starts whole deployments of real processes on loopback addresses for process tests.
package deployer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/faulter"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Ports that machines use on addresses of their own.
const (
	controlPort = 7000
	// faultyPort is the announced data port of a machine behind a fault proxy.
	faultyPort   = 7102
	apiPort      = 7001
	dataPort     = 7002
	metricsPort  = 7003
	upstreamPort = 8000
	servicePort  = 8443
)

const (
	stopTime = 15 * time.Second
	// lingerTime is how long entries forward after they report that they are not ready.
	lingerTime = "1s"
)

// Service describes a service and its upstreams.
type Service struct {
	Name      registrar.ServiceName
	Transport registrar.Transport
	// Zones has the zone of each upstream.
	Zones []registrar.ZoneName
	Slots registrar.Slots
}

// Options describe a deployment.
type Options struct {
	Controls int
	Entries  int
	Region   registrar.RegionName
	Zones    []registrar.ZoneName
	Services []Service
	// Faulty puts fault proxies in front of the data address of every entry and agent and between every node and control.
	Faulty bool
}

// Deployment is a set of running processes. Its processes end with the test.
type Deployment struct {
	Options
	Folder string
	t      testing.TB
	// block holds the first two variable bytes of the addresses, 127.block.x.
	block [2]byte
	mu    sync.Mutex
	procs map[string]*Process
	links map[string]*faulter.Proxy
	// streams are keyed by node name; each has one for each control instance.
	streams map[string][]*faulter.Stream
}

// Process is one running process.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	stderr *os.File
	done   chan struct{}
	err    error
}

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
	blocks    atomic.Uint32
)

// build compiles the command once per test binary.
func build() (string, error) {
	buildOnce.Do(func() { binary, buildErr = compile() })
	return binary, buildErr
}

func compile() (string, error) {
	const module = "github.com/peridotstage/peridotstage"
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}", module).Output()
	if err != nil {
		return "", fmt.Errorf("find module: %w", err)
	}
	// Go caches the result of a test by the files that it looks at. The command is compiled by another process, so its
	// sources are looked at here.
	for _, folder := range []string{"internal", "platform"} {
		if err := lookAt(filepath.Join(strings.TrimSpace(string(root)), folder)); err != nil {
			return "", fmt.Errorf("look at sources: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "peridotstage-bin")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "peridotstage")
	if out, err := exec.Command("go", "build", "-o", path, module).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
}

// lookAt opens nothing, but lets the test depend on all source files below a folder.
func lookAt(folder string) error {
	return filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			_, err = os.Stat(path)
		}
		return err
	})
}

// New prepares a deployment without starting anything.
func New(t testing.TB, o Options) *Deployment {
	t.Helper()
	_, err := build()
	require.NoError(t, err)
	d := &Deployment{Options: o, t: t, Folder: t.TempDir(), procs: map[string]*Process{}, links: map[string]*faulter.Proxy{}, streams: map[string][]*faulter.Stream{}}
	// Test binaries run side by side, so the process id separates their addresses.
	n := uint32(os.Getpid())*7 + blocks.Add(1)
	d.block = [2]byte{byte(1 + n/120%250), byte(2 * (n % 120))}
	d.createKeys()
	t.Cleanup(d.stopAll)
	return d
}

func (d *Deployment) addr(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.block[0], d.block[1] + byte(third), byte(fourth)})
}

// ControlAddr returns the address of a control instance.
func (d *Deployment) ControlAddr(i int) netip.Addr { return d.addr(0, 1+i) }

// EntryAddr returns the address of an entry.
func (d *Deployment) EntryAddr(i int) netip.Addr { return d.addr(0, 20+i) }

// AgentAddr returns the address of the agent beside upstream i of service s.
func (d *Deployment) AgentAddr(s, i int) netip.Addr { return d.addr(0, 60+20*s+i) }

// ServiceAddr returns the address that callers use for service s.
func (d *Deployment) ServiceAddr(s int) netip.AddrPort {
	return netip.AddrPortFrom(d.addr(0, 200+s), servicePort+uint16(s))
}

// CallerAddr returns a source address for callers.
func (d *Deployment) CallerAddr(i int) netip.Addr { return d.addr(1, 1+i) }

// EntryName returns the machine name of entry i.
func (d *Deployment) EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// EntryAddresses returns where the entries other than without take datagrams for service s.
func (d *Deployment) EntryAddresses(s, without int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range d.Entries {
		if i != without {
			all = append(all, d.EntryServiceAddr(i, s))
		}
	}
	return all
}

// EntryServiceAddr returns where entry i takes datagrams for service s.
func (d *Deployment) EntryServiceAddr(i, s int) netip.AddrPort {
	return netip.AddrPortFrom(d.EntryAddr(i), servicePort+uint16(s))
}

// BackendAddr returns where the upstream beside an agent listens.
func (d *Deployment) BackendAddr(s, i int) netip.AddrPort {
	return netip.AddrPortFrom(d.AgentAddr(s, i), upstreamPort)
}

// APIAddr returns the intent API of a control instance.
func (d *Deployment) APIAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(d.ControlAddr(i), apiPort)
}

// MetricsAddr returns the metrics endpoint of a machine.
func (d *Deployment) MetricsAddr(a netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(a, metricsPort)
}

// UpstreamName returns the name of upstream i of service s.
func (d *Deployment) UpstreamName(s, i int) registrar.UpstreamName {
	return registrar.UpstreamName(fmt.Sprintf("%s-%d", d.Services[s].Name, i))
}

// KeyFile returns the path of a key file.
func (d *Deployment) KeyFile(name string) string { return filepath.Join(d.Folder, "keys", name) }

func (d *Deployment) createKeys() {
	now := time.Now()
	s := &issuer.Issuer{Folder: filepath.Join(d.Folder, "keys"), ExpireAt: now.AddDate(1, 0, 0)}
	require.NoError(d.t, s.Init(now))
	issue := func(kind loader.Holder, name string, a ...netip.Addr) {
		require.NoError(d.t, s.Issue(now, kind, name, append(a, netip.MustParseAddr("127.0.0.1")), []string{name}))
	}
	issue(loader.HolderOperator, "operator")
	for i := range d.Controls {
		issue(loader.HolderMachine, fmt.Sprintf("control-%d", i), d.ControlAddr(i))
	}
	for i := range d.Entries {
		issue(loader.HolderMachine, fmt.Sprintf("entry-%d", i), d.EntryAddr(i))
	}
	for si, service := range d.Services {
		issue(loader.HolderService, string(service.Name))
		for i := range service.Zones {
			issue(loader.HolderMachine, "agent-"+string(d.UpstreamName(si, i)), d.AgentAddr(si, i))
		}
	}
}

// Settings is the content of a settings file.
type Settings map[string]any

func (d *Deployment) machineSettings(name string, zone registrar.ZoneName, a netip.Addr) Settings {
	return Settings{
		"name": name, "zone": zone, "region": d.Region,
		"control_address": netip.AddrPortFrom(a, controlPort),
		"metrics_address": netip.AddrPortFrom(a, metricsPort),
		"keys": Settings{
			"authority_file": d.KeyFile(issuer.AuthorityFile), "certificate_file": d.KeyFile(name + ".pem"),
			"private_key_file": d.KeyFile(name + ".key"), "data_key_file": d.KeyFile(issuer.DataKeyFile),
		},
	}
}

func (d *Deployment) nodeSettings(name string, zone registrar.ZoneName, a netip.Addr) Settings {
	s := d.machineSettings(name, zone, a)
	s["data_address"] = netip.AddrPortFrom(a, dataPort)
	var control []netip.AddrPort
	for i := range d.Controls {
		control = append(control, netip.AddrPortFrom(d.ControlAddr(i), controlPort))
	}
	s["control"] = control
	if d.Faulty {
		d.addFaults(s, name, a, control)
	}
	return s
}

// ControlSettings returns the settings of a control instance.
func (d *Deployment) ControlSettings(i int) Settings {
	s := d.machineSettings(fmt.Sprintf("control-%d", i), d.Zones[i%len(d.Zones)], d.ControlAddr(i))
	s["api_address"] = d.APIAddr(i)
	s["data_folder"] = filepath.Join(d.Folder, fmt.Sprintf("control-%d", i))
	members := map[string]netip.AddrPort{}
	for j := range d.Controls {
		members[fmt.Sprintf("control-%d", j)] = netip.AddrPortFrom(d.ControlAddr(j), controlPort)
	}
	s["members"] = members
	return s
}

// EntrySettings returns the settings of an entry.
func (d *Deployment) EntrySettings(i int) Settings {
	s := d.nodeSettings(fmt.Sprintf("entry-%d", i), d.Zones[i%len(d.Zones)], d.EntryAddr(i))
	addresses := map[netip.Addr]netip.Addr{}
	for si := range d.Services {
		addresses[d.ServiceAddr(si).Addr()] = d.EntryAddr(i)
	}
	s["address_map"] = addresses
	s["linger"] = lingerTime
	return s
}

// AgentSettings returns the settings of an agent.
func (d *Deployment) AgentSettings(s, i int) Settings {
	service := d.Services[s]
	name := d.UpstreamName(s, i)
	v := d.nodeSettings("agent-"+string(name), service.Zones[i], d.AgentAddr(s, i))
	v["upstream"], v["service"], v["slots"] = name, service.Name, service.Slots
	v["upstream_address"] = d.BackendAddr(s, i)
	v["service_certificate_file"] = d.KeyFile(string(service.Name) + ".pem")
	v["service_key_file"] = d.KeyFile(string(service.Name) + ".key")
	return v
}

// StartControl starts a control instance.
func (d *Deployment) StartControl(i int) *Process {
	return d.Start("control", fmt.Sprintf("control-%d", i), d.ControlSettings(i))
}

// StartEntry starts an entry.
func (d *Deployment) StartEntry(i int) *Process {
	return d.Start("entry", fmt.Sprintf("entry-%d", i), d.EntrySettings(i))
}

// StartAgent starts an agent.
func (d *Deployment) StartAgent(s, i int) *Process {
	return d.Start("agent", "agent-"+string(d.UpstreamName(s, i)), d.AgentSettings(s, i))
}

// StartAll starts every process of the options.
func (d *Deployment) StartAll() {
	for i := range d.Controls {
		d.StartControl(i)
	}
	for i := range d.Entries {
		d.StartEntry(i)
	}
	for s := range d.Services {
		for i := range d.Services[s].Zones {
			d.StartAgent(s, i)
		}
	}
}

// Start starts a role with settings of the test's choice.
func (d *Deployment) Start(role, name string, s Settings) *Process {
	d.t.Helper()
	b, err := json.MarshalIndent(s, "", "  ")
	require.NoError(d.t, err)
	path := filepath.Join(d.Folder, name+".json")
	require.NoError(d.t, os.WriteFile(path, b, 0o600))
	stderr, err := os.OpenFile(filepath.Join(d.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	cmd := exec.Command(binary, role, "--settings", path)
	cmd.Stdout, cmd.Stderr = stderr, stderr
	require.NoError(d.t, cmd.Start())
	p := &Process{Name: name, cmd: cmd, stderr: stderr, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = stderr.Close()
		close(p.done)
	}()
	d.mu.Lock()
	d.procs[name] = p
	d.mu.Unlock()
	return p
}

// Names returns the machine names of all processes.
func (d *Deployment) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.procs))
}

// Process returns a process by machine name.
func (d *Deployment) Process(name string) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.procs[name]
}

func (d *Deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		p.Kill()
	}
	if d.t.Failed() {
		d.printLogs()
	}
}

// printLogs shows the end of each log, since the folder is removed with the test.
func (d *Deployment) printLogs() {
	const tail = 2000
	for name := range d.procs {
		b, err := os.ReadFile(filepath.Join(d.Folder, name+".log"))
		if err == nil && len(b) > 0 {
			d.t.Logf("%s: %s", name, bytes.TrimSpace(b[max(0, len(b)-tail):]))
		}
	}
}

// Log returns what a machine has logged.
func (d *Deployment) Log(name string) string {
	b, err := os.ReadFile(filepath.Join(d.Folder, name+".log"))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once, frozen or not.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process from running until Thaw. It returns once every thread has stopped: the signal alone lets a busy
// thread handle one more datagram.
func (p *Process) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(stopTime); time.Now().Before(deadline) && !p.frozen(); {
		time.Sleep(time.Millisecond)
	}
}

// frozen reports whether all threads are in the stopped state, as proc(5) describes it.
func (p *Process) frozen() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		// The state follows the command name, which ends with the last parenthesis.
		at := bytes.LastIndexByte(b, ')')
		if err != nil || at < 0 || !bytes.HasPrefix(b[at+1:], []byte(" T")) {
			return false
		}
	}
	return len(files) > 0
}

// Thaw lets a frozen process run again.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Hangup asks the process to read its settings and key files again.
func (p *Process) Hangup() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Terminate asks for a planned stop without waiting for it.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop asks for a planned stop and waits for it.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTime):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, stopTime)
	}
}
