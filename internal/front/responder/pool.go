package responder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// upstreamWriteTimeout bounds each write of a request to the upstream.
	upstreamWriteTimeout = 4 * time.Second
	// tcpKeepAliveInterval is the idle time before the kernel sends the first keep-alive probe, and the interval of probes.
	// The kernel of the upstream answers them even if the upstream process is slow.
	tcpKeepAliveInterval = 1 * time.Second
	// tcpUserTimeout is how long probes or sent data may stay unacknowledged. The kernel checks it when a probe is due, which is
	// 4 s after the last packet received. This meets the limit of 5 s for detecting a silent connection. Three probes have been
	// lost by then.
	tcpUserTimeout     = 3500 * time.Millisecond
	tcpKeepAliveProbes = 3
	// dialTimeout bounds the wait for a connection to the upstream.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is how long an idle connection is kept. Servers commonly keep idle connections for 5 s or longer, so a
	// connection that the upstream closes earlier indicates a restart.
	idleConnTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections; further ones are closed. One is enough to learn of a restart, and the others replace it
	// when its time has passed.
	maxIdleConns = 4
)

// Pool opens the HTTP/1.1 connections to one upstream, and watches some of them after their request for the end of the upstream. The
// exported fields are set before first use.
type Pool struct {
	Address netip.AddrPort
	// OnUnexpectedClose is called when the upstream ends an idle connection unexpectedly.
	OnUnexpectedClose func()

	mu     sync.Mutex
	idle   []*upstreamConn
	closed bool
}

// upstreamConn is a connection to the upstream. Reads and writes fail when keep-alive probes get no answer, and writes also
// fail when the upstream accepts no data for upstreamWriteTimeout.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// idleTimer closes the connection when it has been idle for idleConnTimeout.
	idleTimer *time.Timer
}

// Write fails if the upstream does not accept the data within upstreamWriteTimeout.
func (c *upstreamConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(upstreamWriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// dial opens a connection for one request.
func (p *Pool) dial(ctx context.Context) (*upstreamConn, error) {
	raw, err := p.dialer().DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "connect to upstream")
	}
	c := &upstreamConn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// dialer opens connections on which a silent peer is detected within 5 s, without a limit on the time to an answer.
func (p *Pool) dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveInterval, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			// While data is unacknowledged the kernel sends no keep-alive probes. Without this option it would retransmit the
			// data for minutes.
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, sockoptErr)
		},
	}
}

// watch keeps a connection whose request has been answered, to learn of a restart of the upstream from its end. It is used for no
// further request: an upstream that sends an answer twice, the second time late, would answer another caller with it.
func (p *Pool) watch(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns || c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleTimer = time.AfterFunc(idleConnTimeout, func() { p.removeIdle(c) })
	p.idle = append(p.idle, c)
	go p.awaitEnd(c)
}

// awaitEnd waits until an idle connection ends or is closed. Bytes that nobody asked for are no sign of a restart.
func (p *Pool) awaitEnd(c *upstreamConn) {
	n, _ := c.Conn.Read(make([]byte, 1))
	if p.removeIdle(c) && n == 0 && p.OnUnexpectedClose != nil {
		p.OnUnexpectedClose()
	}
}

// removeIdle closes an idle connection. It returns false if the connection is no longer idle.
func (p *Pool) removeIdle(c *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.idleTimer.Stop()
			_ = c.Close()
			return true
		}
	}
	return false
}

// CloseIdle closes all idle connections. It is called when a connection to the same upstream has gone silent.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.idleTimer.Stop()
		_ = c.Close()
	}
}

// Close closes the idle connections and keeps no further ones.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
