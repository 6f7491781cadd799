package responder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
)

const (
	// outcomeHeader tells a caller how its request ended. On an answer of the upstream it holds once the whole answer has
	// arrived; an answer that is cut short means that the outcome is unknown.
	outcomeHeader  = "Request-Outcome"
	deadlineHeader = "Request-Deadline"
	keyHeader      = "Idempotency-Key"
	copyBuffer     = 32 << 10
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// exchange passes one request of a caller to the upstream.
type exchange struct {
	pool *Pool
	w    http.ResponseWriter
	r    *http.Request
	// from is the address of the caller.
	from netip.Addr
	// mayPass reports whether the request may go to the upstream now; nil for always.
	mayPass  func() bool
	class    dispatcher.Class
	deadline time.Time
	// body is the whole body of a claimed request; other bodies are streamed.
	body []byte
}

// Pass passes the request on and copies the answer back.
func (x *exchange) Pass(ctx context.Context) dispatcher.Passage {
	// A connection that has been idle may be dead or silent, which would leave the outcome unknown. Requests that cannot be
	// retried therefore get a new one.
	conn, err := x.pool.take(ctx, x.class != dispatcher.Safe)
	if err != nil {
		return dispatcher.Passage{Result: lostUnless(ctx)}
	}
	if x.mayPass != nil && !x.mayPass() {
		_ = conn.Close()
		return dispatcher.Passage{Result: limiter.Abandoned}
	}
	// Closing the connection is how HTTP/1.1 cancels a request.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	p, reusable := x.passOver(ctx, conn)
	if stop() && reusable {
		x.pool.put(conn)
	} else {
		_ = conn.Close()
	}
	return p
}

func lostUnless(ctx context.Context) limiter.Result {
	if ctx.Err() != nil {
		return limiter.Abandoned
	}
	return limiter.Lost
}

func (x *exchange) passOver(ctx context.Context, conn *upstreamConn) (p dispatcher.Passage, reusable bool) {
	p.Reached = true
	out := x.request()
	source := &bodyReader{Reader: out.Body}
	out.Body = source
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	w := bufio.NewWriterSize(conn, copyBuffer)
	err := out.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		p.Result = lostUnless(ctx)
		if source.err != nil {
			p.Result = limiter.Abandoned
		}
		return p, false
	}
	resp, err := readAnswer(conn.reader, out)
	if err != nil {
		p.Result = lostUnless(ctx)
		if isTimeout(err) {
			x.pool.Forget()
		}
		return p, false
	}
	defer resp.Body.Close()
	removeHopHeaders(resp.Header)
	resp.Header.Set(outcomeHeader, string(dispatcher.Done))
	x.copyAnswer(ctx, resp, &p)
	return p, p.Whole && !resp.Close
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// request builds the request to the upstream.
func (x *exchange) request() *http.Request {
	out := &http.Request{
		Method: x.r.Method, URL: &url.URL{Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Host: x.r.Host, Header: x.r.Header.Clone(), Body: x.r.Body, ContentLength: x.r.ContentLength,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if x.class == dispatcher.Claimed {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	removeHopHeaders(out.Header)
	out.Header.Set(deadlineHeader, strconv.FormatInt(x.deadline.UnixMilli(), 10))
	return out
}

// bodyReader remembers that the caller's side of a body failed.
type bodyReader struct {
	io.Reader
	err error
}

// Read reads a part of the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close leaves the body to the server that it came from.
func (b *bodyReader) Close() error { return nil }

// readAnswer returns the final answer and skips interim ones.
func readAnswer(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, http.ErrNotSupported
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// copyAnswer sends the answer to the caller.
func (x *exchange) copyAnswer(ctx context.Context, resp *http.Response, p *dispatcher.Passage) {
	p.Result = limiter.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		p.Result = limiter.Failed
	}
	var head []byte
	if x.class == dispatcher.Claimed {
		// A claimed answer is read whole if it can be stored, so that a resend finds it even if the caller is gone.
		var err error
		head, err = io.ReadAll(io.LimitReader(resp.Body, claimer.MaxStored+1))
		if err != nil {
			p.Result = lostUnless(ctx)
			return
		}
		if len(head) <= claimer.MaxStored {
			p.Whole, p.Begun = true, true
			p.Answer = &claimer.Answer{Status: resp.StatusCode, Header: resp.Header, Body: head}
			writeAnswer(x.w, p.Answer)
			return
		}
	}
	p.Begun = true
	writeHead(x.w, resp.StatusCode, resp.Header, resp.ContentLength)
	if _, err := x.w.Write(head); err != nil {
		p.Result = limiter.Abandoned
		return
	}
	x.stream(ctx, resp, p)
}

func (x *exchange) stream(ctx context.Context, resp *http.Response, p *dispatcher.Passage) {
	buffer := make([]byte, copyBuffer)
	control := http.NewResponseController(x.w)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, werr := x.w.Write(buffer[:n]); werr != nil {
				p.Result = limiter.Abandoned
				return
			}
			if resp.ContentLength < 0 {
				// A writer that cannot flush still sends the answer at its end.
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			p.Whole = true
			return
		}
		if err != nil {
			p.Result = lostUnless(ctx)
			return
		}
	}
}

func writeHead(w http.ResponseWriter, status int, h http.Header, length int64) {
	for name, values := range h {
		w.Header()[name] = values
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// writeAnswer sends a whole answer. The caller may be gone, which is no fault of the answer.
func writeAnswer(w http.ResponseWriter, a *claimer.Answer) {
	writeHead(w, a.Status, a.Header, int64(len(a.Body)))
	_, _ = w.Write(a.Body)
}
