// Package compressor compresses what is stored and sent in large pieces (RFC 1951).
package compressor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxText bounds what a compressed text may hold, in bytes.
const maxText = 64 << 20

// ErrTooLarge means that a compressed text holds more than 64 MB.
var ErrTooLarge = eris.New("compressed text is too large")

// Compress compresses a text.
func Compress(text []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(text)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// A buffer takes every write, and the level is valid.
		panic(err)
	}
	return out.Bytes()
}

// Decompress returns the text that was compressed. It fails with ErrTooLarge, or if b is not a whole compressed text.
func Decompress(b []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxText+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(text) > maxText {
		return nil, ErrTooLarge
	}
	return text, nil
}
