package responder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// silenceLimit is how long the upstream may take nothing of a request.
	silenceLimit = 4 * time.Second
	// aliveInterval is how long a connection may carry nothing before the kernel probes it, and the interval of probes. The
	// kernel of the upstream answers them however slow the upstream is.
	aliveInterval = 1 * time.Second
	// aliveLimit is how long probes, or data that was sent, may stay unanswered. The kernel looks when a probe is due, which
	// is 4 s after the last sign of life and keeps the promise of 5 s for silent connections. Three probes have been lost by
	// then.
	aliveLimit  = 3500 * time.Millisecond
	aliveProbes = 3
	dialTimeout = 2 * time.Second
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

// upstreamConn is a connection whose reads fail when its kernel probes get no answer, and whose writes also fail when the
// upstream takes nothing.
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
	raw, err := p.dialer().DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "connect to upstream")
	}
	c := &upstreamConn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// dialer opens connections that fail within the promise for silent ones, however long an answer takes.
func (p *Pool) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: aliveInterval, Interval: aliveInterval, Count: aliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			// While data is unacknowledged the kernel sends no keep-alive probes, and would send the data again for minutes.
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(aliveLimit.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
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
	// A connection that the kernel gave up has timed out too, and has ended.
	c.ended = !errors.Is(err, os.ErrDeadlineExceeded)
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
	return !c.ended && c.SetReadDeadline(time.Time{}) == nil
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
