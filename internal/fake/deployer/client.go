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

// WaitTime bounds the wait for a deployment to become ready. It is not a promise of the product.
const WaitTime = 20 * time.Second

// callerIdle makes callers find a silent connection within the 5 s that the product promises for its own end.
const callerIdle = 3 * time.Second

// PollTime is the interval of polls for a condition.
const PollTime = 10 * time.Millisecond

var requestNumbers atomic.Uint64

// API calls the intent API of control instance i as an operator and decodes the answer into out.
func (d *Deployment) API(i int, method, path string, body, out any) (int, error) {
	pair, err := tls.LoadX509KeyPair(d.KeyFile("operator.pem"), d.KeyFile("operator.key"))
	if err != nil {
		return 0, err
	}
	c := http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: d.pool(), Certificates: []tls.Certificate{pair}}, DisableKeepAlives: true},
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
		return resp.StatusCode, fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, b)
	}
	return resp.StatusCode, json.Unmarshal(b, out)
}

func (d *Deployment) pool() *x509.CertPool {
	pem, err := os.ReadFile(d.KeyFile(issuer.AuthorityFile))
	require.NoError(d.t, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return pool
}

// Ready reports whether the machine at an address says that it is ready.
func (d *Deployment) Ready(a netip.Addr) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.MetricsAddr(a).String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Metrics returns the metrics of the machine at an address, by name with labels and by name alone, which is the sum over
// labels. It is empty if the machine does not answer.
func (d *Deployment) Metrics(a netip.Addr) map[string]float64 {
	all := map[string]float64{}
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.MetricsAddr(a).String() + "/metrics")
	if err != nil {
		return all
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		name, value, ok := strings.Cut(sc.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			base, _, labelled := strings.Cut(name, "{")
			all[base] += v
			if labelled {
				all[name] = v
			}
		}
	}
	return all
}

// Carry plans an intent and confirms the plan, trying the control instances in turn until one answers.
func (d *Deployment) Carry(in planner.Intent) planner.Result {
	d.t.Helper()
	var r planner.Result
	plan := administrator.PlanRequest{Number: planner.RequestNumber(requestNumbers.Add(1)), Intent: in}
	d.anyControl(http.MethodPost, "/v1/plans", plan, &r)
	confirm := administrator.ConfirmRequest{Number: planner.RequestNumber(requestNumbers.Add(1))}
	d.anyControl(http.MethodPost, fmt.Sprintf("/v1/plans/%d/confirm", r.Plan.ID), confirm, &r)
	return r
}

func (d *Deployment) anyControl(method, path string, body, out any) {
	d.t.Helper()
	var last error
	for deadline := time.Now().Add(WaitTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for i := range d.Controls {
			status, err := d.API(i, method, path, body, out)
			if err == nil {
				return
			}
			last = err
			if status != 0 && status != http.StatusServiceUnavailable {
				require.NoError(d.t, err)
			}
		}
	}
	require.NoError(d.t, last)
}

// Status returns the status of the deployment.
func (d *Deployment) Status() administrator.Status {
	d.t.Helper()
	var st administrator.Status
	d.anyControl(http.MethodGet, "/v1/status", nil, &st)
	return st
}

// Configure creates the zones, the services and one customer that covers all callers, and waits until every node enforces
// them and every upstream has been announced.
func (d *Deployment) Configure(customer registrar.CustomerName) {
	d.t.Helper()
	for _, z := range d.Zones {
		d.Carry(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: z, Region: d.Region}})
	}
	d.Carry(planner.Intent{Kind: planner.AddCustomer, Customer: &registrar.Customer{Name: customer}})
	for i, s := range d.Services {
		d.Carry(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
			Name: s.Name, Address: d.ServiceAddr(i), Transport: s.Transport,
		}})
		d.Carry(planner.Intent{Kind: planner.AddContract, Contract: &registrar.Contract{
			Name: registrar.ContractName(string(customer) + "-" + string(s.Name)), Customer: customer, Service: s.Name,
			SourcePrefixes: []netip.Prefix{netip.PrefixFrom(d.CallerAddr(0), 24)},
		}})
	}
	d.WaitReady()
}

