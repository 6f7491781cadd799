package backend

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Echo is a stand-in for an upstream of a plain UDP service. It answers each datagram with its name, the address that it
// sees as the sender, and the datagram. The exported fields are set before Run.
type Echo struct {
	Name    string
	Address netip.AddrPort

	conn *net.UDPConn
}

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
	b := make([]byte, 64<<10)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_, _ = e.conn.WriteToUDPAddrPort(fmt.Appendf(nil, "%s %s %s", e.Name, from, b[:n]), from)
		}
	}
}
