package runner_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
)

// TestCallerMoves guards against a QUIC connection that breaks, or a request that gets no answer, when the address of its
// caller changes in the middle: by an address translator, which the caller does not notice, or by migration. The new
// address may lie at another entry.
func TestCallerMoves(t *testing.T) {
	d := small(t)
	d.Backends(0, nil)
	fabric := d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	next := 100
	other := func(netip.Addr) netip.Addr { next++; return d.CallerAddr(next) }
	for _, c := range []struct {
		name string
		move func(c *deployer.Caller) error
	}{
		{"new port", func(*deployer.Caller) error { fabric.Rebind(func(a netip.Addr) netip.Addr { return a }); return nil }},
		{"new address", func(*deployer.Caller) error { fabric.Rebind(other); return nil }},
		{"new address at another entry", func(*deployer.Caller) error {
			d.Spray(fabric, 0, 1)
			fabric.Rebind(other)
			return nil
		}},
		{"migration", func(c *deployer.Caller) error {
			ctx, cancel := context.WithTimeout(context.Background(), silentLimit)
			defer cancel()
			return c.Migrate(ctx, other(netip.Addr{}))
		}},
		{"migration to another entry", func(c *deployer.Caller) error {
			ctx, cancel := context.WithTimeout(context.Background(), silentLimit)
			defer cancel()
			d.Spray(fabric, 0, 1)
			return c.Migrate(ctx, other(netip.Addr{}))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d.Spray(fabric, 0, 0)
			caller := d.Caller(0, 0)
			defer caller.Close()
			first, err := caller.Get("/stock", silentLimit)
			require.NoError(t, err)
			caller.StopDialing()
			large := make(chan error, 1)
			go func() {
				a, err := caller.Get("/bytes?n=4000000", 2*silentLimit)
				if err == nil && len(a.Body) != 4_000_000 {
					err = errors.New("the answer is cut short")
				}
				large <- err
			}()
			require.NoError(t, c.move(caller))
			for range 5 {
				a, err := caller.Get("/stock", silentLimit)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				require.Equal(t, first.Body, a.Body, "the connection moved to another agent")
			}
			require.NoError(t, <-large, "a request in progress was not answered")
			require.NoError(t, caller.Connection().Err(), "the connection ended")
		})
	}
}

// TestAgentDies guards against a request that hangs, or seems answered, when the agent of its QUIC connection has died: it
// fails within 5 s, by a stateless reset if the agent comes back and by a time-out if not.
func TestAgentDies(t *testing.T) {
	d := small(t)
	d.Backends(0, nil)
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	for name, comesBack := range map[string]bool{"for good": false, "and comes back": true} {
		t.Run(name, func(t *testing.T) {
			caller := d.Caller(0, 0)
			a, err := caller.Get("/stock", silentLimit)
			require.NoError(t, err)
			caller.StopDialing()
			holder := 0
			for i := range d.Services[0].Zones {
				if string(d.UpstreamName(0, i))+"\n" == string(a.Body) {
					holder = i
				}
			}
			d.Process(d.AgentName(0, holder)).Kill()
			begin := time.Now()
			if comesBack {
				d.StartAgent(0, holder)
			}
			a, err = caller.Get("/stock", 2*silentLimit)
			took := time.Since(begin)
			t.Logf("the request ended after %s: %v", took, err)
			require.Error(t, err, "a request without a connection was answered: %d", a.Status)
			require.Less(t, took, silentLimit)
			var reset *quic.StatelessResetError
			require.Equal(t, comesBack, errors.As(context.Cause(caller.Connection()), &reset), "%v", context.Cause(caller.Connection()))
			if !comesBack {
				d.StartAgent(0, holder)
			}
			d.WaitReady()
		})
	}
}
