package connector

import (
	"net"
	"time"
)

// A connection may go silent for good while new ones work, because a middlebox lost track of it. Without traffic neither
// end would notice, so each end closes a connection on which nothing has arrived for its limit. The client's limit is the
// lower one, so that a server does not close a connection on which a call is about to start. Calls are answered well
// within it.
const (
	clientSilence = 4 * time.Second
	serverSilence = 4500 * time.Millisecond
)

// watchedConn fails reads on which nothing arrives for limit.
type watchedConn struct {
	net.Conn
	limit time.Duration
}

// Read reads with the limit.
func (c *watchedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// watchedListener accepts connections with the limit of the server.
type watchedListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, limit: serverSilence}, nil
}
