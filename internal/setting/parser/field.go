package parser

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// field describes a struct field of a settings type, as given by its tags.
type field struct {
	name string
	// index is the index sequence of the field for reflect.Value.FieldByIndex.
	index []int
	rule  rule
	// required is true for a field without a default.
	required bool
	// defaultText is the default as written in a file, without quotes; it is empty if the default is the zero value.
	defaultText string
	// min and max bound the number of elements of a list or map; max is 0 if there is no bound.
	min, max int
	doc      string
	// reloadable is true for a field whose new value a running process applies without a restart.
	reloadable bool
	// nested is the type of the field or of its elements if that is a struct with fields of its own, and nil otherwise.
	nested reflect.Type
}

// fieldsOf returns the fields of a settings type, those of embedded structs included.
func fieldsOf(t reflect.Type) []field {
	var all []field
	for i := range t.NumField() {
		sf := t.Field(i)
		if sf.Anonymous {
			for _, f := range fieldsOf(sf.Type) {
				f.index = append([]int{i}, f.index...)
				all = append(all, f)
			}
			continue
		}
		all = append(all, newField(i, sf))
	}
	return all
}

func newField(i int, sf reflect.StructField) field {
	f := field{index: []int{i}, rule: rules[sf.Tag.Get("rule")], doc: sf.Tag.Get("doc"), reloadable: sf.Tag.Get("reload") == "yes"}
	f.name, _, _ = strings.Cut(sf.Tag.Get("json"), ",")
	defaultText, optional := sf.Tag.Lookup("default")
	f.defaultText, f.required = defaultText, !optional
	// The tags are constants of this package, so the numbers in them are valid.
	f.min, _ = strconv.Atoi(sf.Tag.Get("min"))
	f.max, _ = strconv.Atoi(sf.Tag.Get("max"))
	t := sf.Type
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Struct && !unmarshalsText(t) {
		f.nested = t
	}
	return f
}

// onlyGroups reports whether the field only groups other fields. Such a field is an object without a description.
func (f field) onlyGroups() bool { return f.nested != nil && f.doc == "" }

// fieldNames returns the names of the fields, separated by commas.
func fieldNames(fields []field) string {
	var all []string
	for _, f := range fields {
		all = append(all, f.name)
	}
	return strings.Join(all, ", ")
}

// describe describes the allowed values of the field.
func (f field) describe() string {
	switch {
	case f.nested != nil && f.max > 0:
		return fmt.Sprintf("%d to %d objects with %s", f.min, f.max, fieldNames(fieldsOf(f.nested)))
	case f.nested != nil:
		return "an object with " + fieldNames(fieldsOf(f.nested))
	case f.max > 0:
		return fmt.Sprintf("%d to %d elements, each %s", f.min, f.max, f.rule.allowed)
	}
	return f.rule.allowed
}

// setDefault stores the default of the field.
func (f field) setDefault(to reflect.Value) {
	text, err := json.Marshal(f.defaultText)
	if err == nil && json.Unmarshal(text, to.Addr().Interface()) == nil {
		return
	}
	// The default of a numeric or boolean field is not a JSON string. TestDefaults checks every default against its rule.
	_ = json.Unmarshal([]byte(f.defaultText), to.Addr().Interface())
}

// WriteFields writes a Markdown table of the fields of a settings type.
func WriteFields[T any](w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| field | default | allowed | reload | meaning |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	return writeFields(w, reflect.TypeFor[T](), "", false)
}

// writeFields writes the table rows of a type. Fields inside a reloadable list are reloadable too.
func writeFields(w io.Writer, t reflect.Type, path string, parentReloadable bool) error {
	for _, f := range fieldsOf(t) {
		name := join(path, f.name)
		if f.onlyGroups() {
			if err := writeFields(w, f.nested, name, parentReloadable); err != nil {
				return err
			}
			continue
		}
		defaultCell := f.defaultText
		switch {
		case f.required:
			defaultCell = "required"
		case defaultCell == "":
			defaultCell = "none"
		}
		reloadCell := "restart"
		if f.reloadable || parentReloadable {
			reloadCell = "yes"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", name, defaultCell, f.describe(), reloadCell, f.doc); err != nil {
			return err
		}
		if f.nested != nil {
			if err := writeFields(w, f.nested, name+"[]", f.reloadable || parentReloadable); err != nil {
				return err
			}
		}
	}
	return nil
}
