// Package compressor compresses large data for storage and transport with DEFLATE (RFC 1951).
package compressor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDecompressedSize is the largest size of decompressed data, in bytes. It bounds the memory that a small input can claim.
const maxDecompressedSize = 64 << 20

// ErrTooLarge means that data decompresses to more than 64 MB.
var ErrTooLarge = eris.New("decompressed data is too large")

// Compress returns the compressed form of data.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// Writes to a buffer do not fail, and the level is valid.
		panic(err)
	}
	return out.Bytes()
}

// Decompress returns the data that Compress was given. It fails with ErrTooLarge if there are more than 64 MB of it, and with
// another error if compressed is incomplete or not in DEFLATE format.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(data) > maxDecompressedSize {
		return nil, ErrTooLarge
	}
	return data, nil
}
