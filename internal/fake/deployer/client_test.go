package deployer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// scriptedTransport fails the first requests with errs, and answers the later ones.
type scriptedTransport struct {
	errs   []error
	bodies []string
}

func (s *scriptedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	s.bodies = append(s.bodies, string(body))
	if n := len(s.bodies); n <= len(s.errs) {
		return nil, s.errs[n-1]
	}
	return &http.Response{StatusCode: http.StatusOK}, nil
}

// TestRoundTrip guards against a caller that reports a request as failed although the server shut down gracefully before
// it saw the request, and against one that sends a request again although the server may have run it.
func TestRoundTrip(t *testing.T) {
	closedLocally := fmt.Errorf("parse frame: %w", &http3.Error{ErrorCode: http3.ErrCodeNoError})
	tests := []struct {
		name string
		errs []error
		sent int
		ok   bool
	}{
		{name: "answered", sent: 1, ok: true},
		{name: "closed before the server saw the request", errs: []error{closedLocally}, sent: 2, ok: true},
		{name: "closed twice", errs: []error{closedLocally, closedLocally}, sent: 2},
		{name: "closed by the server", errs: []error{&http3.Error{Remote: true, ErrorCode: http3.ErrCodeNoError}}, sent: 1},
		{name: "closed for an error", errs: []error{&http3.Error{ErrorCode: http3.ErrCodeInternalError}}, sent: 1},
		{name: "reset by the server", errs: []error{&http3.Error{Remote: true, ErrorCode: http3.ErrCodeRequestIncomplete}}, sent: 1},
		{name: "timeout", errs: []error{io.ErrUnexpectedEOF}, sent: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			transport := &scriptedTransport{errs: tt.errs}
			req, err := http.NewRequest(http.MethodPost, "https://order-desk", bytes.NewReader([]byte("job")))
			require.NoError(t, err)
			_, err = roundTrip(transport, req)
			if tt.ok {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tt.errs[len(tt.errs)-1])
			}
			require.Len(t, transport.bodies, tt.sent)
			for _, body := range transport.bodies {
				require.Equal(t, "job", body)
			}
		})
	}
}
