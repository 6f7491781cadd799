package parser

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCompare guards against a changed field that is missed or reported under another path, and against a change that is
// reported as reloadable although it needs a restart.
func TestCompare(t *testing.T) {
	content := read(t, "teoh/control-a.json")
	old, err := Parse[Control]("f.json", []byte(content))
	require.NoError(t, err)
	require.Empty(t, Compare(old, old))
	for path, c := range map[string]struct {
		old, next string
		reload    bool
	}{
		"zone":               {`"johor-a"`, `"johor-b"`, false},
		"api_address":        {`:7001"`, `:7009"`, false},
		"keys.data_key_file": {`/data.key"`, `/other.key"`, false},
		"objectives":         {`"answered": 0.999`, `"answered": 0.9`, true},
	} {
		require.Contains(t, content, c.old)
		next, err := Parse[Control]("f.json", []byte(strings.Replace(content, c.old, c.next, 1)))
		require.NoError(t, err)
		all := Compare(old, next)
		require.Len(t, all, 1, path)
		require.Equal(t, path, all[0].Path)
		require.Equal(t, c.reload, all[0].Reloadable, path)
		require.NotEqual(t, all[0].Old, all[0].New, path)
	}
	require.Equal(t, []string{"lease_expired", "slots", "drain"}, Reloadable[Agent]())
}

// TestCompareFindsEveryField guards against a field, at any depth, whose change Compare misses.
func TestCompareFindsEveryField(t *testing.T) {
	base, err := Parse[Agent]("f.json", []byte(read(t, "teoh/agent-order-desk-1.json")))
	require.NoError(t, err)
	var paths []string
	var indexes [][]int
	walkFields(reflect.TypeFor[Agent](), "", nil, func(path string, index []int, _ field) {
		paths, indexes = append(paths, path), append(indexes, index)
	})
	require.Contains(t, paths, "keys.data_key_file")
	rapid.Check(t, func(t *rapid.T) {
		next := base
		var want []string
		for i, index := range indexes {
			if v := reflect.ValueOf(&next).Elem().FieldByIndex(index); !v.IsZero() && rapid.Bool().Draw(t, paths[i]) {
				v.SetZero()
				want = append(want, paths[i])
			}
		}
		var got []string
		for _, c := range Compare(base, next) {
			got = append(got, c.Path)
		}
		require.Equal(t, want, got)
	})
}
