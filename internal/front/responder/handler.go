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
	// defaultTime is the deadline of a request that names none.
	defaultTime = 30 * time.Second
	// longestTime bounds the deadline of a request.
	longestTime = 10 * time.Minute
	// maxClaimedBody bounds the body of a claimed request, which is held in memory for its hash.
	maxClaimedBody = 1 << 20
	// maxBody bounds a streamed body.
	maxBody = 1 << 30
	// closeWait is how long after the end of a stream its connection may be found to have ended too.
	closeWait = 50 * time.Millisecond
)

// Reasons for which a request is not accepted.
var (
	errDeadlineHeader = eris.New("Request-Deadline must be a time in Unix milliseconds")
	errBody           = eris.New("body is too large")
	errCustomer       = eris.New("no contract covers the caller")
	errBodyCut        = eris.New("body ends early")
)

// Customers finds the customer of a source address.
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

// Update ends the requests of callers that may no longer use the agent. A claimed one would go on at the upstream without
// its connection, and a queued one would begin there.
func (h *Handler) Update(*registrar.World) {
	h.active.cancelIf(func(from netip.Addr) bool { return !h.allowed(from) })
}

func (h *Handler) allowed(from netip.Addr) bool {
	_, ok := h.Customers.Allowed(from)
	return ok
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// connKey finds the context of a request's connection in the context of the request.
type connKey struct{}

// withConn remembers the context of a connection.
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
	defer h.active.add(x.from, cancel)()
	// Asked right before the upstream gets anything, since the request may have waited in the queue through a cut, the
	// withdrawal of the zone or the end of the lease.
	x.mayPass = func() bool {
		if h.Customers.MayPass(time.Now()) && h.allowed(x.from) {
			return true
		}
		cancel()
		return false
	}
	d = h.Dispatcher.Dispatch(ctx, req, x)
	switch {
	case d.Begun && d.Outcome != dispatcher.Done:
		// The stream is reset, so that the caller does not take a part for the whole answer.
		panic(http.ErrAbortHandler)
	case d.Begun:
	case d.Stored != nil:
		writeAnswer(w, d.Stored)
	default:
		writeDecision(w, d)
	}
}

// requestContext ends at the request's deadline and when the caller cancels the request. A claimed request goes on when the
// caller's whole connection is gone, since the caller may come back on another one for the answer.
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
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case <-conn.Done():
		return true
	case <-t.C:
		return false
	}
}

// accept reads what the dispatcher has to know. The decision has a reason if the request is not accepted.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (dispatcher.Request, *exchange, dispatcher.Decision) {
	now := time.Now()
	key := r.Header.Get(keyHeader)
	refuse := func(reason error) (dispatcher.Request, *exchange, dispatcher.Decision) {
		return dispatcher.Request{}, nil, dispatcher.Decision{Outcome: refusedOutcome(key, reason), Reason: reason}
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return refuse(errCustomer)
	}
	addr := from.Addr().Unmap()
	customer, ok := h.Customers.Allowed(addr)
	if !ok {
		return refuse(errCustomer)
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
	x := &exchange{pool: h.Pool, w: w, r: r, from: addr, class: req.Class}
	if req.Class == dispatcher.Claimed {
		if err := h.claim(now, r, x, &req); err != nil {
			return refuse(err)
		}
	} else {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	}
	x.deadline = req.Deadline
	return req, x, dispatcher.Decision{}
}

// refusedOutcome returns the outcome of a request that is not accepted. With a key, an earlier attempt may have run, unless
// the reason holds for every attempt.
func refusedOutcome(key string, reason error) dispatcher.Outcome {
	if key == "" || errors.Is(reason, claimer.ErrKey) || errors.Is(reason, errBody) {
		return dispatcher.NotRun
	}
	return dispatcher.Unknown
}

// hasBody reports whether a request has a body. HTTP/3 requests need not say so in their header.
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
		return now.Add(defaultTime), nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms <= 0 {
		return time.Time{}, errDeadlineHeader
	}
	deadline := time.UnixMilli(ms)
	if latest := now.Add(longestTime); deadline.After(latest) {
		deadline = latest
	}
	return deadline, nil
}

// claim reads the whole body of a request with an idempotency key and identifies the request.
func (h *Handler) claim(now time.Time, r *http.Request, x *exchange, req *dispatcher.Request) error {
	if len(r.Header.Values(keyHeader)) > 1 {
		return claimer.ErrKey
	}
	key := r.Header.Get(keyHeader)
	deadline, err := claimer.ParseKey(now, key)
	if err != nil {
		return err
	}
	if x.body, err = io.ReadAll(io.LimitReader(r.Body, maxClaimedBody+1)); err != nil {
		return errBodyCut
	}
	if len(x.body) > maxClaimedBody {
		return errBody
	}
	req.Key = claimer.RequestKey{Service: h.Service, Customer: req.Customer, Key: key}
	req.KeyDeadline = deadline
	if deadline.Before(req.Deadline) {
		req.Deadline = deadline
	}
	req.Digest = digest(r, x.body)
	return nil
}

// digest hashes what the upstream acts on.
func digest(r *http.Request, body []byte) claimer.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %q %q\n", r.Method, r.Host, r.URL.RequestURI(), r.Header.Values("Content-Type"))
	_, _ = hash.Write(body)
	return claimer.Digest(hash.Sum(nil))
}

// statuses are the status codes of reasons.
var statuses = []struct {
	reason error
	status int
}{
	{errCustomer, http.StatusForbidden},
	{errDeadlineHeader, http.StatusBadRequest},
	{claimer.ErrKey, http.StatusBadRequest},
	{claimer.ErrTooFar, http.StatusBadRequest},
	{errBodyCut, http.StatusBadRequest},
	{errBody, http.StatusRequestEntityTooLarge},
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

// writeDecision tells a caller why its request has no answer of the upstream.
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
