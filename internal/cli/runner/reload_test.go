package runner

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

// TestSetters guards against a field that settings.md marks as reloadable although no code puts a new value into force, and
// against one that is put into force but needs a restart by the page.
func TestSetters(t *testing.T) {
	requireSetters(t, entrySetters(&node{}, &span{}))
	requireSetters(t, (&agent{}).setters())
	requireSetters(t, controlSetters(&burner.Collector{}))
	requireSetters(t, streamSetters[parser.StreamEntry](&node{}, &span{}))
	requireSetters(t, streamSetters[parser.StreamAgent](&node{}, &span{}))
	requireSetters(t, openControlSetters())
}

func requireSetters[T any](t *testing.T, s setters[T]) {
	require.ElementsMatch(t, parser.Reloadable[T](), slices.Collect(maps.Keys(s)))
}
