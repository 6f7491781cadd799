// Package measurer holds the measurements of docs/MEASUREMENTS.md. They are tests that run only with the flag -measure, for
// example
//
//	make measure NAME=request_path SEED=1
package measurer

import (
	"flag"
	"testing"
)

var (
	enabled = flag.Bool("measure", false, "run measurements")
	seed    = flag.Uint64("seed", 1, "seed of random choices")
)

// Start skips the measurement unless -measure is given, and returns the seed, which it prints.
func Start(t *testing.T) uint64 {
	t.Helper()
	if !*enabled {
		t.Skip("needs -measure")
	}
	t.Logf("seed %d", *seed)
	return *seed
}
