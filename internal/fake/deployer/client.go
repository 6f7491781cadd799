package deployer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// WaitTime is how long tests wait for a deployment to become ready before they fail. The product guarantees no such bound.
const WaitTime = 20 * time.Second

// callerIdleTimeout lets callers detect a silent connection within 5 s, the bound that the product guarantees for its own
// side of a connection.
const callerIdleTimeout = 3 * time.Second

// PollTime is the interval at which tests poll a condition.
const PollTime = 10 * time.Millisecond

// errStalePlan is returned for a confirmation that is refused because the configuration has changed what the plan would do.
var errStalePlan = errors.New("plan is stale")

// lastRequestNumber is the number of the last request that this process sent to the intent API.
var lastRequestNumber atomic.Uint64

// API calls the intent API of control instance i as an operator and decodes the response into out. It returns the HTTP
// status, or 0 if there was no response. The error of a refused confirmation is errStalePlan if the plan is stale.
func (d *Deployment) API(i int, method, path string, body, out any) (int, error) {
	certificate, err := tls.LoadX509KeyPair(d.KeyFile("operator.pem"), d.KeyFile("operator.key"))
	if err != nil {
		return 0, err
	}
	c := http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: d.authorityPool(), Certificates: []tls.Certificate{certificate}}, DisableKeepAlives: true},
	}
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "https://"+d.APIAddr(i).String()+path, in)
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		err := fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, b)
		var refusal administrator.FailureBody
		if json.Unmarshal(b, &refusal) == nil && refusal.Failure != nil && refusal.Failure.Code == planner.FailureStale {
			err = fmt.Errorf("%w: %w", errStalePlan, err)
		}
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(b, out)
}

// authorityPool returns the certificate pool with the deployment's authority.
func (d *Deployment) authorityPool() *x509.CertPool {
	pem, err := os.ReadFile(d.KeyFile(issuer.AuthorityFile))
	require.NoError(d.t, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return pool
}

// Ready reports whether the machine at an address reports readiness.
func (d *Deployment) Ready(a netip.Addr) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.MetricsAddr(a).String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Metrics returns the metrics of the machine at an address. A name with labels maps to its value, and a name without labels
// maps to the sum over all labels. The map is empty if the machine does not answer.
func (d *Deployment) Metrics(a netip.Addr) map[string]float64 {
	metrics := map[string]float64{}
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.MetricsAddr(a).String() + "/metrics")
	if err != nil {
		return metrics
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		name, value, ok := strings.Cut(sc.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			base, _, labelled := strings.Cut(name, "{")
			metrics[base] += v
			if labelled {
				metrics[name] = v
			}
		}
	}
	return metrics
}

// ApplyIntent plans an intent and confirms the plan, trying the control instances in turn until one answers. A plan turns stale if
// control records, for example, a new weight of the upstream before the confirmation; ApplyIntent then requests a new plan, until
// WaitTime has passed.
func (d *Deployment) ApplyIntent(in planner.Intent) planner.Result {
	d.t.Helper()
	deadline := time.Now().Add(WaitTime)
	r, err := d.planAndConfirm(in)
	for errors.Is(err, errStalePlan) && time.Now().Before(deadline) {
		r, err = d.planAndConfirm(in)
	}
	require.NoError(d.t, err)
	return r
}

// planAndConfirm requests one plan of an intent and confirms it. It returns errStalePlan if the plan turned stale in between.
func (d *Deployment) planAndConfirm(in planner.Intent) (planner.Result, error) {
	var r planner.Result
	plan := administrator.PlanRequest{Number: planner.RequestNumber(lastRequestNumber.Add(1)), Intent: in}
	if err := d.callAnyControl(http.MethodPost, "/v1/plans", plan, &r); err != nil {
		return r, err
	}
	confirm := administrator.ConfirmRequest{Number: planner.RequestNumber(lastRequestNumber.Add(1))}
	err := d.callAnyControl(http.MethodPost, fmt.Sprintf("/v1/plans/%d/confirm", r.Plan.ID), confirm, &r)
	return r, err
}

// callAnyControl calls the intent API of the control instances in turn until one succeeds. It returns an error at once if an
// instance answers with a status other than 503, and otherwise after WaitTime.
func (d *Deployment) callAnyControl(method, path string, body, out any) error {
	var lastErr error
	for deadline := time.Now().Add(WaitTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for i := range d.Controls {
			status, err := d.API(i, method, path, body, out)
			if err == nil {
				return nil
			}
			lastErr = err
			if status != 0 && status != http.StatusServiceUnavailable {
				return err
			}
		}
	}
	return lastErr
}