// WaitReady waits until every upstream is announced and every node enforces the newest revision.
func (d *Deployment) WaitReady() {
	d.t.Helper()
	want := 0
	for _, s := range d.Services {
		want += len(s.Zones)
	}
	require.Eventually(d.t, func() bool {
		st := d.Status()
		ready := 0
		for _, u := range st.Upstream {
			if !u.Silent {
				ready++
			}
		}
		return ready == want && enforced(st, want+d.Entries)
	}, WaitTime, 100*time.Millisecond, "deployment does not become ready")
}

func enforced(st administrator.Status, nodes int) bool {
	n := 0
	for _, node := range st.Nodes {
		if node.Revision == st.Revision && node.Leased {
			n++
		}
	}
	return n >= nodes
}

// Backends starts a backend for each upstream of service s. change may adjust each one before it starts.
func (d *Deployment) Backends(s int, change func(i int, b *backend.Backend)) []*backend.Backend {
	d.t.Helper()
	var all []*backend.Backend
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
		all = append(all, b)
	}
	return all
}

// Fabric starts a fabric in front of the entries for service s.
func (d *Deployment) Fabric(s int, seed uint64) *sprayer.Sprayer {
	d.t.Helper()
	f := &sprayer.Sprayer{Address: d.ServiceAddr(s), Seed: seed}
	f.SetEntries(d.EntryAddresses(s, -1))
	require.NoError(d.t, f.Run())
	d.t.Cleanup(f.Close)
	return f
}

// Caller is an HTTP/3 client with a socket of its own.
type Caller struct {
	*http3.Transport
	base      string
	transport *quic.Transport
	conn      net.PacketConn
	// moved holds the sockets that the caller migrated to.
	moved  []io.Closer
	dials  atomic.Int64
	latest atomic.Pointer[quic.Conn]
	// final is set once no connection may be opened any more.
	final atomic.Bool
}

// ErrFinal means that the caller may not open another connection.
var ErrFinal = errors.New("no further connection is opened")

// StopDialing keeps the caller from hiding the end of its connection behind a new one.
func (c *Caller) StopDialing() { c.final.Store(true) }

// Connection returns a context that ends with the newest connection.
func (c *Caller) Connection() context.Context { return c.latest.Load().Context() }

// LiveFlows returns the number of flows that the agents hold for a customer.
func (d *Deployment) LiveFlows(customer registrar.CustomerName) int {
	d.t.Helper()
	var p leaser.Proof
	d.anyControl(http.MethodGet, fmt.Sprintf("/v1/customers/%s/proof", customer), nil, &p)
	n := 0
	for _, node := range p.Nodes {
		n += int(node.Evidence.LiveFlows)
	}
	return n
}

// Dials returns how often the client has opened a connection.
func (c *Caller) Dials() int64 { return c.dials.Load() }

// Caller returns a client of service s that calls from source address i.
func (d *Deployment) Caller(s, i int) *Caller {
	d.t.Helper()
	conn, err := net.ListenPacket("udp", netip.AddrPortFrom(d.CallerAddr(i), 0).String())
	require.NoError(d.t, err)
	c := &Caller{base: "https://" + d.ServiceAddr(s).String(), transport: &quic.Transport{Conn: conn}, conn: conn}
	to := net.UDPAddrFromAddrPort(d.ServiceAddr(s))
	c.Transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: d.pool(), ServerName: string(d.Services[s].Name)},
		QUICConfig:      &quic.Config{MaxIdleTimeout: callerIdle, KeepAlivePeriod: time.Second},
		Dial: func(ctx context.Context, _ string, cfg *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			if c.final.Load() {
				return nil, ErrFinal
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
	next := &quic.Transport{Conn: conn}
	c.moved = append(c.moved, next, conn)
	path, err := c.latest.Load().AddPath(next)
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
		for _, m := range c.moved {
			_ = m.Close()
		}
	}()
	_ = c.Transport.Close()
	_ = c.transport.Close()
	_ = c.conn.Close()
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and reads the whole answer.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.RoundTrip(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: b}, err
}

// Get sends a GET request with a time limit.
func (c *Caller) Get(path string, limit time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}
