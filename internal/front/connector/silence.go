package connector

import (
	"net"
	"time"
)

// A middlebox may lose the state of a connection, which then carries no data while new connections work. Neither end is told,
// so each end closes a connection on which it has received nothing for its read timeout. The client's timeout is the shorter
// one, so that a server does not close a connection on which a call is about to start. Calls are answered well within either
// timeout.
const (
	clientReadTimeout = 4 * time.Second
	serverReadTimeout = 4500 * time.Millisecond
)

// timeoutConn is a connection whose reads fail if nothing arrives within readTimeout.
type timeoutConn struct {
	net.Conn
	readTimeout time.Duration
}

// Read implements net.Conn.
func (c *timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// timeoutListener accepts connections that have the server's read timeout.
type timeoutListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, readTimeout: serverReadTimeout}, nil
}