// Status returns the status of the deployment.
func (d *Deployment) Status() administrator.Status {
	d.t.Helper()
	var st administrator.Status
	require.NoError(d.t, d.callAnyControl(http.MethodGet, "/v1/status", nil, &st))
	return st
}

// Proof returns the proof about the traffic of a customer.
func (d *Deployment) Proof(customer registrar.CustomerName) leaser.Proof {
	d.t.Helper()
	var proof leaser.Proof
	require.NoError(d.t, d.callAnyControl(http.MethodGet, fmt.Sprintf("/v1/customers/%s/proof", customer), nil, &proof))
	return proof
}

// LiveFlows returns the number of flows that the agents hold for a customer.
func (d *Deployment) LiveFlows(customer registrar.CustomerName) int {
	d.t.Helper()
	n := 0
	for _, node := range d.Proof(customer).Nodes {
		n += int(node.Evidence.LiveFlows)
	}
	return n
}

// CutOff cuts a customer off and waits for the proof that its traffic has stopped.
func (d *Deployment) CutOff(customer registrar.CustomerName) {
	d.t.Helper()
	d.ApplyIntent(planner.Intent{Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: customer}})
	require.Eventually(d.t, func() bool { return d.Proof(customer).Verdict == leaser.Stopped }, WaitTime, PollTime)
}

// Configure creates the zones, the services and one customer whose contracts cover all callers, and waits until every node
// enforces them and every upstream has been announced.
func (d *Deployment) Configure(customer registrar.CustomerName) {
	d.t.Helper()
	for _, z := range d.Zones {
		d.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: z, Region: d.Region}})
	}
	d.ApplyIntent(planner.Intent{Kind: planner.AddCustomer, Customer: &registrar.Customer{Name: customer}})
	for i, s := range d.Services {
		d.ApplyIntent(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
			Name: s.Name, Address: d.ServiceAddr(i), Transport: s.Transport,
		}})
		d.ApplyIntent(planner.Intent{Kind: planner.AddContract, Contract: &registrar.Contract{
			Name: registrar.ContractName(string(customer) + "-" + string(s.Name)), Customer: customer, Service: s.Name,
			SourcePrefixes: []netip.Prefix{netip.PrefixFrom(d.CallerAddr(0), 24)},
		}})
	}
	d.WaitReady()
}

// WaitReady waits until every upstream is announced and every node enforces the newest revision.
func (d *Deployment) WaitReady() {
	d.t.Helper()
	upstreams := 0
	for _, s := range d.Services {
		upstreams += len(s.Zones)
	}
	require.Eventually(d.t, func() bool {
		st := d.Status()
		announced := 0
		for _, u := range st.Upstream {
			if !u.Silent {
				announced++
			}
		}
		return announced == upstreams && enforcedByAll(st, upstreams+d.Entries)
	}, WaitTime, 100*time.Millisecond, "deployment does not become ready")
}

// enforcedByAll reports whether at least the given number of nodes hold a lease and enforce the newest revision.
func enforcedByAll(st administrator.Status, nodes int) bool {
	n := 0
	for _, node := range st.Nodes {
		if node.Revision == st.Revision && node.Leased {
			n++
		}
	}
	return n >= nodes
}

// Backends starts a backend for each upstream of service s. change, if not nil, may adjust each one before it starts.
func (d *Deployment) Backends(s int, change func(i int, b *backend.Backend)) []*backend.Backend {
	d.t.Helper()
	var backends []*backend.Backend
	for i := range d.Services[s].Zones {
		b := &backend.Backend{
			Name: string(d.UpstreamName(s, i)), Address: d.BackendAddr(s, i), Slots: int(d.Services[s].Slots),
			ServiceTime: time.Millisecond,
		}
		if change != nil {
			change(i, b)
		}
		require.NoError(d.t, b.Run())
		d.t.Cleanup(b.Close)
		backends = append(backends, b)
	}
	return backends
}

// Fabric starts a simulated network fabric in front of the entries for service s.
func (d *Deployment) Fabric(s int, seed uint64) *sprayer.Sprayer {
	d.t.Helper()
	f := &sprayer.Sprayer{Address: d.ServiceAddr(s), Seed: seed}
	f.SetEntries(d.EntryAddresses(s, -1))
	require.NoError(d.t, f.Run())
	d.t.Cleanup(f.Close)
	return f
}

