package responder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
)

// repeatingUpstream answers each request with its path, after answerTime, and sends the answer a second time, repeatTime after the
// first.
type repeatingUpstream struct {
	net.Listener
	answerTime, repeatTime time.Duration
	wg                     sync.WaitGroup
}

func (u *repeatingUpstream) run() {
	u.wg.Go(func() {
		for {
			c, err := u.Accept()
			if err != nil {
				return
			}
			u.wg.Go(func() { u.serve(c) })
		}
	})
}

func (u *repeatingUpstream) serve(c net.Conn) {
	defer c.Close()
	var repeats sync.WaitGroup
	defer repeats.Wait()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		time.Sleep(u.answerTime)
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
		repeats.Go(func() {
			time.Sleep(u.repeatTime)
			_, _ = c.Write([]byte(answer))
		})
	}
}

// TestAnswerTwice guards against a caller that gets the answer to the request of another: the upstream sends its answers twice, and the
// second copy of one arrives while the next request waits for its own. It also guards against taking the copy for a restart.
func TestAnswerTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &repeatingUpstream{Listener: ln, answerTime: 30 * time.Millisecond, repeatTime: 15 * time.Millisecond}
	u.run()
	var restarts atomic.Int32
	p := &Pool{Address: ln.Addr().(*net.TCPAddr).AddrPort(), OnUnexpectedClose: func() { restarts.Add(1) }}
	for i := range 10 {
		path := fmt.Sprint("/", i)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://order-desk"+path, nil)
		w := httptest.NewRecorder()
		x := &exchange{pool: p, w: w, r: r, class: dispatcher.Safe, deadline: time.Now().Add(5 * time.Second), callerAddr: netip.MustParseAddr("127.0.0.1")}
		require.True(t, x.Forward(ctx).AnswerComplete)
		cancel()
		require.Equal(t, path, w.Body.String())
	}
	time.Sleep(2 * u.repeatTime)
	require.Zero(t, restarts.Load(), "a second copy of an answer counted as a restart")
	p.Close()
	require.NoError(t, ln.Close())
	u.wg.Wait()
}

// TestBrokenAnswer guards against an answer that breaks off halfway and is passed on as a complete one.
func TestBrokenAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunk cut":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf",
		"last chunk missing":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head cut":                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = c.Write([]byte(answer))
			})
			p := &Pool{Address: ln.Addr().(*net.TCPAddr).AddrPort()}
			defer p.Close()
			r := httptest.NewRequest(http.MethodGet, "http://order-desk/stock", nil)
			x := &exchange{pool: p, w: httptest.NewRecorder(), r: r, class: dispatcher.Safe, deadline: time.Now().Add(time.Second)}
			require.False(t, x.Forward(context.Background()).AnswerComplete)
		})
	}
}
