// Package pacer bounds the rate of the responses of an HTTP server, so that datagrams which leave through the same link neither wait
// behind a large response nor are lost because of it.
package pacer

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// linkShare is the fraction of the link that responses may use.
	linkShare = 0.5
	// chunkSize is the number of bytes that are sent at once, which a link of 1.5 Mbit/s carries in about 7 ms.
	chunkSize = 1400
)

// Handler serves HTTP with all its responses together at a bounded rate. The exported fields are set before first use.
type Handler struct {
	Next http.Handler
	// Link is the rate of the machine's link.
	Link registrar.Mbps

	once    sync.Once
	limiter *rate.Limiter
}

// ServeHTTP serves a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Link > 0 {
		h.once.Do(func() { h.limiter = rate.NewLimiter(rate.Limit(linkShare*h.Link.BytesPerSecond()), chunkSize) })
		w = &response{ResponseWriter: w, request: r, limiter: h.limiter}
	}
	h.Next.ServeHTTP(w, r)
}

// response is a response whose body is written in chunks.
type response struct {
	http.ResponseWriter
	request *http.Request
	limiter *rate.Limiter
}

// Write writes a part of the body. It returns an error if the caller disconnects or the server closes before all is written.
func (w *response) Write(b []byte) (n int, err error) {
	control := http.NewResponseController(w.ResponseWriter)
	for n < len(b) {
		chunk := b[n:min(n+chunkSize, len(b))]
		if err := w.limiter.WaitN(w.request.Context(), len(chunk)); err != nil {
			return n, err
		}
		written, err := w.ResponseWriter.Write(chunk)
		n += written
		if err != nil {
			return n, err
		}
		// A writer that cannot flush sends the rest when the handler returns.
		_ = control.Flush()
	}
	return n, nil
}
