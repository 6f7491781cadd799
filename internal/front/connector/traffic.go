package connector

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes that calls send and receive, including the overhead of TLS but not that of TCP.
type Traffic struct {
	sent, received atomic.Uint64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countingConn is a connection that adds its bytes to traffic and total.
type countingConn struct {
	net.Conn
	traffic *Traffic
	total   *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	c.total.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	c.total.sent.Add(uint64(n))
	return n, err
}

// connectTimeout bounds the wait for a TCP connection. It is longer than the round trip between regions. A machine that is not
// powered on does not answer, and the kernel retransmits the SYN only after a second.
const connectTimeout = 300 * time.Millisecond

// dial opens a connection that counts its bytes in c.Traffic and c.Total, and fails if nothing arrives for clientReadTimeout.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	total := c.Total
	if total == nil {
		total = &Traffic{}
	}
	counted := &countingConn{Conn: &timeoutConn{Conn: raw, readTimeout: clientReadTimeout}, traffic: &c.Traffic, total: total}
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
