package exporter

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
)

func get(t *testing.T, url string) (int, string) {
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(b)
}

// TestEndpoints guards against metric names that differ from the documented ones, values that are not read anew for each scrape,
// and a readiness endpoint that does not follow Ready.
func TestEndpoints(t *testing.T) {
	e, err := New()
	require.NoError(t, err)
	value, readyErr := int64(3), errors.New("no valid lease")
	require.NoError(t, e.Counter("packets_dropped", "Drops.", func(emit Emit) { emit(value, attribute.String("reason", "cut")) }))
	require.NoError(t, e.Gauge("revision", "Revision.", func(emit Emit) { emit(value) }))
	e.Ready = func(time.Time) error { return readyErr }
	server := httptest.NewServer(e.Handler())
	defer server.Close()

	_, body := get(t, server.URL+"/metrics")
	require.Contains(t, body, "peridotstage_packets_dropped_total{reason=\"cut\"} 3\n")
	require.Contains(t, body, "peridotstage_revision 3\n")
	require.Contains(t, body, "process_resident_memory_bytes")
	value = 4
	_, body = get(t, server.URL+"/metrics")
	require.Contains(t, body, "peridotstage_revision 4\n")

	status, body := get(t, server.URL+"/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "no valid lease")
	readyErr = nil
	status, _ = get(t, server.URL+"/ready")
	require.Equal(t, http.StatusOK, status)
}
