package responder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// defaultTimeout is the time until the deadline of a request without a Request-Deadline header.
	defaultTimeout = 30 * time.Second
	// maxTimeout is the longest time until the deadline of a request.
	maxTimeout = 10 * time.Minute
	// maxClaimedBody bounds the body of a claimed request, which is held in memory for its hash.
	maxClaimedBody = 1 << 20
	// maxBody bounds a streamed body.
	maxBody = 1 << 30
	// connEndWait is how long to wait, after a stream has ended, for the end of its connection. An ended connection means a
	// disconnect, an open one means that the caller cancelled the request.
	connEndWait = 50 * time.Millisecond
)

// Reasons for which a request is not accepted.
var (
	errDeadlineHeader = eris.New("Request-Deadline must be a time in Unix milliseconds")
	errBodyTooLarge   = eris.New("body is too large")
	errNoContract     = eris.New("no contract covers the caller")
	errBodyIncomplete = eris.New("body ends early")
)

// Customers finds the customer of a source address and reports whether the agent may serve.
type Customers interface {
	Allowed(addr netip.Addr) (registrar.CustomerName, bool)
	// MayPass reports whether the agent holds a lease and its zone is not withdrawn.
	MayPass(now time.Time) bool
}

// Handler translates between HTTP requests of callers and the decisions of the dispatcher. The exported fields are set
// before first use.
type Handler struct {
	Service    registrar.ServiceName
	Customers  Customers
	Dispatcher *dispatcher.Dispatcher
	Pool       *Pool

	inFlight atomic.Int64
	active   activeRequests
}

// Update cancels the requests of callers that may no longer use the agent. Otherwise a claimed request would continue at
// the upstream after its connection has closed, and a queued request would still be sent there.
func (h *Handler) Update(*registrar.World) {
	h.active.cancelIf(func(callerAddr netip.Addr) bool { return !h.allowed(callerAddr) })
}

func (h *Handler) allowed(callerAddr netip.Addr) bool {
	_, ok := h.Customers.Allowed(callerAddr)
	return ok
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// connKey is the key of the connection's context in the context of a request.
type connKey struct{}

// withConn returns ctx with the context of a connection as a value.
func withConn(ctx, conn context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	req, x, d := h.accept(w, r)
	if d.Reason != nil {
		writeDecision(w, d)
		return
	}
	ctx, cancel := requestContext(r.Context(), req)
	defer cancel()
	defer h.active.add(x.callerAddr, cancel)()
	// The check runs right before the request is sent to the upstream. While the request was queued, the customer may have
	// been cut off, the zone withdrawn or the lease expired.
	x.mayForward = func() bool {
		if h.Customers.MayPass(time.Now()) && h.allowed(x.callerAddr) {
			return true
		}
		cancel()
		return false
	}
	d = h.Dispatcher.Dispatch(ctx, req, x)
	switch {
	case d.AnswerStarted && d.Outcome != dispatcher.Done:
		// The stream is reset, so that the caller does not take a partial answer for a complete one.
		panic(http.ErrAbortHandler)
	case d.AnswerStarted:
	case d.StoredAnswer != nil:
		writeAnswer(w, d.StoredAnswer)
	default:
		writeDecision(w, d)
	}
}

// requestContext returns a context that ends at the request's deadline or when the caller cancels the request. A claimed request
// continues when the whole connection has ended, because the caller may resend it on another connection to get the answer.
func requestContext(caller context.Context, req dispatcher.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), req.Deadline)
	stop := context.AfterFunc(caller, func() {
		if req.Class != dispatcher.Claimed || !connEnded(caller) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func connEnded(caller context.Context) bool {
	conn, ok := caller.Value(connKey{}).(context.Context)
	if !ok {
		return false
	}
	t := time.NewTimer(connEndWait)
	defer t.Stop()
	select {
	case <-conn.Done():
		return true
	case <-t.C:
		return false
	}
}

// accept checks a request and builds the dispatcher's input. The decision has a reason if the request is not accepted.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (dispatcher.Request, *exchange, dispatcher.Decision) {
	now := time.Now()
	key := r.Header.Get(keyHeader)
	refuse := func(reason error) (dispatcher.Request, *exchange, dispatcher.Decision) {
		return dispatcher.Request{}, nil, dispatcher.Decision{Outcome: refusedOutcome(key, reason), Reason: reason}
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return refuse(errNoContract)
	}
	callerAddr := remote.Addr().Unmap()
	customer, ok := h.Customers.Allowed(callerAddr)
	if !ok {
		return refuse(errNoContract)
	}
	deadline, err := parseDeadline(now, r.Header)
	if err != nil {
		return refuse(err)
	}
	req := dispatcher.Request{Class: dispatcher.ClassOf(r.Method, key), Customer: customer, Deadline: deadline}
	if req.Class == dispatcher.Safe && hasBody(r) {
		// A streamed body cannot be sent twice.
		req.Class = dispatcher.Once
	}
	x := &exchange{pool: h.Pool, w: w, r: r, callerAddr: callerAddr, class: req.Class}
	if req.Class == dispatcher.Claimed {
		if err := h.readClaim(now, r, x, &req); err != nil {
			return refuse(err)
		}
	} else {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	}
	x.deadline = req.Deadline
	return req, x, dispatcher.Decision{}
}

// refusedOutcome returns the outcome of a request that is not accepted. With an idempotency key, an earlier attempt
// may have run, unless the reason applies to every attempt.
func refusedOutcome(key string, reason error) dispatcher.Outcome {
	if key == "" || errors.Is(reason, claimer.ErrKey) || errors.Is(reason, errBodyTooLarge) {
		return dispatcher.NotRun
	}
	return dispatcher.Unknown
}

// hasBody reports whether a request has a body. HTTP/3 requests may have a body without a Content-Length.
func hasBody(r *http.Request) bool {
	if r.ContentLength >= 0 {
		return r.ContentLength > 0
	}
	first := make([]byte, 1)
	if n, err := io.ReadFull(r.Body, first); n == 0 && errors.Is(err, io.EOF) {
		r.ContentLength = 0
		return false
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(first), r.Body))
	return true
}