// Caller is an HTTP/3 client with its own socket.
type Caller struct {
	*http3.Transport
	base      string
	transport *quic.Transport
	conn      net.PacketConn
	// migrationSockets holds the transports and sockets that Migrate opened.
	migrationSockets []io.Closer
	// dials is the number of connections that the caller has tried to open.
	dials  atomic.Int64
	latest atomic.Pointer[quic.Conn]
	// dialingStopped is true from StopDialing to ResumeDialing.
	dialingStopped atomic.Bool
}

// ErrDialingStopped means that a request needed a new connection after StopDialing was called.
var ErrDialingStopped = errors.New("no further connection is opened")

// StopDialing makes requests fail instead of opening a new connection, so that a test detects that the
// current connection has ended.
func (c *Caller) StopDialing() { c.dialingStopped.Store(true) }

// ResumeDialing lets requests open new connections again after StopDialing.
func (c *Caller) ResumeDialing() { c.dialingStopped.Store(false) }

// Connection returns a context that is canceled when the newest connection closes.
func (c *Caller) Connection() context.Context { return c.latest.Load().Context() }

// CloseCause waits until the newest connection has closed and returns the cause, or nil if the connection is still open after
// limit. quic-go ends the streams of a connection before its context, so the context may still be open when a request fails.
func (c *Caller) CloseCause(limit time.Duration) error {
	conn := c.Connection()
	select {
	case <-conn.Done():
	case <-time.After(limit):
	}
	return context.Cause(conn)
}

// Dials returns the number of connections that the caller has tried to open.
func (c *Caller) Dials() int64 { return c.dials.Load() }

// Caller returns a client of service s that calls from source address i.
func (d *Deployment) Caller(s, i int) *Caller {
	d.t.Helper()
	conn, err := net.ListenPacket("udp", netip.AddrPortFrom(d.CallerAddr(i), 0).String())
	require.NoError(d.t, err)
	c := &Caller{base: "https://" + d.ServiceAddr(s).String(), transport: &quic.Transport{Conn: conn}, conn: conn}
	to := net.UDPAddrFromAddrPort(d.ServiceAddr(s))
	c.Transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: d.authorityPool(), ServerName: string(d.Services[s].Name)},
		QUICConfig:      &quic.Config{MaxIdleTimeout: callerIdleTimeout, KeepAlivePeriod: time.Second},
		Dial: func(ctx context.Context, _ string, cfg *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			if c.dialingStopped.Load() {
				return nil, ErrDialingStopped
			}
			c.dials.Add(1)
			conn, err := c.transport.DialEarly(ctx, to, cfg, qc)
			c.latest.Store(conn)
			return conn, err
		},
	}
	d.t.Cleanup(c.Close)
	return c
}

// Migrate moves the newest connection to a new socket with another IP address (RFC 9000, section 9).
func (c *Caller) Migrate(ctx context.Context, to netip.Addr) error {
	conn, err := net.ListenPacket("udp", netip.AddrPortFrom(to, 0).String())
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: conn}
	c.migrationSockets = append(c.migrationSockets, transport, conn)
	path, err := c.latest.Load().AddPath(transport)
	if err != nil {
		return err
	}
	if err := path.Probe(ctx); err != nil {
		return err
	}
	return path.Switch()
}

// Close closes the connection and the sockets.
func (c *Caller) Close() {
	defer func() {
		for _, socket := range c.migrationSockets {
			_ = socket.Close()
		}
	}()
	_ = c.Transport.Close()
	_ = c.transport.Close()
	_ = c.conn.Close()
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and reads the complete response.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := roundTrip(c.Transport, req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: b}, err
}

// roundTrip sends req, and sends it once more if the server cannot have seen it. quic-go closes a connection when GOAWAY
// arrives and no request is in progress, but it can miss a request that is being opened at that moment. The server lists
// the requests that it has seen in GOAWAY and waits for them, so a request that ends with this close is safe to send again
// (RFC 9114, section 5.2).
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if closed, ok := errors.AsType[*http3.Error](err); !ok || closed.Remote || closed.ErrorCode != http3.ErrCodeNoError {
		return resp, err
	}
	again := req.Clone(req.Context())
	if req.GetBody != nil {
		if again.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
	return transport.RoundTrip(again)
}

// Get sends a GET request with a timeout.
func (c *Caller) Get(path string, timeout time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}
