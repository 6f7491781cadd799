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

// Answers that come late.
const (
	LatePrefix = "late"
	LateTime   = time.Second
)

// Echo is a stand-in for an upstream of a plain UDP service. It answers each datagram with its name, the address that it
// sees as the sender, and the datagram. It holds the answer to a datagram that starts with LatePrefix for LateTime. The
// exported fields are set before Run.
type Echo struct {
	Name    string
	Address netip.AddrPort

	// Expect starts every datagram that callers send, apart from late ones.
	Expect string

	conn       *net.UDPConn
	unexpected atomic.Int64
}

// Unexpected returns the number of datagrams that no caller has sent in this form.
func (e *Echo) Unexpected() int64 { return e.unexpected.Load() }

// Run starts answering. Close ends it.
func (e *Echo) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	e.conn = conn
	go e.answer()
	return nil
}

// Close ends the echo.
func (e *Echo) Close() { _ = e.conn.Close() }

func (e *Echo) answer() {
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
