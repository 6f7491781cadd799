// Package measurer holds the measurements of docs/MEASUREMENTS.md. They are tests that run only with the flag -measure, for
// example
//
//	make measure NAME=request_path SEED=1
package measurer

import (
	"flag"
	"maps"
	"slices"
	"testing"
)

var (
	enabled = flag.Bool("measure", false, "run measurements")
	seed    = flag.Uint64("seed", 1, "seed of random choices")
)

// measurement measures one entry of docs/MEASUREMENTS.md and logs the figures.
type measurement func(t *testing.T, seed uint64)

var measurements = map[string]measurement{}

// register adds a measurement under the name given as NAME to make measure.
func register(name string, m measurement) {
	if _, ok := measurements[name]; ok {
		panic("measurement " + name + " is registered twice")
	}
	measurements[name] = m
}

// runAll runs the registered measurements as subtests, or skips them without -measure.
func runAll(t *testing.T) {
	if !*enabled {
		t.Skip("needs -measure")
	}
	for _, name := range slices.Sorted(maps.Keys(measurements)) {
		t.Run(name, func(t *testing.T) {
			t.Logf("seed %d", *seed)
			measurements[name](t, *seed)
		})
	}
}
