package backend

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

// An Echo answers a datagram that starts with LatePrefix only after LateTime.
const (
	LatePrefix = "late"
	LateTime   = time.Second
)

// Echo simulates an upstream of a plain UDP service. It answers each datagram with its own name, the source address of the
// datagram, and the datagram. It delays the answer to a datagram that starts with LatePrefix by LateTime. The exported
// fields must be set before Run.
type Echo struct {
	Name    string
	Address netip.AddrPort

	// Expect is the prefix of every datagram that callers send without LatePrefix.
	Expect string

	conn       *net.UDPConn
	unexpected atomic.Int64
}

// Unexpected returns the number of received datagrams that start with neither Expect nor LatePrefix.
func (e *Echo) Unexpected() int64 { return e.unexpected.Load() }

// Run starts answering datagrams. Close stops it.
func (e *Echo) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	e.conn = conn
	go e.answerDatagrams()
	return nil
}

// Close closes the socket.
func (e *Echo) Close() { _ = e.conn.Close() }

func (e *Echo) answerDatagrams() {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		late := bytes.HasPrefix(b[:n], []byte(LatePrefix))
		if !late && !bytes.HasPrefix(b[:n], []byte(e.Expect)) {
			e.unexpected.Add(1)
		}
		answer := fmt.Appendf(nil, "%s %s %s", e.Name, from, b[:n])
		if !late {
			_, _ = e.conn.WriteToUDPAddrPort(answer, from)
			continue
		}
		time.AfterFunc(LateTime, func() { _, _ = e.conn.WriteToUDPAddrPort(answer, from) })
	}
}
