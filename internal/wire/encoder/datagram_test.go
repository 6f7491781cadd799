package encoder_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var key = encoder.Key{K0: 1, K1: 2}

// drawAddress draws a random IPv4 or IPv6 address and port.
func drawAddress(t *rapid.T, label string) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)))
	if rapid.Bool().Draw(t, "ipv6") {
		ip = netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label))).Unmap()
	}
	return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
}

// TestDatagramSeal guards against headers that change when they are encoded and decoded, also with IPv6 addresses, and against
// acceptance of a datagram with a changed or missing byte.
func TestDatagramSeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := carrier.Header{
			Kind: carrier.Forward, Flags: carrier.Direct, Service: 3, Target: 4, Revision: registrar.Revision(rapid.Uint64().Draw(t, "revision")),
			Flow:  registrar.Flow{Caller: drawAddress(t, "caller"), Service: drawAddress(t, "service")},
			Entry: drawAddress(t, "entry"),
		}
		for i := range rapid.IntRange(0, carrier.MaxHops).Draw(t, "hops") {
			h.AddVisited(registrar.UpstreamID(i + 1))
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "payload")
		d := encoder.AppendDatagram(nil, key, &h, payload)
		corrupted := append([]byte(nil), d...)
		var got carrier.Header
		p, err := encoder.NewKeyring(key).Parse(d, &got)
		require.NoError(t, err)
		require.Equal(t, h, got)
		require.Equal(t, payload, append([]byte{}, p...))

		corrupted[rapid.IntRange(0, len(corrupted)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = encoder.NewKeyring(key).Parse(append([]byte(nil), corrupted...), &got)
		require.Error(t, err)
		_, err = encoder.NewKeyring(key).Parse(corrupted[:rapid.IntRange(0, len(corrupted)-1).Draw(t, "length")], &got)
		require.Error(t, err)
	})
}

// FuzzParseDatagram guards against out-of-bounds reads on malformed datagrams, with and without a valid tag.
func FuzzParseDatagram(f *testing.F) {
	f.Add(encoder.AppendDatagram(nil, key, &carrier.Header{Kind: carrier.Answer}, []byte("x")))
	f.Add([]byte{encoder.DatagramVersion})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var h carrier.Header
		_, _ = encoder.NewKeyring(key).Parse(append([]byte(nil), b...), &h)
		_, _ = encoder.NewKeyring(key).Parse(encoder.Seal(append([]byte(nil), b...), key), &h)
	})
}
