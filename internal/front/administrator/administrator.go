// Package administrator serves the intent API to operators over HTTPS.
package administrator

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxBody is the largest size in bytes of a request body.
	maxBody = 1 << 20
	// headerTimeout and readTimeout bound the time to read the header of a request, and the whole request.
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	// idleTimeout is how long a connection is kept open between requests.
	idleTimeout = 60 * time.Second
	// proposeTimeout bounds the wait for a proposal to the log.
	proposeTimeout = 5 * time.Second
	// catchUpTimeout bounds the time that a read waits for the newest confirmed changes. It is longer than an election.
	catchUpTimeout = 1 * time.Second
	// catchUpPollInterval is how often a waiting read checks whether this instance has the newest confirmed changes. Followers
	// receive them every 100 ms.
	catchUpPollInterval = 20 * time.Millisecond
)

// Log is the replicated control log.
type Log interface {
	Propose(ctx context.Context, entry []byte) ([]byte, error)
}

// StateAger returns an upper bound on the age of this instance's state: the state has every change that was confirmed longer than
// age before now. ok is false if the bound is unknown.
type StateAger interface {
	StateAge(now time.Time) (age time.Duration, ok bool)
}

// Collector collects the sessions of all control instances.
type Collector interface {
	Collect(ctx context.Context, q connector.SessionQuery) []leaser.Instance
}

// Administrator serves the API. The exported fields are set before Run.
type Administrator struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection.
	TLS       func() *tls.Config
	Log       Log
	Ledger    *planner.Ledger
	Collector Collector
	StateAger StateAger
	// Membership shows and changes the members of the control log.
	Membership Membership
	Recorder   *recorder.Recorder
	// Burn returns the instance's report on the burn of service-level error budgets.
	Burn func(now time.Time) burner.Report
}

// Run serves requests until ctx ends.
func (a *Administrator) Run(ctx context.Context) error {
	server := &http.Server{
		Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	ln, err := tls.Listen("tcp", a.Address.String(), &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return a.TLS(), nil },
	})
	if err != nil {
		return eris.Wrapf(err, "listen on %s", a.Address)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ln) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve intent API")
	case <-ctx.Done():
	}
	// Shutdown waits for requests in progress, whose proposals take at most proposeTimeout.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "finish requests")
}

// Handler returns the HTTP handler of the API, without the listener and TLS.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range a.routes() {
		mux.Handle(r.Method+" "+r.Path, a.requireOperator(a.withFreshness(r)))
	}
	mux.Handle("/", a.requireOperator(func(c *call) {
		c.fail(http.StatusNotFound, &planner.Failure{
			Code: planner.FailureNotFound, Message: "no such path or method", Field: "path",
			Value: c.request.Method + " " + c.request.URL.Path, Allowed: "the paths in /v1/openapi.json",
		})
	}))
	return mux
}

// withFreshness returns the handler of a route. A read shows every change that was confirmed before the request, whichever
// instance serves it. An instance that may lack such a change says so in the answer, or refuses the read if the answer has no
// field that can say so.
func (a *Administrator) withFreshness(r route) func(*call) {
	if r.Method != http.MethodGet || r.freshness == freshnessIgnored {
		return r.serve
	}
	return func(c *call) {
		c.current = a.awaitCurrent(c.request.Context(), time.Now())
		if !c.current && r.freshness == freshnessRequired {
			c.fail(http.StatusServiceUnavailable, &planner.Failure{
				Code: planner.FailureUnavailable, Message: "this instance does not know the newest confirmed changes; ask another one",
			})
			return
		}
		r.serve(c)
	}
}

// awaitCurrent waits until this instance has every change that was confirmed before requestedAt. It returns false if that
// takes longer than catchUpTimeout.
func (a *Administrator) awaitCurrent(ctx context.Context, requestedAt time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, requestedAt.Add(catchUpTimeout))
	defer cancel()
	ticker := time.NewTicker(catchUpPollInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if age, ok := a.StateAger.StateAge(now); ok && !now.Add(-age).Before(requestedAt) {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// requireOperator serves only operators, who are identified by their client certificates.
func (a *Administrator) requireOperator(serve func(*call)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{writer: w, request: r, status: http.StatusOK}
		if r.TLS != nil {
			if name, ok := loader.PeerName(*r.TLS, loader.HolderOperator); ok && name != "" {
				c.operator = registrar.OperatorName(name)
			}
		}
		if c.operator == "" {
			c.fail(http.StatusForbidden, &planner.Failure{
				Code: "forbidden", Message: "certificate was not issued to an operator", Field: "certificate",
				Allowed: "a certificate of kind operator",
			})
			return
		}
		serve(c)
		a.Recorder.Info(recorder.RequestServed, zap.String("operator", string(c.operator)), zap.String("method", r.Method),
			zap.String("path", r.URL.Path), zap.Int("status", c.status))
	})
}
