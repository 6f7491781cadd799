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

func address(t *rapid.T, label string) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)))
	if rapid.Bool().Draw(t, "ipv6") {
		ip = netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label))).Unmap()
	}
	return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
}

// TestDatagramSeal guards that a header survives the wire, also with IPv6 addresses, and that no datagram with a changed
// or missing byte is accepted.
func TestDatagramSeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := carrier.Header{
			Kind: carrier.Forward, Flags: carrier.Direct, Service: 3, Target: 4, Revision: registrar.Revision(rapid.Uint64().Draw(t, "revision")),
			Flow:  registrar.Flow{Caller: address(t, "caller"), Service: address(t, "service")},
			Entry: address(t, "entry"),
		}
		for i := range rapid.IntRange(0, carrier.MaxAsked).Draw(t, "hops") {
			h.AddAsked(registrar.UpstreamID(i + 1))
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "payload")
		d := encoder.AppendDatagram(nil, key, &h, payload)
		broken := append([]byte(nil), d...)
		var got carrier.Header
		p, err := encoder.NewKeyring(key).Parse(d, &got)
		require.NoError(t, err)
		require.Equal(t, h, got)
		require.Equal(t, payload, append([]byte{}, p...))

		broken[rapid.IntRange(0, len(broken)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = encoder.NewKeyring(key).Parse(append([]byte(nil), broken...), &got)
		require.Error(t, err)
		_, err = encoder.NewKeyring(key).Parse(broken[:rapid.IntRange(0, len(broken)-1).Draw(t, "length")], &got)
		require.Error(t, err)
	})
}

// FuzzParseDatagram guards that no input makes the decoder read out of bounds, also behind a valid tag.
func FuzzParseDatagram(f *testing.F) {
	f.Add(encoder.AppendDatagram(nil, key, &carrier.Header{Kind: carrier.Answer}, []byte("x")))
	f.Add([]byte{encoder.DatagramVersion})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var h carrier.Header
		_, _ = encoder.NewKeyring(key).Parse(append([]byte(nil), b...), &h)
		_, _ = encoder.NewKeyring(key).Parse(encoder.Seal(append([]byte(nil), b...), key), &h)
	})
}
