package planner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// largeReplacement returns a configuration with a number of routes whose names are random. Version by version, one route changes.
func largeReplacement(version registrar.ReleaseVersion, routes int) *Replacement {
	r := &Replacement{
		Release:  registrar.Release{Version: version},
		Services: []registrar.Service{{Name: "desk"}, {Name: "catalogue"}},
	}
	names := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	for i := range routes {
		route := registrar.Route{
			Name: registrar.RouteName(fmt.Sprintf("r-%x", names.Uint32())), Kind: registrar.RouteIdempotent, Timeout: 500, TargetLatency: 120,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Targets: []registrar.Target{{Service: "desk", Weight: 1}},
		}
		if i == int(version)%routes {
			route.Timeout += registrar.Millis(version)
		}
		r.Routes = append(r.Routes, route)
		fmt.Fprintf(&text, `{"name":%q,"host":%q,"path_prefix":"/443/","type":"idempotent","timeout_ms":%d,"service":"desk"},`,
			route.Name, route.Address.Addr(), route.Timeout)
	}
	r.Document = NewDocument([]byte(text.String()))
	return r
}

// heapInUse returns the live heap in bytes.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestManyChangesOfLargeConfiguration guards against a control instance that runs out of memory because it keeps the whole
// configuration for each of its versions, also if each version changes every route.
func TestManyChangesOfLargeConfiguration(t *testing.T) {
	const (
		routes  = 1100
		changes = 150
		// The users ask that 1,000 changes on 1,100 routes stay under half of the 284 MB of a machine.
		maxBytesPerChange = 284_000_000 / 2 / 1000
	)
	for name, change := range map[string]func(r *Replacement){
		"one route": func(*Replacement) {},
		"every route": func(r *Replacement) {
			for i := range r.Routes {
				r.Routes[i].Timeout = 500 + registrar.Millis(r.Version)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(&publisher.Publisher{})
			require.Nil(t, applyReplacement(t, l, largeReplacement(1, routes)).Failure)
			var entries [][]byte
			before := heapInUse()
			for version := registrar.ReleaseVersion(2); version < 2+changes; version++ {
				r := largeReplacement(version, routes)
				change(r)
				entry, err := EncodeCommand(Command{Kind: CommandReplace, Replacement: r})
				require.NoError(t, err)
				// The log keeps the entry in memory.
				entries = append(entries, entry)
				l.Apply(0, entry)
			}
			require.Equal(t, registrar.ReleaseVersion(1+changes), l.World.Release().Version)
			perChange := (heapInUse() - before) / changes
			t.Logf("%d bytes a change, of which %d in the log", perChange, len(entries[0]))
			require.LessOrEqual(t, perChange, int64(maxBytesPerChange))
			runtime.KeepAlive(entries)
			runtime.KeepAlive(l)
		})
	}
}
