package parser

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShown bounds the length in bytes of a value in a problem.
const maxShown = 80

// Problem is one reason why a settings file is not acceptable.
type Problem struct {
	File string
	Line int
	// Path names the field, for example keys.data_key_file or control[1]; it is empty for the file as a whole.
	Path string
	// Value is the value found, or a word such as missing.
	Value string
	// Want says what is allowed.
	Want string
}

// Error returns the problem in one line.
func (p Problem) Error() string {
	at := p.Path
	if at == "" {
		at = "file"
	}
	return fmt.Sprintf("%s:%d: %s: %s; want %s", p.File, p.Line, at, p.Value, p.Want)
}

// Problems are all problems of a file. They are ErrInvalid.
type Problems []Problem

// Error returns one line a problem.
func (p Problems) Error() string {
	lines := []string{ErrInvalid.Error()}
	for _, one := range p {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Parse decodes and checks the content of a settings file. file is used in problems only.
func Parse[T any](file string, content []byte) (T, error) {
	var cfg T
	d := &decoder{file: file, content: content, lines: map[string]int{}}
	root, err := hujson.Parse(content)
	if err != nil {
		return cfg, Problems{{File: file, Line: 1, Value: err.Error(), Want: "JSON with comments"}}
	}
	v := reflect.ValueOf(&cfg).Elem()
	d.decode(&root, v, "", rule{})
	if checker, ok := any(&cfg).(crossChecker); ok && len(d.problems) == 0 {
		for _, m := range checker.crossCheck() {
			line := max(d.lines[m.path], 1)
			d.problems = append(d.problems, Problem{File: file, Line: line, Path: m.path, Value: m.value, Want: m.want})
		}
	}
	if len(d.problems) > 0 {
		var none T
		return none, d.problems
	}
	return cfg, nil
}

// decoder fills a settings value and collects problems.
type decoder struct {
	file     string
	content  []byte
	problems Problems
	// lines has the line of each field that was found.
	lines map[string]int
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.content[:min(v.StartOffset, len(d.content))], []byte("\n"))
}

func (d *decoder) fail(v *hujson.Value, path, value, want string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.line(v), Path: path, Value: value, Want: want})
}

// shown is a value as it stands in the file, shortened.
func (d *decoder) shown(v *hujson.Value) string {
	s := string(bytes.TrimSpace(d.content[v.StartOffset:v.EndOffset]))
	if len(s) > maxShown {
		s = strings.ToValidUTF8(s[:maxShown], "") + "..."
	}
	return strings.ReplaceAll(s, "\n", " ")
}

func (d *decoder) decode(v *hujson.Value, to reflect.Value, path string, r rule) {
	d.lines[path] = d.line(v)
	switch {
	case isText(to.Type()):
		d.leaf(v, to, path, r)
	case to.Kind() == reflect.Struct:
		d.object(v, to, path)
	case to.Kind() == reflect.Map:
		d.dictionary(v, to, path, r)
	case to.Kind() == reflect.Slice:
		d.list(v, to, path, r)
	default:
		d.leaf(v, to, path, r)
	}
}

func isText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func (d *decoder) leaf(v *hujson.Value, to reflect.Value, path string, r rule) {
	literal, ok := v.Value.(hujson.Literal)
	// JSON would accept null for any type and leave the zero value.
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, to.Addr().Interface()) != nil {
		d.fail(v, path, d.shown(v), r.describe(to.Type()))
		return
	}
	if r.ok != nil && !r.ok(to.Interface()) {
		d.fail(v, path, d.shown(v), r.want)
	}
}

func (r rule) describe(t reflect.Type) string {
	if r.want != "" {
		return r.want
	}
	return t.Kind().String()
}

func (d *decoder) object(v *hujson.Value, to reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(v, path, d.shown(v), "an object")
		return
	}
	fields := fieldsOf(to.Type())
	found := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		switch {
		case at < 0:
			d.fail(&m.Name, join(path, name), "unknown field", "one of "+names(fields))
		case found[name]:
			d.fail(&m.Name, join(path, name), "given twice", "one value")
		default:
			found[name] = true
			f := fields[at]
			d.decode(&m.Value, to.FieldByIndex(f.index), join(path, name), f.rule)
			d.checkLength(&m.Value, to.FieldByIndex(f.index), join(path, name), f)
		}
	}
	for _, f := range fields {
		switch {
		case found[f.name]:
		case f.required:
			d.fail(v, join(path, f.name), "missing", f.describe())
		case f.fallback != "":
			f.setDefault(to.FieldByIndex(f.index))
		}
	}
}

// checkLength checks the number of elements of a list or dictionary.
func (d *decoder) checkLength(v *hujson.Value, to reflect.Value, path string, f field) {
	if f.max == 0 || to.Kind() != reflect.Slice && to.Kind() != reflect.Map {
		return
	}
	if n := to.Len(); n < f.min || n > f.max {
		d.fail(v, path, strconv.Itoa(n)+" elements", fmt.Sprintf("%d to %d elements", f.min, f.max))
	}
}

func (d *decoder) dictionary(v *hujson.Value, to reflect.Value, path string, r rule) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(v, path, d.shown(v), "an object")
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		key := reflect.New(to.Type().Key()).Elem()
		keyRule := rules["name"]
		if isText(key.Type()) {
			keyRule = rules["ip"]
		}
		before := len(d.problems)
		d.decode(&m.Name, key, join(path, name), keyRule)
		if len(d.problems) > before {
			continue
		}
		if to.MapIndex(key).IsValid() {
			d.fail(&m.Name, join(path, name), "given twice", "one value")
			continue
		}
		value := reflect.New(to.Type().Elem()).Elem()
		d.decode(&m.Value, value, join(path, name), r)
		to.SetMapIndex(key, value)
	}
}

func (d *decoder) list(v *hujson.Value, to reflect.Value, path string, r rule) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(v, path, d.shown(v), "a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decode(&a.Elements[i], to.Index(i), fmt.Sprintf("%s[%d]", path, i), r)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
