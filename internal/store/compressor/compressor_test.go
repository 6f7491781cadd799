package compressor_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/store/compressor"
)

// TestRoundTrip guards against a text that is changed or cut by the way through the compressor.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(rt, "text")
		got, err := compressor.Decompress(compressor.Compress(text))
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(text, got))
	})
}

// TestDamaged guards against a text that ends early or expands without a bound.
func TestDamaged(t *testing.T) {
	whole := compressor.Compress(bytes.Repeat([]byte("route "), 1000))
	_, err := compressor.Decompress(whole[:len(whole)-4])
	require.Error(t, err)
	_, err = compressor.Decompress(compressor.Compress(make([]byte, 65<<20)))
	require.ErrorIs(t, err, compressor.ErrTooLarge)
}