func parseDeadline(now time.Time, h http.Header) (time.Time, error) {
	values := h.Values(deadlineHeader)
	if len(values) == 0 {
		return now.Add(defaultTimeout), nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms <= 0 {
		return time.Time{}, errDeadlineHeader
	}
	deadline := time.UnixMilli(ms)
	if latest := now.Add(maxTimeout); deadline.After(latest) {
		deadline = latest
	}
	return deadline, nil
}

// readClaim reads the whole body of a request with an idempotency key into x, and sets the key, digest and deadlines of req.
func (h *Handler) readClaim(now time.Time, r *http.Request, x *exchange, req *dispatcher.Request) error {
	if len(r.Header.Values(keyHeader)) > 1 {
		return claimer.ErrKey
	}
	key := r.Header.Get(keyHeader)
	deadline, err := claimer.ParseKey(now, key)
	if err != nil {
		return err
	}
	if x.body, err = io.ReadAll(io.LimitReader(r.Body, maxClaimedBody+1)); err != nil {
		return errBodyIncomplete
	}
	if len(x.body) > maxClaimedBody {
		return errBodyTooLarge
	}
	req.Key = claimer.RequestKey{Service: h.Service, Customer: req.Customer, Key: key}
	req.KeyDeadline = deadline
	if deadline.Before(req.Deadline) {
		req.Deadline = deadline
	}
	req.Digest = digest(r, x.body)
	return nil
}

// digest hashes the parts of a request that determine what the upstream does.
func digest(r *http.Request, body []byte) claimer.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %q %q\n", r.Method, r.Host, r.URL.RequestURI(), r.Header.Values("Content-Type"))
	_, _ = hash.Write(body)
	return claimer.Digest(hash.Sum(nil))
}

// statuses maps the reasons of decisions to HTTP status codes.
var statuses = []struct {
	reason error
	status int
}{
	{errNoContract, http.StatusForbidden},
	{errDeadlineHeader, http.StatusBadRequest},
	{claimer.ErrKey, http.StatusBadRequest},
	{claimer.ErrTooFar, http.StatusBadRequest},
	{errBodyIncomplete, http.StatusBadRequest},
	{errBodyTooLarge, http.StatusRequestEntityTooLarge},
	{dispatcher.ErrConflict, http.StatusConflict},
	{dispatcher.ErrVoid, http.StatusGone},
	{dispatcher.ErrNoClaim, http.StatusServiceUnavailable},
	{dispatcher.ErrNoAnswer, http.StatusBadGateway},
	{dispatcher.ErrUpstream, http.StatusBadGateway},
	{dispatcher.ErrCaller, http.StatusRequestTimeout},
	{limiter.ErrFull, http.StatusServiceUnavailable},
	{limiter.ErrCancelled, http.StatusRequestTimeout},
	{limiter.ErrDeadline, http.StatusGatewayTimeout},
}

// writeDecision sends the outcome of a request that has no answer of the upstream, with its reason.
func writeDecision(w http.ResponseWriter, d dispatcher.Decision) {
	status := http.StatusInternalServerError
	for _, s := range statuses {
		if errors.Is(d.Reason, s.reason) {
			status = s.status
			break
		}
	}
	w.Header().Set(outcomeHeader, string(d.Outcome))
	http.Error(w, fmt.Sprintf("%s: %v", d.Outcome, d.Reason), status)
}
