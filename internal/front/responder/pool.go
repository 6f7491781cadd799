package responder

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// silenceLimit is how long the upstream may send nothing, or take nothing, while a request is in progress. It keeps the
	// promise of 5 s for silent connections. An upstream with longer requests sends interim responses (RFC 9110, section
	// 15.2), each of which is a sign of life.
	silenceLimit = 4 * time.Second
	dialTimeout  = 2 * time.Second
	// reuseWithin is how long an idle connection stays in use. Servers commonly keep idle connections for 5 s and longer, so
	// a connection that ends before is a sign of a restart.
	reuseWithin = 2 * time.Second
	maxIdle     = 16
)

// Pool holds the HTTP/1.1 connections to one upstream. The exported fields are set before first use.
type Pool struct {
	Address netip.AddrPort
	// Broken is called when the upstream ends an idle connection unexpectedly.
	Broken func()

	mu     sync.Mutex
	idle   []*upstreamConn
	closed bool
}

// upstreamConn is a connection whose reads and writes fail when the upstream is silent.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// watched is closed when the watch of the idle connection has ended.
	watched chan struct{}
	// ended is true if the watch found that the connection has ended. It may be read once watched is closed.
	ended bool
	// retire closes the connection when it has been idle too long.
	retire *time.Timer
}

// Read reads within the silence limit.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes within the silence limit.
func (c *upstreamConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(silenceLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// take returns an idle connection, or a new one if there is none or fresh is true.
func (p *Pool) take(ctx context.Context, fresh bool) (*upstreamConn, error) {
	for !fresh {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.unwatch() {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "connect to upstream")
	}
	c := &upstreamConn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// put keeps a connection for later requests.
func (p *Pool) put(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle || c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.watched = make(chan struct{})
	c.retire = time.AfterFunc(reuseWithin, func() { p.drop(c) })
	p.idle = append(p.idle, c)
	go p.watch(c)
}

// watch notices the end of an idle connection.
func (p *Pool) watch(c *upstreamConn) {
	_, err := c.Conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		c.ended = true
	}
	close(c.watched)
	if c.ended && p.drop(c) && p.Broken != nil {
		p.Broken()
	}
}

// drop closes an idle connection. It returns false if the connection is not idle any more.
func (p *Pool) drop(c *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.retire.Stop()
			_ = c.Close()
			return true
		}
	}
	return false
}

// unwatch ends the watch. It returns false if the connection cannot be used.
func (c *upstreamConn) unwatch() bool {
	c.retire.Stop()
	// A deadline in the past ends the read of the watch.
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-c.watched
	return !c.ended
}

// Forget closes all idle connections, because one of their kind went silent.
func (p *Pool) Forget() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.retire.Stop()
		_ = c.Close()
	}
}

// Close closes the idle connections and keeps no further ones.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Forget()
}
