package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines, and the bounds of the small deployment, which are those of the standard sites.
const (
	datagramPort = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	restartDelay = 500 * time.Millisecond
	contactTime  = 4 * time.Second
	flowTime     = 2 * time.Second
	graceTime    = 6 * time.Second
	heartbeat    = 770 * time.Millisecond
)

// system starts the processes of a deployment on loopback addresses, as the platform does.
type system struct {
	root, folder, subnet string
	rec                  *record
	seeds                []string
	zones                map[string]string
	commands             map[string][]string
	templates            map[string]string

	mu    sync.Mutex
	procs map[string]*process
	// closed is true once the system is being taken down: nothing is restarted.
	closed bool
}

// process is one role on one machine. The platform restarts it when it ends.
type process struct {
	name, role string
	values     map[string]any
	cmd        *exec.Cmd
	ended      chan struct{}
}

var errSetup = errors.New("the case cannot run")

// newSystem reads the deploy file and chooses a subnet whose ports are free.
func newSystem(root string, rec *record, zones ...string) (*system, error) {
	s := &system{
		root: root, rec: rec, zones: map[string]string{}, commands: map[string][]string{},
		templates: map[string]string{}, procs: map[string]*process{},
	}
	for _, z := range zones {
		s.zones[z] = "johor"
	}
	if err := s.readDeployFile(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s.folder = folder
	for range 50 {
		s.subnet = fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), rand.IntN(250))
		if s.portsFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errSetup)
}

// portsFree reports whether the ports of a sample of machines are free.
func (s *system) portsFree() bool {
	for _, n := range []int{1, 2, 3, 11, 12, 13, 14, 21, 22, 99} {
		for _, port := range []int{controlPort, readyPort, 7720, 7735} {
			l, err := net.Listen("tcp", s.address(n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// readDeployFile reads the commands and templates of the roles.
func (s *system) readDeployFile() error {
	b, err := os.ReadFile(filepath.Join(s.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	role := ""
	for _, line := range strings.Split(string(b), "\n") {
		key, value, _ := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.Trim(strings.TrimSpace(value), `"`)
		switch {
		case strings.HasPrefix(line, "[roles."):
			role = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "[roles."), "]")
		case key == "run" && role != "":
			s.commands[role] = strings.Fields(value)
		case key == "template" && role != "":
			text, err := os.ReadFile(filepath.Join(s.root, value))
			if err != nil {
				return err
			}
			s.templates[role] = string(text)
		}
	}
	if len(s.commands) != 3 {
		return fmt.Errorf("%w: %d roles in the deploy file", errSetup, len(s.commands))
	}
	return nil
}

func (s *system) ip(n int) string { return fmt.Sprint(s.subnet, n) }

func (s *system) address(n, port int) string { return fmt.Sprint(s.subnet, n, ":", port) }

// values returns the fields that the platform gives to a process on machine n.
func (s *system) values(name string, n int, zone string, more map[string]any) map[string]any {
	ip := s.ip(n)
	v := map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": "johor", "zones": s.zones,
		"internal_ports.0": 7720, "internal_ports.1": 7735, "seeds": s.seeds,
		"listen.datagram_addr": s.address(n, datagramPort), "listen.ready_addr": s.address(n, readyPort),
		"listen.control": s.address(n, controlPort), "listen.outbound": s.address(n, outboundPort),
		"app": s.address(n, appPort), "bootstrap": true, "limits.link_mbps": 1000.0,
		"bounds.cold_factor": 1.5, "bounds.cold_slack": 5, "bounds.max_flow_s": 60,
	}
	for k, value := range more {
		v[k] = value
	}
	return v
}

var (
	section     = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does.
func render(template string, values map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := values[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		if m[2] == "" {
			return fmt.Sprint(values[m[1]])
		}
		b, _ := json.Marshal(values[m[1]])
		return string(b)
	})
}

// start starts a role on machine n.
func (s *system) start(role, name string, n int, zone string, more map[string]any) error {
	p := &process{name: name, role: role, values: s.values(name, n, zone, more)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[name] = p
	return s.launch(p)
}

// launch writes the settings and starts the process. The caller holds s.mu.
func (s *system) launch(p *process) error {
	path := filepath.Join(s.folder, p.name+".json")
	if err := os.WriteFile(path, []byte(render(s.templates[p.role], p.values)), 0o600); err != nil {
		return err
	}
	words := append([]string(nil), s.commands[p.role]...)
	words[len(words)-1] = path
	cmd := exec.Command(filepath.Join(s.root, words[0]), words[1:]...)
	cmd.Dir = s.root
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %s: %v", errSetup, p.name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go s.supervise(p, cmd, ended)
	return nil
}

// supervise restarts a process after it has ended, with bootstrap set to false.
func (s *system) supervise(p *process, cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	s.rec.add("platform: %s ended (%v)", p.name, err)
	time.Sleep(restartDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.procs[p.name] != p {
		return
	}
	p.values["bootstrap"] = false
	if err := s.launch(p); err != nil {
		s.rec.say("platform: %s did not start: %v", p.name, err)
		return
	}
	s.rec.add("platform: %s started again", p.name)
}

// kill sends SIGKILL to a process; the platform restarts it.
func (s *system) kill(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		_ = s.procs[name].cmd.Process.Signal(syscall.SIGKILL)
		s.rec.say("platform: SIGKILL to %s", name)
	}
}

// stop sends SIGTERM to a process, and SIGKILL after the grace time; the platform restarts it.
func (s *system) stop(name string) {
	s.mu.Lock()
	p := s.procs[name]
	cmd, ended := p.cmd, p.ended
	s.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	s.rec.say("platform: SIGTERM to %s", name)
	go func() {
		select {
		case <-ended:
		case <-time.After(graceTime):
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
	}()
}

// close ends all processes and removes the folder.
func (s *system) close() {
	s.mu.Lock()
	s.closed = true
	var all []chan struct{}
	for _, p := range s.procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		all = append(all, p.ended)
	}
	s.mu.Unlock()
	for _, ended := range all {
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}
