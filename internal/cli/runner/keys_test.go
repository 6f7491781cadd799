package runner_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// newDeployment returns a deployment with one QUIC service, whose upstreams alternate between two zones.
func newDeployment(t *testing.T, controls, entries, upstreams int, slots registrar.Slots) *deployer.Deployment {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	service := deployer.Service{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: slots}
	for i := range upstreams {
		service.Zones = append(service.Zones, zones[i%len(zones)])
	}
	return deployer.New(t, deployer.Options{
		Controls: controls, Entries: entries, Region: "johor", Zones: zones, Services: []deployer.Service{service},
	})
}

// newSmallDeployment returns a deployment with one upstream in each of two zones.
func newSmallDeployment(t *testing.T) *deployer.Deployment { return newDeployment(t, 1, 2, 2, 2) }

// TestUnauthenticated guards against a port that serves a peer without a certificate, with one of another authority, or with one of
// the wrong kind.
func TestUnauthenticated(t *testing.T) {
	d, other := newSmallDeployment(t), newSmallDeployment(t)
	d.StartControl(0)
	d.Status()
	keys := func(from *deployer.Deployment, name string) *tls.Config {
		m, err := loader.Load(parser.Keys{
			Authority: d.KeyFile(issuer.AuthorityFile), Certificate: from.KeyFile(name + ".pem"), PrivateKey: from.KeyFile(name + ".key"),
		})
		require.NoError(t, err)
		return m.Client()
	}
	none := keys(d, "operator")
	none.Certificates = nil
	for name, c := range map[string]struct {
		cfg            *tls.Config
		api, heartbeat bool
	}{
		"no certificate":               {none, false, false},
		"machine of another authority": {keys(other, "entry-0"), false, false},
		"operator of another":          {keys(other, "operator"), false, false},
		"service":                      {keys(d, "order-desk"), false, false},
		"machine":                      {keys(d, "entry-0"), false, true},
		"operator":                     {keys(d, "operator"), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := connector.Client{
				Address: d.ControlSettings(0)["control_address"].(netip.AddrPort), TLS: func() *tls.Config { return c.cfg },
			}
			ctx, cancel := context.WithTimeout(context.Background(), deployer.WaitTime)
			defer cancel()
			_, _, err := client.Heartbeat(ctx, leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0", Role: registrar.RoleEntry, Zone: "johor-a"}})
			require.Equal(t, c.heartbeat, err == nil, "heartbeat: %v", err)
			h := http.Client{Transport: &http.Transport{TLSClientConfig: c.cfg, DisableKeepAlives: true}, Timeout: deployer.WaitTime}
			for _, path := range []string{"/v1/status", "/v1/customers/estate/proof"} {
				resp, err := h.Get("https://" + d.APIAddr(0).String() + path)
				if err == nil {
					body, readErr := io.ReadAll(resp.Body)
					require.NoError(t, readErr)
					_ = resp.Body.Close()
					require.Equal(t, c.api, resp.StatusCode != http.StatusForbidden, "%s: %s", path, body)
					require.False(t, !c.api && strings.Contains(string(body), "revision"), "%s: %s", path, body)
				}
				require.False(t, c.api && err != nil, "%s: %v", path, err)
			}
		})
	}
}

// TestKeyRotation guards against a rotation of certificates and data keys that fails requests or needs a restart.
func TestKeyRotation(t *testing.T) {
	d := newSmallDeployment(t)
	d.Backends(0, nil)
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	callers := startCallers(d, 8)
	is := &issuer.Issuer{Folder: filepath.Join(d.Folder, "keys"), ExpireAt: time.Now().Add(time.Hour), Renew: true}
	renew := func() error {
		return is.Issue(time.Now(), loader.HolderService, "order-desk", nil, []string{"order-desk"})
	}
	for i, step := range []func() error{is.AddDataKey, is.SwitchDataKey, renew, is.DropDataKeys} {
		require.NoError(t, step())
		for _, name := range d.Names() {
			d.Process(name).Hangup()
			require.Eventually(t, func() bool {
				return strings.Count(d.Log(name), `"event":1101`) == i+1
			}, deployer.WaitTime, deployer.PollTime, name)
		}
	}
	_, err := d.Caller(0, 0).Get("/stock", 5*time.Second)
	require.NoError(t, err, "no new connection after the rotation")
	requests, failed, _ := callers.stop()
	require.Empty(t, failed, "%d requests", requests)
	t.Logf("%d requests over 4 reloads of %d processes", requests, len(d.Names()))
}
