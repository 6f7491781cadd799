// Package deployer starts complete deployments of real processes on loopback addresses, for tests that need processes.
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

// The ports on which machines listen. They are the same on all machines, since each machine has its own address.
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
	// stopTimeout is how long a process may take to end after SIGTERM before it is killed, and to freeze after SIGSTOP.
	stopTimeout = 15 * time.Second
	// lingerTime is how long a stopping entry still forwards datagrams after it has reported that it is not ready.
	lingerTime = "1s"
)

// Service describes a service and its upstreams.
type Service struct {
	Name      registrar.ServiceName
	Transport registrar.Transport
	// Zones holds the zone of each upstream.
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
	// Faulty puts fault proxies in front of the data address of every entry and agent, and between every node and the control
	// instances.
	Faulty bool
}

// Deployment is a set of processes of the product on loopback addresses. The processes are killed when the test ends.
type Deployment struct {
	Options
	Folder string
	t      testing.TB
	// block holds the second and third bytes of the deployment's addresses. In the addresses of callers the third byte is one higher.
	block [2]byte
	mu    sync.Mutex
	procs map[string]*Process
	// links holds the datagram proxy of each node, by node name.
	links map[string]*faulter.Proxy
	// streams holds the TCP proxies of each node, by node name, with one proxy for each control instance.
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
	// go test keys its result cache on the files that the test binary accesses. Another process compiles the command, so the
	// sources are accessed here.
	for _, folder := range []string{"internal", "platform"} {
		if err := statSources(filepath.Join(strings.TrimSpace(string(root)), folder)); err != nil {
			return "", fmt.Errorf("stat sources: %w", err)
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

// statSources calls stat on all source files below a folder, so that the cached test result depends on them.
func statSources(folder string) error {
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
	// Test binaries run in parallel, so their addresses are derived from the process ID.
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

// EntryAddresses returns the addresses at which the entries receive datagrams for service s. It leaves out the entry
// excluded; -1 leaves out none.
func (d *Deployment) EntryAddresses(s, excluded int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range d.Entries {
		if i != excluded {
			addresses = append(addresses, d.EntryServiceAddr(i, s))
		}
	}
	return addresses
}

// EntryServiceAddr returns the address at which entry i receives datagrams for service s.
func (d *Deployment) EntryServiceAddr(i, s int) netip.AddrPort {
	return netip.AddrPortFrom(d.EntryAddr(i), servicePort+uint16(s))
}

// BackendAddr returns the address on which upstream i of service s listens.
func (d *Deployment) BackendAddr(s, i int) netip.AddrPort {
	return netip.AddrPortFrom(d.AgentAddr(s, i), upstreamPort)
}

// APIAddr returns the address of the intent API of a control instance.
func (d *Deployment) APIAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(d.ControlAddr(i), apiPort)
}

// MetricsAddr returns the address of the metrics endpoint of a machine.
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

// StartAll starts all control instances, entries and agents of the deployment.
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

// Start starts a process of the given role, with the given machine name and settings.
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

// printLogs writes the end of each log to the test log, because the folder is removed when the test ends.
func (d *Deployment) printLogs() {
	const tail = 2000
	for name := range d.procs {
		b, err := os.ReadFile(filepath.Join(d.Folder, name+".log"))
		if err == nil && len(b) > 0 {
			d.t.Logf("%s: %s", name, bytes.TrimSpace(b[max(0, len(b)-tail):]))
		}
	}
}

// Log returns the log of a machine.
func (d *Deployment) Log(name string) string {
	b, err := os.ReadFile(filepath.Join(d.Folder, name+".log"))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process, even if it is frozen, and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process until Thaw. It waits until every thread has stopped, because a busy thread can still handle
// one more datagram after the signal has been sent.
func (p *Process) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(stopTimeout); time.Now().Before(deadline) && !p.frozen(); {
		time.Sleep(time.Millisecond)
	}
}

// frozen reports whether all threads are in the stopped state (proc(5)).
func (p *Process) frozen() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		// The state follows the command name, which ends with the last parenthesis.
		nameEnd := bytes.LastIndexByte(b, ')')
		if err != nil || nameEnd < 0 || !bytes.HasPrefix(b[nameEnd+1:], []byte(" T")) {
			return false
		}
	}
	return len(files) > 0
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Hangup makes the process read its settings and key files again.
func (p *Process) Hangup() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Terminate requests a planned stop and does not wait for it.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop requests a planned stop and waits until the process has ended. It kills a process that does not end in time.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}
