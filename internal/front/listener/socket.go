package listener

import (
	"net/netip"

	"github.com/lesismal/nbio"

	"github.com/peridotstage/peridotstage/internal/front/poller"
)

// socket is a polled socket with what is done with its datagrams.
type socket struct {
	*poller.Socket
	receive receiver
}

// receiver takes the datagram that a scratch holds.
type receiver func(from netip.AddrPort, sc *scratch)

// openSockets opens n sockets that share one address, or none.
func openSockets(e *nbio.Engine, n int, local netip.AddrPort, receive receiver) ([]*socket, error) {
	var all []*socket
	for range n {
		s, err := openSocket(e, local, receive)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func openSocket(e *nbio.Engine, local netip.AddrPort, receive receiver) (*socket, error) {
	polled, err := poller.Bind(local)
	if err != nil {
		return nil, err
	}
	s := &socket{Socket: polled, receive: receive}
	return s, s.Poll(e, s)
}

func closeAll(all []*socket) {
	for _, s := range all {
		s.Close()
	}
}
