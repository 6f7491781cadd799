package encoder

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestHopRoundTrip guards against fields of a hop datagram that are lost or swapped when they are encoded and decoded.
func TestHopRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := carrier.HopHeader{
			Kind:    carrier.HopKind(rapid.IntRange(int(carrier.HopPass), int(carrier.HopReport)).Draw(t, "kind")),
			Service: carrier.ServiceTag(rapid.Uint32().Draw(t, "service")), Step: rapid.Uint8().Draw(t, "step"),
			Searching: rapid.Bool().Draw(t, "searching"), Reason: carrier.ReturnReason(rapid.IntRange(0, 7).Draw(t, "reason")),
			Probe:       rapid.Bool().Draw(t, "probe"),
			ReportTicks: carrier.ReportTicks(rapid.IntRange(0, int(carrier.MaxReportTicks)).Draw(t, "ticks")),
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "payload")
		b := append(make([]byte, HopHeaderSize), payload...)
		PutHop(b, h)
		got, rest, err := ParseHop(b)
		require.NoError(t, err)
		require.Equal(t, h, got)
		require.Equal(t, payload, append([]byte{}, rest...))

		r := carrier.LoadReport{
			Service: h.Service, Accepting: rapid.Bool().Draw(t, "accepting"), Cold: rapid.Bool().Draw(t, "cold"),
			InFlight: rapid.Uint16().Draw(t, "busy"), Slots: rapid.Uint16().Draw(t, "slots"),
			Allowance: rapid.Uint16().Draw(t, "allowance"), ServiceTimeMicros: rapid.Uint32().Draw(t, "work"),
			Failures: carrier.FailureShare(rapid.Uint8().Draw(t, "failures")), ProbeDue: rapid.Bool().Draw(t, "probe due"),
		}
		got, rest, err = ParseHop(AppendReport(nil, r))
		require.NoError(t, err)
		report, err := ParseReport(got, rest)
		require.NoError(t, err)
		require.Equal(t, r, report)

		f := registrar.Flow{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, rapid.Byte().Draw(t, "ip")}), rapid.Uint16().Draw(t, "port")),
			Service: netip.MustParseAddrPort("198.18.0.1:443"),
		}
		got, rest, err = ParseHop(AppendHeld(nil, h.Service, f))
		require.NoError(t, err)
		require.Equal(t, carrier.HopFlowFound, got.Kind)
		held, err := ParseHeld(rest)
		require.NoError(t, err)
		require.Equal(t, f, held)
	})
}

// FuzzHop guards against a panic on a malformed hop datagram.
func FuzzHop(f *testing.F) {
	f.Add(AppendReport(nil, carrier.LoadReport{}))
	f.Add([]byte{hopVersion | 3, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rest, err := ParseHop(b)
		if err != nil {
			return
		}
		_, _ = ParseReport(h, rest)
		_, _ = ParseHeld(rest)
	})
}
