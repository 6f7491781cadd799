package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router selects the entry for each packet, as the platform's routers do. Entries that miss two probes leave the rotation.
type router struct {
	rec     *record
	entries []netip.AddrPort
	ready   []netip.AddrPort

	mu     sync.Mutex
	missed []int
}

func (d *deployment) newRouter(machines ...int) *router {
	r := &router{rec: d.rec, missed: make([]int, len(machines))}
	for i, n := range machines {
		r.entries, r.ready = append(r.entries, d.address(n, portDatagram)), append(r.ready, d.address(n, portReady))
		r.missed[i] = 2
		go r.probe(i)
	}
	return r
}

// probe probes an entry twice a second, until the program ends.
func (r *router) probe(i int) {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(500 * time.Millisecond) {
		a, err := client.Get("http://" + r.ready[i].String() + "/ready")
		isReady := err == nil && a.StatusCode == http.StatusOK
		if err == nil {
			_ = a.Body.Close()
		}
		r.mu.Lock()
		wasIn := r.missed[i] < 2
		if r.missed[i]++; isReady {
			r.missed[i] = 0
		}
		isIn := r.missed[i] < 2
		r.mu.Unlock()
		if wasIn != isIn {
			r.rec.add("router: entry %v in rotation: %v", r.entries[i], isIn)
		}
	}
}

// inRotation returns the number of entries in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.missed {
		if m < 2 {
			n++
		}
	}
	return n
}

// entryFor returns the index of the entry for a flow: the one with the highest hash among those in rotation, or among all if there are none.
func (r *router) entryFor(k flowKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestScore := 0, uint64(0)
	for _, onlyReady := range []bool{true, false} {
		for i, e := range r.entries {
			if onlyReady && r.missed[i] >= 2 {
				continue
			}
			h := fnv.New64a()
			_, _ = h.Write([]byte(k.String() + e.String()))
			if score := h.Sum64(); score >= bestScore {
				best, bestScore = i, score
			}
		}
		if bestScore > 0 {
			break
		}
	}
	return best
}

// requester is a stand-in for a requester.
type requester struct {
	rec    *record
	router *router
	conn   *net.UDPConn
	addr   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*clientFlow
}

// clientFlow is a flow at its requester.
type clientFlow struct {
	r   *requester
	key flowKey
	in  chan packet
	// seq is the next sequence number that the requester sends, and peer the next one that it expects.
	seq, peer uint32
	// sentAt is when the first opening packet was sent.
	sentAt time.Time
	// entry is the index of the entry that got the newest packet.
	entry  int
	resets int
}

func (d *deployment) newRequester(r *router) (*requester, error) {
	a := d.address(requesterHost, portDatagram)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	q := &requester{rec: d.rec, router: r, conn: conn, addr: a.Addr(), port: 20_000, flows: map[flowKey]*clientFlow{}}
	go q.receive()
	return q, nil
}

func (q *requester) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := q.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok, intact := decode(bytes.Clone(b[:n]))
		if !ok {
			continue
		}
		q.mu.Lock()
		f := q.flows[flowKey{p.dst, p.src}]
		q.mu.Unlock()
		if f == nil {
			continue
		}
		if !intact && p.flags&flagReset == 0 {
			q.rec.add("requester got an altered packet of flow %v", f.key)
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// open opens a flow to a route. It returns nil if no server accepts it.
func (q *requester) open(route netip.AddrPort) *clientFlow {
	q.mu.Lock()
	q.port++
	key := flowKey{netip.AddrPortFrom(q.addr, q.port), route}
	f := &clientFlow{r: q, key: key, in: make(chan packet, 64), seq: rand.Uint32(), sentAt: time.Now()}
	q.flows[key] = f
	q.mu.Unlock()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := range 3 {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(i)})
		timer := time.NewTimer(copies[i+1] - copies[i])
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.flags&flagReset != 0 {
					timer.Stop()
					q.rec.add("flow %v: reset while it opens", key)
					q.forget(f)
					return nil
				}
				if p.flags&flagSyn != 0 && p.ack == f.seq+1 {
					timer.Stop()
					f.seq++
					f.peer = p.seq + 1
					return f
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	q.rec.add("flow %v: no server accepts it", key)
	q.forget(f)
	return nil
}

func (q *requester) forget(f *clientFlow) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.flows, f.key)
}

// send sends a packet of the flow through the entry that the router selects.
func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.requester, f.key.route
	f.entry = f.r.router.entryFor(f.key)
	_, _ = f.r.conn.WriteToUDPAddrPort(p.encode(), f.r.router.entries[f.entry])
}

// request sends a request with a body of a size and returns the answer; empty if there is none within the time budget.
func (f *clientFlow) request(id string, size int, budget time.Duration) string {
	text := fmt.Sprintf("POST / HTTP/1.1\r\nX-Peridotstage-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", id, size)
	data := append([]byte(text), bytes.Repeat([]byte("x"), size)...)
	f.r.rec.add("request %s sent on flow %v (%d bytes)", id, f.key, len(data))
	acked, end := f.seq, f.seq+uint32(len(data))
	deadline, interval := time.Now().Add(budget), 200*time.Millisecond
	var answer []byte
	for time.Now().Before(deadline) {
		for s := acked; s != end; {
			n := min(maxData, int(end-s))
			from := len(data) - int(end-s)
			f.send(packet{flags: flagAck, seq: s, ack: f.peer, data: data[from : from+n]})
			s += uint32(n)
		}
		if acked == end {
			f.send(packet{flags: flagAck, seq: end, ack: f.peer})
		}
		timer := time.NewTimer(min(interval, time.Until(deadline)))
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.flags&flagReset != 0 {
					f.resets++
					f.r.rec.add("flow %v: reset", f.key)
					return ""
				}
				if int32(p.ack-acked) > 0 && int32(end-p.ack) >= 0 {
					acked = p.ack
				}
				if len(p.data) > 0 && p.seq == f.peer {
					answer = append(answer, p.data...)
					f.peer += uint32(len(p.data))
					timer.Stop()
					f.seq = end
					f.send(packet{flags: flagAck, seq: end, ack: f.peer})
					f.r.rec.add("request %s answered: %q", id, answer[bytes.LastIndexByte(answer, '\n')+1:])
					return string(answer)
				}
			case <-timer.C:
				waiting = false
			}
		}
		interval = min(2*interval, 1600*time.Millisecond)
	}
	f.r.rec.add("request %s: no answer within %v", id, budget)
	return ""
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(packet{flags: flagFin | flagAck, seq: f.seq, ack: f.peer})
	f.r.forget(f)
}
