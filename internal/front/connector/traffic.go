package connector

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of calls on the wire, with the overhead of TLS and without that of TCP.
type Traffic struct {
	sent, received atomic.Uint64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	traffic *Traffic
	total   *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	c.total.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	c.total.sent.Add(uint64(n))
	return n, err
}

// connectTimeout bounds the wait for a TCP connection. It is above the round trip between regions; a machine that has no power
// yet does not answer, and the kernel's second try comes after a second.
const connectTimeout = 300 * time.Millisecond

// dial opens a connection whose bytes are counted in c.Traffic and which fails when nothing arrives for too long.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	total := c.Total
	if total == nil {
		total = &Traffic{}
	}
	counted := &countedConn{Conn: &watchedConn{Conn: raw, limit: clientSilence}, traffic: &c.Traffic, total: total}
	if c.TLS == nil {
		return counted, nil
	}
	cfg := c.TLS().Clone()
	if cfg.ServerName == "" {
		cfg.ServerName = c.Address.Addr().String()
	}
	conn := tls.Client(counted, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}
