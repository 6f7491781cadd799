package responder

import (
	"io"
	"net/http"
	"net/netip"
	"net/url"
)

// Passer passes HTTP requests to the upstream. The exported fields are set before first use.
type Passer struct {
	Upstream  netip.AddrPort
	Transport http.RoundTripper
}

// ServeHTTP passes one request on and copies the answer back.
func (p *Passer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL = &url.URL{Scheme: "http", Host: p.Upstream.String(), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.RequestURI = ""
	resp, err := p.Transport.RoundTrip(out)
	if err != nil {
		http.Error(w, "upstream does not answer", http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
