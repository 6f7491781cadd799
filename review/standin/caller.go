package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// caller is a stand-in of the requesters of a zone. All its flows use one address, each with its own port.
type caller struct {
	sys    *system
	router *router
	zone   string
	ip     netip.Addr
	conn   *net.UDPConn

	mu     sync.Mutex
	port   uint16
	queues map[netip.AddrPort]chan packet
	// sentAt has when the first opening packet of each flow was sent.
	sentAt map[flowKey]time.Time
}

// flow is an open flow of a requester.
type flow struct {
	caller   *caller
	key      flowKey
	packets  chan packet
	seq, ack uint32
	sentAt   time.Time
}

func startCaller(sys *system, r *router, n int, zone string) (*caller, error) {
	a := netip.MustParseAddrPort(sys.address(n, datagramPort))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &caller{
		sys: sys, router: r, zone: zone, ip: a.Addr(), conn: conn, port: 20_000,
		queues: map[netip.AddrPort]chan packet{},
	}
	go c.receive()
	return c, nil
}

func (c *caller) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := decode(append([]byte(nil), b[:n]...))
		if err != nil {
			continue
		}
		c.mu.Lock()
		q := c.queues[p.dst]
		c.mu.Unlock()
		if q == nil {
			continue
		}
		select {
		case q <- p:
		default:
		}
	}
}

// newFlow returns a flow with a new port.
func (c *caller) newFlow(service netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{
		caller: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), service}, packets: make(chan packet, 64), seq: rand.Uint32(),
	}
	c.queues[f.key.requester] = f.packets
	return f
}

// send sends a packet through the entry that the router selects now.
func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	_, address := f.caller.router.route(f.key, f.caller.zone)
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	b := encode(packet{seq: seq, ack: ack, dst: f.key.service, src: f.key.requester, flags: flags, data: data})
	_, _ = f.caller.conn.WriteToUDPAddrPort(b, to)
}

// open opens the flow: copies of the opening packet after 200 and 600 ms, and the end after 1.4 s or a reset.
func (f *flow) open() bool {
	f.sentAt = time.Now()
	for attempt, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(flagOpen, f.seq, uint32(attempt), nil)
		p, ok := f.next(wait)
		if !ok {
			continue
		}
		if p.has(flagReset) {
			return false
		}
		f.seq++
		f.ack = p.seq + 1
		f.send(flagAck, f.seq, f.ack, nil)
		return true
	}
	return false
}

// next returns the next packet of the flow that arrives in time.
func (f *flow) next(wait time.Duration) (packet, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// request sends a request with a body and waits for its answer until the time budget has passed. It sends the packets that are not
// acknowledged again after 200 ms, with an interval that doubles up to 1.6 s.
func (f *flow) request(id string, bodySize int, budget time.Duration) (answer string, ok bool) {
	head := fmt.Sprintf("POST /orders HTTP/1.1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", requestIDHeader, id, bodySize)
	text := append([]byte(head), bytes.Repeat([]byte("b"), bodySize)...)
	acked, end := 0, time.Now().Add(budget)
	for interval := 200 * time.Millisecond; time.Now().Before(end); interval = min(2*interval, 1600*time.Millisecond) {
		for offset := acked; offset < len(text); offset += maxData {
			f.send(flagAck, f.seq+uint32(offset), f.ack, text[offset:min(len(text), offset+maxData)])
		}
		for wait := min(time.Until(end), interval); wait > 0; {
			before := time.Now()
			p, got := f.next(wait)
			wait -= time.Since(before)
			if n := int(int32(p.ack - f.seq)); got && n > acked && n <= len(text) {
				acked = n
			}
			if !got || len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.seq += uint32(len(text))
			f.ack += uint32(len(p.data))
			f.send(flagAck, f.seq, f.ack, nil)
			return string(p.data), true
		}
	}
	return "", false
}

// end forgets the flow at the requester.
func (f *flow) end() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	delete(f.caller.queues, f.key.requester)
}
