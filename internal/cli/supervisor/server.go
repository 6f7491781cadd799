package supervisor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// httpHeaderTimeout and httpReadTimeout bound the time in which a caller sends the header and the whole request.
	httpHeaderTimeout = 2 * time.Second
	httpReadTimeout   = 5 * time.Second
	// httpIdleTimeout is the time after which an idle connection is closed.
	httpIdleTimeout = 30 * time.Second
	// httpShutdownTimeout bounds the wait for calls in progress at a planned stop.
	httpShutdownTimeout = time.Second
)

// Serve returns a function that serves a handler at an address until its context ends.
func Serve(address netip.AddrPort, h http.Handler) func(context.Context) error {
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

// ReadyHandler serves /ready. ready returns why the machine does not accept traffic, or nil.
func ReadyHandler(ready func(now time.Time) error) http.Handler {
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
