package journaler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeFrame guards against damaged files that crash the decoder or decode to records that were not written.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(encodeFrame(1, 16, []Record{{Kind: 3, Body: []byte("entry")}, {Kind: 1}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		records, n, err := decodeFrame(1, 16, b)
		if err != nil {
			return
		}
		require.LessOrEqual(t, n, len(b))
		require.Equal(t, b[:n], encodeFrame(1, 16, records))
	})
}
