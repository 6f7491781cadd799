package responder

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// relayIdle closes the socket of a plain UDP flow after this time without an answer of the upstream.
const relayIdle = 120 * time.Second

// relay carries plain UDP flows to the upstream over one socket a flow.
type relay struct {
	upstream netip.AddrPort
	answer   func(caller netip.AddrPort, payload []byte)
	tracker  *tracker.Tracker

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
}

func newRelay(upstream netip.AddrPort, answer func(netip.AddrPort, []byte), t *tracker.Tracker) *relay {
	return &relay{upstream: upstream, answer: answer, tracker: t, flows: map[netip.AddrPort]*net.UDPConn{}}
}

func (r *relay) deliver(caller netip.AddrPort, payload []byte) {
	r.mu.Lock()
	conn := r.flows[caller]
	if conn == nil {
		var err error
		if conn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.upstream)); err != nil {
			r.mu.Unlock()
			return
		}
		r.flows[caller] = conn
		go r.receive(caller, conn)
	}
	r.mu.Unlock()
	_, _ = conn.Write(payload)
}

func (r *relay) receive(caller netip.AddrPort, conn *net.UDPConn) {
	defer func() {
		r.mu.Lock()
		delete(r.flows, caller)
		r.mu.Unlock()
		_ = conn.Close()
		r.tracker.Close(registrar.Flow{Caller: caller})
	}()
	b := make([]byte, maxDatagram)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(relayIdle)); err != nil {
			return
		}
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		r.answer(caller, b[:n])
	}
}
