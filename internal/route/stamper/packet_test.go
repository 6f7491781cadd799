package stamper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/route/stamper"
)

// FuzzParse guards against reading beyond the end of a datagram, and against returning a connection id that does not fit into the
// datagram.
func FuzzParse(f *testing.F) {
	f.Add([]byte{0x40, 1, 2, 3})
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, id := stamper.Parse(b)
		if kind == stamper.Malformed {
			require.Nil(t, id)
			return
		}
		require.LessOrEqual(t, len(id), 20)
		require.Less(t, len(id), len(b))
		s := stamper.Stamper{Keys: []stamper.Key{{ID: 1, K0: 2, K1: 3}}}
		_, ok := s.Verify(id)
		require.False(t, ok && len(id) != stamper.Size)
	})
}

// TestParseVersions guards against dropping the first packets of callers with other QUIC versions. They have to reach an agent,
// which answers with the versions that it supports.
func TestParseVersions(t *testing.T) {
	longHeaderPacket := func(first byte, version uint32, size int) []byte {
		b := make([]byte, size)
		b[0], b[1], b[2], b[3], b[4] = first, byte(version>>24), byte(version>>16), byte(version>>8), byte(version)
		return b
	}
	for name, c := range map[string]struct {
		packet []byte
		want   stamper.Kind
	}{
		"version 1 initial":          {longHeaderPacket(0xc0, 1, 1200), stamper.Initial},
		"version 1 handshake":        {longHeaderPacket(0xe0, 1, 1200), stamper.LongHeader},
		"version 1 initial, short":   {longHeaderPacket(0xc0, 1, 1199), stamper.LongHeader},
		"version 2 initial":          {longHeaderPacket(0xd0, 0x6b3343cf, 1200), stamper.Initial},
		"version negotiation packet": {longHeaderPacket(0x80, 0, 1200), stamper.Malformed},
	} {
		got, _ := stamper.Parse(c.packet)
		require.Equal(t, c.want, got, name)
	}
}
