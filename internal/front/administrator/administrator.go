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
	maxBody       = 1 << 20
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	idleTimeout   = 60 * time.Second
	proposeTime   = 5 * time.Second
	// currentTime is how long a read waits for the newest confirmed changes. It outlasts an election.
	currentTime = 1 * time.Second
	// currentInterval is how often a waiting read asks. Followers learn the newest changes every 100 ms.
	currentInterval = 20 * time.Millisecond
)

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, entry []byte) ([]byte, error)
}

// Authority tells whether this instance knows the newest confirmed revision.
type Authority interface {
	Vouch(now time.Time) (age time.Duration, ok bool)
}

// Collector gathers the sessions of all control instances.
type Collector interface {
	Collect(ctx context.Context, q connector.Question) []leaser.Instance
}

// Administrator serves the API. The exported fields are set before Run.
type Administrator struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection.
	TLS       func() *tls.Config
	Log       Log
	Ledger    *planner.Ledger
	Collector Collector
	Authority Authority
	// Membership is that of the control log.
	Membership Membership
	Recorder   *recorder.Recorder
	// Burn returns the instance's report on service-level burn.
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
	serve := make(chan error, 1)
	go func() { serve <- server.Serve(ln) }()
	select {
	case err := <-serve:
		return eris.Wrap(err, "serve intent API")
	case <-ctx.Done():
	}
	// Requests in progress end on their own, because a proposal is bounded by proposeTime.
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTime)
	defer cancel()
	return eris.Wrap(server.Shutdown(finish), "finish requests")
}

// Handler returns the API without its transport.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range a.routes() {
		mux.Handle(r.Method+" "+r.Path, a.authenticated(a.reading(r)))
	}
	mux.Handle("/", a.authenticated(func(c *call) {
		c.fail(http.StatusNotFound, &planner.Failure{
			Code: planner.FailureNotFound, Message: "no such path or method", Field: "path",
			Value: c.request.Method + " " + c.request.URL.Path, Allowed: "the paths in /v1/openapi.json",
		})
	}))
	return mux
}

// reading returns how a route is served. A read shows every change that was confirmed before it was asked for, whichever
// instance answers. One that cannot be sure says so in its answer, or is refused if its answer has no place for that.
func (a *Administrator) reading(r route) func(*call) {
	if r.Method != http.MethodGet || r.reads == readsNothing {
		return r.serve
	}
	return func(c *call) {
		c.current = a.awaitCurrent(c.request.Context(), time.Now())
		if !c.current && r.reads == readsCurrent {
			c.fail(http.StatusServiceUnavailable, &planner.Failure{
				Code: planner.FailureUnavailable, Message: "this instance does not know the newest confirmed changes; ask another one",
			})
			return
		}
		r.serve(c)
	}
}

// awaitCurrent waits until this instance knows all that was confirmed before asked.
func (a *Administrator) awaitCurrent(ctx context.Context, asked time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, asked.Add(currentTime))
	defer cancel()
	tick := time.NewTicker(currentInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		if age, ok := a.Authority.Vouch(now); ok && !now.Add(-age).Before(asked) {
			return true
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
}

// authenticated serves only operators, who are known by their certificates.
func (a *Administrator) authenticated(serve func(*call)) http.Handler {
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
