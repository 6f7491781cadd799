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
	// outcomeHeader tells a caller how its request ended. On an answer of the upstream the header is valid once the
	// whole answer has arrived; an answer that is cut short means that the outcome is unknown.
	outcomeHeader = "Request-Outcome"
	// deadlineHeader holds the deadline of a request in Unix milliseconds.
	deadlineHeader = "Request-Deadline"
	// keyHeader holds the idempotency key of a request.
	keyHeader = "Idempotency-Key"
	// copyBufferSize is the size in bytes of the buffers between caller and upstream.
	copyBufferSize = 32 << 10
)

// hopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1).
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

// exchange forwards one request of a caller to the upstream.
type exchange struct {
	pool *Pool
	w    http.ResponseWriter
	r    *http.Request
	// callerAddr is the address of the caller.
	callerAddr netip.Addr
	// mayForward reports whether the request may be sent to the upstream now; nil means always.
	mayForward func() bool
	class      dispatcher.Class
	deadline   time.Time
	// body is the whole body of a claimed request; other bodies are streamed.
	body []byte
}

// Forward sends the request to the upstream and copies the answer to the caller.
func (x *exchange) Forward(ctx context.Context) dispatcher.ForwardResult {
	conn, err := x.pool.dial(ctx)
	if err != nil {
		return dispatcher.ForwardResult{Result: lostOrAbandoned(ctx)}
	}
	if x.mayForward != nil && !x.mayForward() {
		_ = conn.Close()
		return dispatcher.ForwardResult{Result: limiter.Abandoned}
	}
	// HTTP/1.1 has no other way to cancel a request than to close the connection.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	result, staysOpen := x.roundTrip(ctx, conn)
	if stop() && staysOpen {
		x.pool.watch(conn)
	} else {
		_ = conn.Close()
	}
	return result
}

func lostOrAbandoned(ctx context.Context) limiter.Result {
	if ctx.Err() != nil {
		return limiter.Abandoned
	}
	return limiter.Lost
}

func (x *exchange) roundTrip(ctx context.Context, conn *upstreamConn) (result dispatcher.ForwardResult, staysOpen bool) {
	result.Reached = true
	out := x.upstreamRequest()
	callerBody := &bodyReader{Reader: out.Body}
	out.Body = callerBody
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	w := bufio.NewWriterSize(conn, copyBufferSize)
	err := out.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		result.Result = lostOrAbandoned(ctx)
		if callerBody.err != nil {
			result.Result = limiter.Abandoned
		}
		return result, false
	}
	resp, err := readFinalAnswer(conn.reader, out)
	if err != nil {
		result.Result = lostOrAbandoned(ctx)
		if isTimeout(err) {
			x.pool.CloseIdle()
		}
		return result, false
	}
	defer resp.Body.Close()
	removeHopHeaders(resp.Header)
	resp.Header.Set(outcomeHeader, string(dispatcher.Done))
	x.copyAnswer(ctx, resp, &result)
	return result, result.AnswerComplete && !resp.Close
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// upstreamRequest builds the request to the upstream.
func (x *exchange) upstreamRequest() *http.Request {
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

// bodyReader records an error in reading the body from the caller, to tell it from an error of the upstream connection.
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

// Close does nothing, because the HTTP/3 server closes the body.
func (b *bodyReader) Close() error { return nil }

// readFinalAnswer returns the final answer and skips informational (1xx) ones.
func readFinalAnswer(r *bufio.Reader, req *http.Request) (*http.Response, error) {
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
func (x *exchange) copyAnswer(ctx context.Context, resp *http.Response, result *dispatcher.ForwardResult) {
	result.Result = limiter.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		result.Result = limiter.Failed
	}
	var prefix []byte
	if x.class == dispatcher.Claimed {
		// A claimed answer is read whole if it can be stored, so that a resend gets it even if the caller has disconnected.
		var err error
		prefix, err = io.ReadAll(io.LimitReader(resp.Body, claimer.MaxStored+1))
		if err != nil {
			result.Result = lostOrAbandoned(ctx)
			return
		}
		if len(prefix) <= claimer.MaxStored {
			result.AnswerComplete, result.AnswerStarted = true, true
			result.Answer = &claimer.Answer{Status: resp.StatusCode, Header: resp.Header, Body: prefix}
			writeAnswer(x.w, result.Answer)
			return
		}
	}
	result.AnswerStarted = true
	writeHead(x.w, resp.StatusCode, resp.Header, resp.ContentLength)
	if _, err := x.w.Write(prefix); err != nil {
		result.Result = limiter.Abandoned
		return
	}
	x.stream(ctx, resp, result)
}

func (x *exchange) stream(ctx context.Context, resp *http.Response, result *dispatcher.ForwardResult) {
	buffer := make([]byte, copyBufferSize)
	control := http.NewResponseController(x.w)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := x.w.Write(buffer[:n]); writeErr != nil {
				result.Result = limiter.Abandoned
				return
			}
			if resp.ContentLength < 0 {
				// A writer that cannot flush sends the answer when the handler returns.
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			result.AnswerComplete = true
			return
		}
		if err != nil {
			result.Result = lostOrAbandoned(ctx)
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

// writeAnswer sends a complete answer. A write error is ignored: the caller has disconnected and the answer stays valid.
func writeAnswer(w http.ResponseWriter, a *claimer.Answer) {
	writeHead(w, a.Status, a.Header, int64(len(a.Body)))
	_, _ = w.Write(a.Body)
}
