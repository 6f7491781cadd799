package responder

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
)

// relayIdleTimeout is the time without an answer of the upstream after which the socket of a plain UDP flow is closed.
const relayIdleTimeout = 120 * time.Second

// relay carries plain UDP flows to the upstream over one socket per flow.
type relay struct {
	upstream   netip.AddrPort
	sendAnswer func(caller netip.AddrPort, payload []byte)
	tracker    *tracker.Tracker
	// meter may be nil, which counts nothing.
	meter AnswerMeter

	buffers sync.Pool
	mu      sync.Mutex
	flows   map[netip.AddrPort]*relayFlow
}

// relayFlow is one plain UDP flow.
type relayFlow struct {
	conn       *net.UDPConn
	unanswered unansweredDatagrams
}

func newRelay(upstream netip.AddrPort, sendAnswer func(netip.AddrPort, []byte), t *tracker.Tracker, m AnswerMeter) *relay {
	r := &relay{upstream: upstream, sendAnswer: sendAnswer, tracker: t, meter: m, flows: map[netip.AddrPort]*relayFlow{}}
	r.buffers.New = func() any { b := make([]byte, carrier.MaxDatagram); return &b }
	return r
}

func (r *relay) deliver(caller netip.AddrPort, payload []byte) {
	r.mu.Lock()
	f := r.flows[caller]
	r.mu.Unlock()
	if f == nil {
		// Only the receiving goroutine of the responder opens flows, so no other goroutine opens the same flow concurrently.
		conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.upstream))
		if err != nil {
			r.recordAnswer(caller, 0, true, 1)
			return
		}
		f = &relayFlow{conn: conn}
		r.mu.Lock()
		r.flows[caller] = f
		r.mu.Unlock()
		go r.receive(caller, f)
	}
	f.unanswered.add(time.Now())
	_, _ = f.conn.Write(payload)
}

// closeIf closes the flows whose caller address matches.
func (r *relay) closeIf(match func(netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for caller, f := range r.flows {
		if match(caller.Addr()) {
			_ = f.conn.Close()
		}
	}
}

// closeUntracked closes the flows that the tracker has removed.
func (r *relay) closeUntracked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for caller, f := range r.flows {
		if !r.tracker.Holds(caller) {
			_ = f.conn.Close()
		}
	}
}

func (r *relay) receive(caller netip.AddrPort, f *relayFlow) {
	conn := f.conn
	defer func() {
		r.mu.Lock()
		delete(r.flows, caller)
		r.mu.Unlock()
		_ = conn.Close()
		r.tracker.Close(caller)
	}()
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for {
		if err := conn.SetReadDeadline(time.Now().Add(relayIdleTimeout)); err != nil {
			return
		}
		if err := r.receiveOne(caller, f, raw); err != nil {
			return
		}
	}
}

// receiveOne waits for one datagram. It takes a buffer only when the socket is readable, because one buffer per waiting flow
// would cost 64 KiB each.
func (r *relay) receiveOne(caller netip.AddrPort, f *relayFlow, raw syscall.RawConn) error {
	var recvErr error
	err := raw.Read(func(fd uintptr) bool {
		b := r.buffers.Get().(*[]byte)
		defer r.buffers.Put(b)
		n, _, err := unix.Recvfrom(int(fd), *b, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			return false
		case errors.Is(err, unix.ECONNREFUSED):
			// The upstream is probably restarting, so the flow stays open.
			return true
		case err != nil:
			recvErr = err
			return true
		}
		r.sendAnswer(caller, (*b)[:n])
		f.unanswered.removeAnswered(time.Now(), func(d time.Duration, n int) { r.recordAnswer(caller, d, false, n) })
		return true
	})
	return errors.Join(err, recvErr)
}
