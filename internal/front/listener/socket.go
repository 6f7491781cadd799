package listener

import (
	"net/netip"

	"github.com/lesismal/nbio"

	"github.com/peridotstage/peridotstage/internal/front/poller"
)

// socket is a polled socket with the handler of its datagrams.
type socket struct {
	*poller.Socket
	receive receiver
}

// receiver handles the datagram that a scratch holds.
type receiver func(from netip.AddrPort, sc *scratch)

// openSockets opens n sockets that share one address. If one cannot be opened, it closes the others and returns the error.
func openSockets(e *nbio.Engine, n int, local netip.AddrPort, receive receiver) ([]*socket, error) {
	var opened []*socket
	for range n {
		s, err := openSocket(e, local, receive)
		if err != nil {
			closeAll(opened)
			return nil, err
		}
		opened = append(opened, s)
	}
	return opened, nil
}

func openSocket(e *nbio.Engine, local netip.AddrPort, receive receiver) (*socket, error) {
	polled, err := poller.Bind(local)
	if err != nil {
		return nil, err
	}
	s := &socket{Socket: polled, receive: receive}
	return s, s.Poll(e, s)
}

func closeAll(sockets []*socket) {
	for _, s := range sockets {
		s.Close()
	}
}
