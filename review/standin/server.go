package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a packet of a requester that reached a server.
type arrival struct {
	at     time.Time
	flow   flowKey
	seq    uint32
	opens  bool
	held   bool
	server *server
}

// server is a stand-in of a server. It opens a flow once its own number is acknowledged, answers each request once, and returns
// packets that it does not hold.
type server struct {
	id, service, zone string
	machine           int
	sys               *system
	conn              *net.UDPConn
	outbound          netip.AddrPort
	born              time.Time
	cold              time.Duration
	work              time.Duration
	// checkInAddress is where the server sends its check-ins.
	checkInAddress string
	slots          chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	flows    map[flowKey]*serverFlow
	arrivals []arrival
	runs     map[string]int
	dead     bool
	ended    chan struct{}
	// now has an element if a check-in is due at once, and drainAckedAt is when one that said draining was acknowledged.
	now          chan struct{}
	drainAckedAt time.Time
}

type serverFlow struct {
	initial, next uint32
	open          bool
	// parts has the packets behind next, and begun the bytes before next of a request that is not whole yet.
	parts map[uint32][]byte
	begun []byte
	// unacked counts the data packets since the newest acknowledgement.
	unacked int
	// answer is the newest answer; nil while a request runs.
	answer []byte
	sent   uint32
}

// startServer starts a server on machine n. via is the address of a proxy for its check-ins; empty for none.
func startServer(sys *system, n int, id, service, zone, via string, cold, work time.Duration) (*server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(sys.address(n, appPort))))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	s := &server{
		id: id, service: service, zone: zone, machine: n, sys: sys, conn: conn, born: time.Now(), cold: cold, work: work,
		outbound: netip.MustParseAddrPort(sys.address(n, outboundPort)), slots: make(chan struct{}, 2), state: "ready",
		flows: map[flowKey]*serverFlow{}, runs: map[string]int{}, ended: make(chan struct{}), now: make(chan struct{}, 1), checkInAddress: via,
	}
	if via == "" {
		s.checkInAddress = sys.address(n, controlPort)
	}
	go s.serve()
	go s.checkIn()
	sys.rec.add("server %s of %s starts on machine %d", id, service, n)
	return s, nil
}

// crash ends the server: it forgets its flows and sends nothing.
func (s *server) crash() {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	close(s.ended)
	_ = s.conn.Close()
	s.sys.rec.say("server %s of %s on machine %d crashes", s.id, s.service, s.machine)
}

// checkIn sends check-ins every heartbeat, and tries again soon after one that was not acknowledged.
func (s *server) checkIn() {
	client := http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.sequence++
		body := checkInBody{
			Service: s.service, Address: s.sys.address(s.machine, appPort), Zone: s.zone, Version: "v1", Concurrency: cap(s.slots),
			State: s.state, Sequence: s.sequence, Born: s.born.UnixMilli(),
			ColdRemaining: float64(max(0, time.Until(s.born.Add(s.cold))).Milliseconds()),
		}
		s.mu.Unlock()
		b, _ := json.Marshal(body)
		wait := 200 * time.Millisecond
		r, err := client.Post("http://"+s.checkInAddress+heartbeatPath+s.id, "application/json", bytes.NewReader(b))
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode/100 != 2 {
				s.sys.rec.add("server %s: check-in %d (%s) refused with %d", s.id, body.Sequence, body.State, r.StatusCode)
			} else {
				wait = heartbeat
				s.noteAck(body.State)
				s.sys.rec.add("server %s: check-in %d (%s, cold for %.0f ms) acknowledged", s.id, body.Sequence, body.State, body.ColdRemaining)
			}
		}
		select {
		case <-s.ended:
			return
		case <-s.now:
		case <-time.After(wait):
		}
	}
}

// noteAck notes the first acknowledgement of a check-in that said draining.
func (s *server) noteAck(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "draining" && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
		s.sys.rec.say("server %s: draining is acknowledged", s.id)
	}
}

// drain makes the server say that it leaves. It goes on serving.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.now <- struct{}{}
}

func (s *server) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		raw := bytes.Clone(b[:n])
		p, err := decode(raw)
		if err != nil || !intact(raw) || p.echo != 0 && !p.has(flagBounced) && p.pad != 0 {
			s.sys.rec.say("server %s: a packet that its sender did not write so", s.id)
			continue
		}
		s.handle(p, raw)
	}
}

func (s *server) handle(p packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	opens := p.has(flagOpen) && !p.has(flagAck)
	held := f != nil && (opens || p.ack == f.initial+1 || f.open)
	s.arrivals = append(s.arrivals, arrival{time.Now(), key, p.seq, opens, held || opens, s})
	switch {
	case opens && f == nil:
		f = &serverFlow{initial: rand.Uint32(), next: p.seq + 1, parts: map[uint32][]byte{}}
		f.sent = f.initial + 1
		s.flows[key] = f
		fallthrough
	case opens:
		s.reply(key, flagOpen|flagAck, f.initial, f.next, nil)
	case !held:
		raw[flagsOffset] |= flagBounced
		raw[29] = 0
		_, _ = s.conn.WriteToUDPAddrPort(raw, s.outbound)
	case p.has(flagReset):
		delete(s.flows, key)
	case len(p.data) > 0:
		f.open = true
		s.request(key, f, p)
	default:
		f.open = true
	}
}

// request takes a data packet, and runs the request once it is whole. It answers a repeated packet again. The caller holds s.mu.
func (s *server) request(key flowKey, f *serverFlow, p packet) {
	if int32(p.seq-f.next) < 0 {
		if f.answer != nil {
			_, _ = s.conn.WriteToUDPAddrPort(f.answer, s.outbound)
		}
		s.reply(key, flagAck, f.sent, f.next, nil)
		return
	}
	f.parts[p.seq] = p.data
	for part, ok := f.parts[f.next]; ok; part, ok = f.parts[f.next] {
		delete(f.parts, f.next)
		f.next += uint32(len(part))
		f.begun = append(f.begun, part...)
	}
	if f.unacked++; f.unacked == 2 {
		f.unacked = 0
		s.reply(key, flagAck, f.sent, f.next, nil)
	}
	if id, whole := parseRequest(f.begun); whole {
		f.begun, f.answer = nil, nil
		go s.run(key, f, id)
	}
}

// run runs a request and sends its answer.
func (s *server) run(key flowKey, f *serverFlow, id string) {
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", signatureHeader, s.id, len(id), id)
	f.answer = encode(packet{seq: f.sent, ack: f.next, dst: key.requester, src: key.service, flags: flagAck, data: []byte(text)})
	f.sent += uint32(len(text))
	_, _ = s.conn.WriteToUDPAddrPort(f.answer, s.outbound)
}

// parseRequest returns the id of a request, and whether it is whole.
func parseRequest(b []byte) (id string, whole bool) {
	head, body, found := strings.Cut(string(b), "\r\n\r\n")
	if !found {
		return "", false
	}
	_, size, _ := strings.Cut(head, "Content-Length: ")
	length, err := strconv.Atoi(strings.TrimSpace(size))
	return requestID(head), err == nil && len(body) >= length
}

// requestID returns the id in the head of a request.
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, requestIDHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// reply sends a packet of the flow. The caller holds s.mu.
func (s *server) reply(key flowKey, flags byte, seq, ack uint32, data []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(encode(packet{seq: seq, ack: ack, dst: key.requester, src: key.service, flags: flags, data: data}), s.outbound)
}

// seen returns the packets that have reached the server.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// holds reports whether a flow is open at the server.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows[key] != nil && s.flows[key].open
}
