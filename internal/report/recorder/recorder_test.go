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

// TestEventList guards against an event that docs/events.md lacks, describes with another message or lists although the code
// does not have it, and against a number that is used twice.
func TestEventList(t *testing.T) {
	page, err := os.ReadFile("../../../docs/events.md")
	require.NoError(t, err)
	listed := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| (info|warn|error) \| [^|]+ \|$`).FindAllStringSubmatch(string(page), -1) {
		require.NotContains(t, listed, m[1], "event is listed twice")
		listed[m[1]] = m[2]
	}
	coded := map[string]string{}
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		collectEvents(t, file, coded)
	}
	require.NotEmpty(t, coded)
	require.Equal(t, coded, listed)
}

// collectEvents adds the numbers and messages of the events that a file declares.
func collectEvents(t *testing.T, file *ast.File, coded map[string]string) {
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
		require.NotContains(t, coded, number, "number is used twice")
		coded[number] = message
		return true
	})
}
