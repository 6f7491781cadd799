package pacer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// countingWriter counts the bytes of several responses and checks that they stay within a rate.
type countingWriter struct {
	t *testing.T

	mu             sync.Mutex
	startedAt      time.Time
	bytes          int
	bytesPerSecond float64
}

// recordedResponse records the body of one response.
type recordedResponse struct {
	*httptest.ResponseRecorder
	all *countingWriter
}

func (r *recordedResponse) Write(b []byte) (int, error) {
	r.all.mu.Lock()
	r.all.bytes += len(b)
	allowed := chunkSize + r.all.bytesPerSecond*time.Since(r.all.startedAt).Seconds()
	require.LessOrEqual(r.all.t, float64(r.all.bytes), allowed, "more bytes at once than the link carries beside datagrams")
	r.all.mu.Unlock()
	return r.ResponseRecorder.Write(b)
}

// TestRate guards against a large response, or several at a time, that fill a slow link, and against one that arrives in part.
func TestRate(t *testing.T) {
	const link registrar.Mbps = 1.5
	body := bytes.Repeat([]byte("0123456789"), 1500)
	h := &Handler{Link: link, Next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write(body)
		require.NoError(t, err)
		require.Equal(t, len(body), n)
	})}
	all := &countingWriter{t: t, startedAt: time.Now(), bytesPerSecond: linkShare * link.BytesPerSecond()}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			w := &recordedResponse{httptest.NewRecorder(), all}
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			require.Equal(t, body, w.Body.Bytes())
		})
	}
	wg.Wait()
}

// TestCallerLeaves guards against a response that waits for its turn after its caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h := &Handler{Link: 0.001, Next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 100*chunkSize))
		require.ErrorIs(t, err, context.Canceled)
	})}
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
}

// TestNoBound guards against a response that is held back on a link without a bound.
func TestNoBound(t *testing.T) {
	h := &Handler{Next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		require.IsType(t, &httptest.ResponseRecorder{}, w)
	})}
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}
