package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a packet of a requester that has reached a server.
type arrival struct {
	at     time.Time
	server string
	flow   flowKey
	seq    uint32
	size   int
	// held is true if the server holds the flow.
	held bool
}

// servedFlow is a flow at a server.
type servedFlow struct {
	// first is the server's own first sequence number, next the next one that it sends, and peerNext the next one that it expects.
	first, next, peerNext uint32
	opened, ended         bool
	request               []byte
	// answer is the newest response, sent from sequence number answerAt on.
	answer   []byte
	answerAt uint32
	// openingAt is when the newest opening packet arrived.
	openingAt time.Time
}

// run is a request that a server has run.
type run struct {
	id     string
	flow   flowKey
	server string
	// openingAt is when the opening packet of the flow reached the server.
	openingAt time.Time
}

// server is a stand-in for a server with its check-ins. A restart gives it a new incarnation with none of the flows of before.
type server struct {
	rec      *record
	machine  int
	service  string
	zone     string
	conn     *net.UDPConn
	app      netip.AddrPort
	outbound netip.AddrPort
	control  netip.AddrPort

	mu sync.Mutex
	// id and born name the incarnation. up is true while it runs.
	id       string
	born     int64
	up       bool
	started  time.Time
	state    string
	sequence int
	coldTime time.Duration
	flows    map[flowKey]*servedFlow
	arrivals []arrival
	runs     []run
	altered  int
}

func (d *deployment) newServer(n int, service string) (*server, error) {
	s := &server{
		rec: d.rec, machine: n, service: service, zone: zoneOf(n), app: d.address(n, portApp), outbound: d.address(n, portOutbound),
		control: d.address(n, portControl),
	}
	var err error
	if s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.app)); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	go s.receive()
	go s.checkIns()
	return s, nil
}

// start starts an incarnation, which is cold for a time, and sends its first check-in.
func (s *server) start(id string, cold time.Duration) {
	s.mu.Lock()
	s.id, s.born, s.up, s.started, s.state, s.sequence = id, time.Now().UnixMilli(), true, time.Now(), "ready", 0
	s.coldTime, s.flows = cold, map[flowKey]*servedFlow{}
	s.rec.add("server %s started on machine %d, born %d, cold for %v", id, s.machine, s.born, cold)
	s.mu.Unlock()
	s.checkIn()
}

// crash ends the incarnation without notice.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up, s.flows = false, nil
	s.rec.add("server %s crashed", s.id)
}

// checkInCall returns the path and the body of the next check-in.
func (s *server) checkInCall() (path, body string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return "", "", false
	}
	s.sequence++
	cold := max(s.coldTime-time.Since(s.started), 0).Milliseconds()
	return "/Instances.Heartbeat/" + s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":2,"state":%q,"cold_remaining_ms":%d,"sequence":%d,"born":%d}`,
		s.service, s.app, s.zone, s.state, cold, s.sequence, s.born), true
}

// checkIn sends a check-in, up to three times if it is not acknowledged, and reports whether one was.
func (s *server) checkIn() bool {
	for range 3 {
		path, body, ok := s.checkInCall()
		if !ok {
			return false
		}
		status := post(s.control, path, body)
		s.rec.add("check-in %s %s: status %d", path, body, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// post sends a call of a server to an address and returns the status, or 0 without a response within a second.
func post(to netip.AddrPort, path, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+to.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// checkIns sends a check-in every heartbeat interval after the start of each incarnation, until the program ends.
func (s *server) checkIns() {
	var due, started time.Time
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if s.started != started {
			started, due = s.started, s.started.Add(heartbeat)
		}
		isDue := s.up && !time.Now().Before(due)
		s.mu.Unlock()
		if isDue {
			due = due.Add(heartbeat)
			s.checkIn()
		}
	}
}

func (s *server) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s.handle(bytes.Clone(b[:n]))
	}
}

// handle handles a packet of a requester.
func (s *server) handle(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok, intact := decode(b)
	if !ok || !s.up {
		return
	}
	if !intact {
		s.altered++
		s.rec.add("server %s got an altered packet", s.id)
		return
	}
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	if p.flags&flagSyn != 0 {
		s.accept(key, f, p)
		return
	}
	held := f != nil && (f.opened || p.ack == f.first+1)
	s.arrivals = append(s.arrivals, arrival{time.Now(), s.id, key, p.seq, len(p.data), held})
	switch {
	case !held:
		p.raw[28] |= flagBounced
		p.raw[29] = 0
		s.send(p.raw)
	case p.flags&flagReset != 0:
		delete(s.flows, key)
	default:
		f.opened = true
		s.handleHeld(key, f, p)
	}
}

// accept answers an opening packet.
func (s *server) accept(key flowKey, f *servedFlow, p packet) {
	if f == nil || f.peerNext != p.seq+1 && !f.opened {
		first := rand.Uint32()
		f = &servedFlow{first: first, next: first + 1, peerNext: p.seq + 1}
		s.flows[key] = f
	}
	if f.opened {
		return
	}
	f.openingAt = time.Now()
	s.send(packet{src: key.route, dst: key.requester, flags: flagSyn | flagAck, seq: f.first, ack: f.peerNext}.encode())
}

// handleHeld handles a packet of a flow that the server holds.
func (s *server) handleHeld(key flowKey, f *servedFlow, p packet) {
	if p.seq == f.peerNext && len(p.data) > 0 {
		f.request = append(f.request, p.data...)
		f.peerNext += uint32(len(p.data))
		s.runRequest(key, f)
	} else if len(p.data) > 0 && len(f.answer) > 0 && p.seq != f.peerNext {
		s.sendAnswer(key, f)
		return
	}
	if p.flags&flagFin != 0 {
		f.ended = true
	}
	if len(p.data) > 0 || p.flags&flagFin != 0 {
		s.send(packet{src: key.route, dst: key.requester, flags: flagAck, seq: f.next, ack: f.peerNext}.encode())
	}
}

// runRequest runs a request once it is complete, and answers it.
func (s *server) runRequest(key flowKey, f *servedFlow) {
	head, body, found := bytes.Cut(f.request, []byte("\r\n\r\n"))
	if !found || len(body) < headerInt(head, "Content-Length") {
		return
	}
	id := headerText(head, "X-Peridotstage-Request-Id")
	f.request = nil
	s.runs = append(s.runs, run{id, key, s.id, f.openingAt})
	s.rec.add("server %s runs request %s of flow %v", s.id, id, key)
	text := s.id + " " + id
	f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Peridotstage-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(text), text)
	f.answerAt = f.next
	f.next += uint32(len(f.answer))
	s.sendAnswer(key, f)
}

func (s *server) sendAnswer(key flowKey, f *servedFlow) {
	s.send(packet{src: key.route, dst: key.requester, flags: flagAck, seq: f.answerAt, ack: f.peerNext, data: f.answer}.encode())
}

// send sends a packet to the agent. The peer repeats what is lost.
func (s *server) send(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) }

func headerText(head []byte, name string) string {
	for _, line := range strings.Split(string(head), "\r\n") {
		if key, value, found := strings.Cut(line, ":"); found && strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func headerInt(head []byte, name string) int {
	n, _ := strconv.Atoi(headerText(head, name))
	return n
}

// arrivalsOf returns the packets of a flow that have reached the server.
func (s *server) arrivalsOf(key flowKey) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []arrival
	for _, a := range s.arrivals {
		if a.flow == key {
			all = append(all, a)
		}
	}
	return all
}

// allRuns returns the requests that the server has run.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
