package recorder_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventList guards against docs/events.md differing from the code: a missing event, an extra event or another message. It
// also guards against a number that is used twice.
func TestEventList(t *testing.T) {
	page, err := os.ReadFile("../../../docs/events.md")
	require.NoError(t, err)
	listed := map[string]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| (info|warn|error) \| [^|]+ \|$`).FindAllStringSubmatch(string(page), -1) {
		require.NotContains(t, listed, row[1], "event is listed twice")
		listed[row[1]] = row[2]
	}
	declared := map[string]string{}
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		collectEvents(t, file, declared)
	}
	require.NotEmpty(t, declared)
	require.Equal(t, declared, listed)
}

// collectEvents adds the numbers and messages of the events that a file declares to a map by number.
func collectEvents(t *testing.T, file *ast.File, declared map[string]string) {
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		if !ok || len(lit.Elts) != 2 {
			return true
		}
		if id, ok := lit.Type.(*ast.Ident); !ok || id.Name != "Event" {
			return true
		}
		message, err := strconv.Unquote(lit.Elts[1].(*ast.BasicLit).Value)
		require.NoError(t, err)
		number := lit.Elts[0].(*ast.BasicLit).Value
		require.NotContains(t, declared, number, "number is used twice")
		declared[number] = message
		return true
	})
}
