package parser

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// field is what the tags of a struct field say.
type field struct {
	name  string
	index []int
	rule  rule
	// required fields have no default.
	required bool
	// fallback is the default as it would stand in a file, without quotes; empty for the zero value.
	fallback string
	// min and max bound the number of elements; max is 0 without a bound.
	min, max int
	doc      string
	// reload fields take effect in a running process.
	reload bool
	// nested is the type below the field if it has fields itself.
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
	f := field{index: []int{i}, rule: rules[sf.Tag.Get("rule")], doc: sf.Tag.Get("doc"), reload: sf.Tag.Get("reload") == "yes"}
	f.name, _, _ = strings.Cut(sf.Tag.Get("json"), ",")
	fallback, optional := sf.Tag.Lookup("default")
	f.fallback, f.required = fallback, !optional
	// Tags are constants of this package, so numbers in them parse.
	f.min, _ = strconv.Atoi(sf.Tag.Get("min"))
	f.max, _ = strconv.Atoi(sf.Tag.Get("max"))
	t := sf.Type
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Struct && !isText(t) {
		f.nested = t
	}
	return f
}

// groups reports whether the field is an object that only groups other fields.
func (f field) groups() bool { return f.nested != nil && f.doc == "" }

func names(fields []field) string {
	var all []string
	for _, f := range fields {
		all = append(all, f.name)
	}
	return strings.Join(all, ", ")
}

// describe says what is allowed.
func (f field) describe() string {
	switch {
	case f.nested != nil && f.max > 0:
		return fmt.Sprintf("%d to %d objects with %s", f.min, f.max, names(fieldsOf(f.nested)))
	case f.nested != nil:
		return "an object with " + names(fieldsOf(f.nested))
	case f.max > 0:
		return fmt.Sprintf("%d to %d elements, each %s", f.min, f.max, f.rule.want)
	}
	return f.rule.want
}

func (f field) setDefault(to reflect.Value) {
	text, err := json.Marshal(f.fallback)
	if err == nil && json.Unmarshal(text, to.Addr().Interface()) == nil {
		return
	}
	// A number is not a JSON string. TestDefaults holds every default against its rule.
	_ = json.Unmarshal([]byte(f.fallback), to.Addr().Interface())
}

// WriteFields writes a Markdown table of the settings of a type.
func WriteFields[T any](w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| field | default | allowed | reload | meaning |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	return writeFields(w, reflect.TypeFor[T](), "", false)
}

// writeFields writes the rows of a type. The elements of a list that can be reloaded can be reloaded as well.
func writeFields(w io.Writer, t reflect.Type, path string, reload bool) error {
	for _, f := range fieldsOf(t) {
		name := join(path, f.name)
		if f.groups() {
			if err := writeFields(w, f.nested, name, reload); err != nil {
				return err
			}
			continue
		}
		fallback := f.fallback
		switch {
		case f.required:
			fallback = "required"
		case fallback == "":
			fallback = "none"
		}
		takes := "restart"
		if f.reload || reload {
			takes = "yes"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", name, fallback, f.describe(), takes, f.doc); err != nil {
			return err
		}
		if f.nested != nil {
			if err := writeFields(w, f.nested, name+"[]", f.reload || reload); err != nil {
				return err
			}
		}
	}
	return nil
}
