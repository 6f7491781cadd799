package compressor_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/store/compressor"
)

// TestRoundTrip guards against data that is changed or truncated by compression and decompression.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(rt, "data")
		got, err := compressor.Decompress(compressor.Compress(data))
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(data, got))
	})
}

// TestDecompressInvalid guards against truncated data that is taken for complete, and against data that expands without a bound.
func TestDecompressInvalid(t *testing.T) {
	compressed := compressor.Compress(bytes.Repeat([]byte("route "), 1000))
	_, err := compressor.Decompress(compressed[:len(compressed)-4])
	require.Error(t, err)
	_, err = compressor.Decompress(compressor.Compress(make([]byte, 65<<20)))
	require.ErrorIs(t, err, compressor.ErrTooLarge)
}
