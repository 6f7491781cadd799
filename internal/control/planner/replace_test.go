package planner

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// replacement returns a configuration with one route on each of the given ports.
func replacement(version registrar.ReleaseVersion, ports ...int) *Replacement {
	r := &Replacement{
		Release:  registrar.Release{Version: version},
		Zones:    []registrar.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Services: []registrar.Service{{Name: "desk"}, {Name: "catalogue"}},
		Document: NewDocument([]byte(fmt.Sprint("version ", version, " routes ", ports))),
	}
	for _, port := range ports {
		r.Routes = append(r.Routes, registrar.Route{
			Name: registrar.RouteName(fmt.Sprint("r", port)), Kind: registrar.RouteIdempotent, Timeout: 500,
			Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(port)),
			Targets: []registrar.Target{{Service: "desk", Weight: 1}},
		})
	}
	return r
}

// applyEncoded encodes, decodes and applies a command.
func applyEncoded(t require.TestingT, l *Ledger, c Command) Result {
	entry, err := EncodeCommand(c)
	require.NoError(t, err)
	decoded, err := decodeCommand(entry)
	require.NoError(t, err)
	return l.apply(decoded)
}

func applyReplacement(t require.TestingT, l *Ledger, r *Replacement) Result {
	return applyEncoded(t, l, Command{Kind: CommandReplace, Replacement: r})
}

// TestReplaceVersions guards against a configuration that is replaced by an older, resent or concurrent one: in whatever
// order versions arrive, the highest one is current and its document is read, also after a snapshot was restored.
func TestReplaceVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(&publisher.Publisher{})
		var newest *Replacement
		for i := range rapid.IntRange(1, 12).Draw(t, "orders") {
			version := registrar.ReleaseVersion(rapid.IntRange(1, 6).Draw(t, "version"))
			r := replacement(version, rapid.SliceOfDistinct(rapid.IntRange(1, 8), rapid.ID[int]).Draw(t, "routes")...)
			r.Document = NewDocument([]byte(fmt.Sprint("order ", i)))
			require.Nil(t, applyReplacement(t, l, r).Failure)
			if newest == nil || version > newest.Version {
				newest = r
			}
			if rapid.Bool().Draw(t, "restart") {
				snapshot, err := l.Snapshot()
				require.NoError(t, err)
				l = NewLedger(&publisher.Publisher{})
				require.NoError(t, l.Restore(snapshot))
			}
			read := applyEncoded(t, l, Command{Kind: CommandRead})
			require.Equal(t, newest.Version, read.Version)
			require.Equal(t, newest.Document, read.Document)
			require.Len(t, l.World.Routes(), len(newest.Routes))
			for _, route := range newest.Routes {
				stored, ok := l.World.Route(route.Address)
				require.True(t, ok)
				require.True(t, stored.Equal(route))
			}
		}
	})
}

// TestReplaceInvalid guards against a configuration that is applied although a part of it is invalid, and against one that is
// partly applied.
func TestReplaceInvalid(t *testing.T) {
	for name, invalidate := range map[string]func(r *Replacement){
		"unknown service":  func(r *Replacement) { r.Routes[1].Targets[0].Service = "none" },
		"same address":     func(r *Replacement) { r.Routes[1].Address = r.Routes[0].Address },
		"no timeout":       func(r *Replacement) { r.Routes[1].Timeout = 0 },
		"no weight":        func(r *Replacement) { r.Routes[1].Targets[0].Weight = 0 },
		"no target":        func(r *Replacement) { r.Routes[1].Targets = nil },
		"no version":       func(r *Replacement) { r.Version = 0 },
		"service twice":    func(r *Replacement) { r.Services[1].Name = r.Services[0].Name },
		"unknown kind":     func(r *Replacement) { r.Routes[1].Kind = "other" },
		"address of zeros": func(r *Replacement) { r.Routes[1].Address = netip.MustParseAddrPort("0.0.0.0:80") },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(&publisher.Publisher{})
			require.Nil(t, applyReplacement(t, l, replacement(1, 1)).Failure)
			stateBefore := l.World.State()
			r := replacement(2, 1, 2)
			invalidate(r)
			require.ErrorIs(t, r.Check(), registrar.ErrInvalid)
			require.Equal(t, FailureInvalid, applyReplacement(t, l, r).Failure.Code)
			require.Equal(t, stateBefore, l.World.State())
		})
	}
}

// TestReplaceSendsDifferences guards against updates that contain every route although one has changed: a large configuration
// that changes often would saturate the links of small machines.
func TestReplaceSendsDifferences(t *testing.T) {
	l := NewLedger(&publisher.Publisher{})
	require.Nil(t, applyReplacement(t, l, replacement(1, 1, 2, 3)).Failure)
	next := replacement(2, 1, 2, 4)
	next.Routes[1].Timeout++
	var kinds []registrar.ChangeKind
	for _, c := range l.replacementChanges(next) {
		kinds = append(kinds, c.Kind)
	}
	require.Equal(t, []registrar.ChangeKind{
		registrar.PutRoute, registrar.PutRoute, registrar.DeleteRoute, registrar.PutRelease,
	}, kinds)
}

// TestApplyZone guards against a withdrawal that is refused when it is resent, and against a delayed copy of a request that
// reverts a newer one.
func TestApplyZone(t *testing.T) {
	l := NewLedger(&publisher.Publisher{})
	require.Nil(t, applyReplacement(t, l, replacement(1, 1)).Failure)
	applyZone := func(kind IntentKind, base registrar.Revision) Result {
		return applyEncoded(t, l, Command{Kind: CommandApply, Base: base, Intent: &Intent{Kind: kind, Zone: &registrar.Zone{Name: "a"}}})
	}
	withdrawn := func() bool {
		z, _ := l.World.Zone("a")
		return z.Withdrawn
	}
	firstRevision := l.World.Revision()
	require.Nil(t, applyZone(WithdrawZone, firstRevision).Failure)
	require.True(t, withdrawn())
	require.Nil(t, applyZone(WithdrawZone, firstRevision).Failure, "a resend")
	require.Nil(t, applyZone(ReturnZone, l.World.Revision()).Failure)
	require.False(t, withdrawn())
	require.Equal(t, FailureStale, applyZone(WithdrawZone, firstRevision).Failure.Code, "a late copy")
	require.False(t, withdrawn())
	require.Equal(t, FailureNotFound, applyEncoded(t, l, Command{Kind: CommandApply, Intent: &Intent{
		Kind: WithdrawZone, Zone: &registrar.Zone{Name: "none"},
	}}).Failure.Code)
}
