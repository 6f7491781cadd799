package responder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/silencer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// detectionLimit is the time within which a silent connection is detected.
const detectionLimit = 5 * time.Second

func freeAddress(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// slowBody is an endless body that yields one byte per read.
type slowBody struct{}

func (slowBody) Read(b []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return copy(b, "x"), nil
}

// TestSlowOrSilent guards against an answer that is aborted although its connection is alive, and against a silent connection that
// is not detected within 5 s. A limit of 4 s without a byte aborted slow answers. The kernel keeps the connection of a hanging
// upstream process alive; only the deadline of the request ends such a request.
func TestSlowOrSilent(t *testing.T) {
	for name, c := range map[string]struct {
		serviceTime, silentAfter, deadline time.Duration
		body                               io.Reader
		want                               limiter.Result
	}{
		"slow answer":                        {serviceTime: 7 * time.Second, deadline: 20 * time.Second, want: limiter.Served},
		"slower than the deadline":           {serviceTime: 20 * time.Second, deadline: 2 * time.Second, want: limiter.Abandoned},
		"silent while the answer is awaited": {serviceTime: 20 * time.Second, silentAfter: time.Second, deadline: 20 * time.Second, want: limiter.Lost},
		"silent while the request is sent":   {serviceTime: 20 * time.Second, silentAfter: time.Second, deadline: 20 * time.Second, body: slowBody{}, want: limiter.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &backend.Backend{Name: "order-desk-0", Address: freeAddress(t), Slots: 1, ServiceTime: c.serviceTime}
			require.NoError(t, b.Run())
			defer b.Close()
			s := &silencer.Silencer{Listen: freeAddress(t), To: b.Address}
			require.NoError(t, s.Run())
			defer s.Close()
			p := &Pool{Address: s.Listen}
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
			defer cancel()
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://order-desk/stock", c.body)
			x := &exchange{pool: p, w: httptest.NewRecorder(), r: r, class: dispatcher.Once, deadline: time.Now().Add(c.deadline)}
			begin := time.Now()
			if c.silentAfter > 0 {
				time.AfterFunc(c.silentAfter, func() { _ = s.Silence() })
			}
			result := x.Forward(ctx)
			took := time.Since(begin)
			require.Equal(t, c.want, result.Result, "after %s", took)
			require.Equal(t, c.want == limiter.Served, result.AnswerComplete)
			if c.silentAfter > 0 {
				t.Logf("detected after %s", took-c.silentAfter)
				require.Less(t, took-c.silentAfter, detectionLimit)
			}
		})
	}
}
