package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/admitter"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/streamer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// CheckIns receives the reports of upstreams about themselves.
type CheckIns interface {
	CheckIn(now time.Time, c admitter.CheckIn) error
	Leave(name string)
}

// Orders carries out the orders of operators.
type Orders interface {
	Replace(ctx context.Context, r planner.Replacement) error
	Read(ctx context.Context) ([]byte, error)
	SwitchZone(ctx context.Context, zone registrar.ZoneName, withdraw bool) error
}

// Platform translates between the formats of a platform and the types of the product. It decides nothing.
type Platform interface {
	// Codec returns the codec for the packets of stream flows.
	Codec() streamer.Codec
	// CheckIns returns the handler for calls of upstreams.
	CheckIns(c CheckIns) http.Handler
	// Operators returns the handler for calls of operators.
	Operators(o Orders) http.Handler
}

const (
	// httpHeaderTimeout and httpReadTimeout bound the time in which a caller sends the header and the whole request.
	httpHeaderTimeout = 2 * time.Second
	httpReadTimeout   = 5 * time.Second
	// httpIdleTimeout is the time after which an idle connection is closed.
	httpIdleTimeout = 30 * time.Second
	// httpShutdownTimeout bounds the wait for calls in progress at a planned stop.
	httpShutdownTimeout = time.Second
)

// serveFunc returns a function that serves a handler at an address until its context ends.
func serveFunc(address netip.AddrPort, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error { return serveHTTP(ctx, address, h) }
}

func serveHTTP(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpReadTimeout, IdleTimeout: httpIdleTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpShutdownTimeout)
		defer cancel()
		if server.Shutdown(finish) != nil {
			_ = server.Close()
		}
	})
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return eris.Wrapf(err, "serve %s", address)
	}
	<-stopped
	return nil
}

// readyHandler serves /ready. ready returns why the machine does not accept traffic, or nil.
func readyHandler(ready func(now time.Time) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(time.Now()); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
