package parser

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Change is a field whose value differs between two settings of the same type.
type Change struct {
	// Path names the field as Problem.Path does. A list or a map counts as one field.
	Path string
	// Old and New are the values as JSON, truncated.
	Old, New string
	// Reloadable reports whether a running process can apply the change without a restart.
	Reloadable bool
}

// Compare returns the fields that differ, in the order of their declaration, which is that of docs/settings.md.
func Compare[T any](old, next T) []Change {
	var changes []Change
	walkFields(reflect.TypeFor[T](), "", nil, func(path string, index []int, f field) {
		oldValue, newValue := reflect.ValueOf(&old).Elem().FieldByIndex(index), reflect.ValueOf(&next).Elem().FieldByIndex(index)
		if !sameValue(oldValue, newValue) {
			changes = append(changes, Change{Path: path, Old: formatValue(oldValue), New: formatValue(newValue), Reloadable: f.reloadable})
		}
	})
	return changes
}

// Reloadable returns the paths of the fields that a running process can change without a restart.
func Reloadable[T any]() []string {
	var paths []string
	walkFields(reflect.TypeFor[T](), "", nil, func(path string, _ []int, f field) {
		if f.reloadable {
			paths = append(paths, path)
		}
	})
	return paths
}

// walkFields calls visit for each field that holds a value. It descends into objects that only group fields.
func walkFields(t reflect.Type, path string, index []int, visit func(path string, index []int, f field)) {
	for _, f := range fieldsOf(t) {
		fieldIndex := append(index[:len(index):len(index)], f.index...)
		if f.onlyGroups() {
			walkFields(f.nested, join(path, f.name), fieldIndex, visit)
			continue
		}
		visit(join(path, f.name), fieldIndex, f)
	}
}

// sameValue reports whether two values are equal. An empty list or map equals a nil one.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice || a.Kind() == reflect.Map {
		if a.Len() == 0 && b.Len() == 0 {
			return true
		}
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// formatValue returns a value as JSON, truncated to maxExcerptLen bytes.
func formatValue(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	if len(b) > maxExcerptLen {
		return strings.ToValidUTF8(string(b[:maxExcerptLen]), "") + "..."
	}
	return string(b)
}
