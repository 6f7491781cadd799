package parser

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Change is a field that differs between two settings of one type.
type Change struct {
	// Path names the field as in a Problem. A list or a dictionary is one field.
	Path string
	// Old and New are the values as they would stand in a file, shortened.
	Old, New string
	// Reloadable says that a running process can take the change.
	Reloadable bool
}

// Compare returns the fields that differ, in the order of the settings page.
func Compare[T any](old, next T) []Change {
	var all []Change
	walkFields(reflect.TypeFor[T](), "", nil, func(path string, index []int, f field) {
		a, b := reflect.ValueOf(&old).Elem().FieldByIndex(index), reflect.ValueOf(&next).Elem().FieldByIndex(index)
		if !sameValue(a, b) {
			all = append(all, Change{Path: path, Old: literal(a), New: literal(b), Reloadable: f.reload})
		}
	})
	return all
}

// Reloadable returns the paths of the fields that a running process can change.
func Reloadable[T any]() []string {
	var all []string
	walkFields(reflect.TypeFor[T](), "", nil, func(path string, _ []int, f field) {
		if f.reload {
			all = append(all, path)
		}
	})
	return all
}

// walkFields visits the fields that hold a value of their own. Objects without a description only group fields.
func walkFields(t reflect.Type, path string, index []int, visit func(path string, index []int, f field)) {
	for _, f := range fieldsOf(t) {
		at := append(index[:len(index):len(index)], f.index...)
		if f.groups() {
			walkFields(f.nested, join(path, f.name), at, visit)
			continue
		}
		visit(join(path, f.name), at, f)
	}
}

// sameValue takes an empty list for the same as none.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice || a.Kind() == reflect.Map {
		if a.Len() == 0 && b.Len() == 0 {
			return true
		}
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

func literal(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	if len(b) > maxShown {
		return strings.ToValidUTF8(string(b[:maxShown]), "") + "..."
	}
	return string(b)
}
