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

// maxExcerptLen is the number of bytes after which a value in a Problem or a Change is truncated.
const maxExcerptLen = 80

// Problem is one reason why a settings file is invalid.
type Problem struct {
	File string
	Line int
	// Path names the field, for example keys.data_key_file or control[1]; it is empty if the problem concerns the whole file.
	Path string
	// Value is the value as written in the file, or what is wrong with the field, for example "missing".
	Value string
	// Want describes the allowed values.
	Want string
}

// Error returns the problem in one line.
func (p Problem) Error() string {
	path := p.Path
	if path == "" {
		path = "file"
	}
	return fmt.Sprintf("%s:%d: %s: %s; want %s", p.File, p.Line, path, p.Value, p.Want)
}

// Problems holds all problems of a settings file. It matches ErrInvalid.
type Problems []Problem

// Error returns the text of ErrInvalid and one line for each problem.
func (p Problems) Error() string {
	lines := []string{ErrInvalid.Error()}
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Parse decodes and checks the content of a settings file. The file name is used only in the problems that Parse returns.
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

// decoder decodes a file into a settings value and collects problems.
type decoder struct {
	file     string
	content  []byte
	problems Problems
	// lines holds the line of each decoded field by the path of the field.
	lines map[string]int
}

// lineOf returns the line on which a value begins.
func (d *decoder) lineOf(v *hujson.Value) int {
	return 1 + bytes.Count(d.content[:min(v.StartOffset, len(d.content))], []byte("\n"))
}

func (d *decoder) addProblem(v *hujson.Value, path, value, want string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.lineOf(v), Path: path, Value: value, Want: want})
}

// excerpt returns a value as written in the file, truncated and without line breaks.
func (d *decoder) excerpt(v *hujson.Value) string {
	s := string(bytes.TrimSpace(d.content[v.StartOffset:v.EndOffset]))
	if len(s) > maxExcerptLen {
		s = strings.ToValidUTF8(s[:maxExcerptLen], "") + "..."
	}
	return strings.ReplaceAll(s, "\n", " ")
}

// decode decodes v into to. For a list or a map, the rule applies to each element.
func (d *decoder) decode(v *hujson.Value, to reflect.Value, path string, r rule) {
	d.lines[path] = d.lineOf(v)
	switch {
	case unmarshalsText(to.Type()):
		d.decodeScalar(v, to, path, r)
	case to.Kind() == reflect.Struct:
		d.decodeObject(v, to, path)
	case to.Kind() == reflect.Map:
		d.decodeMap(v, to, path, r)
	case to.Kind() == reflect.Slice:
		d.decodeList(v, to, path, r)
	default:
		d.decodeScalar(v, to, path, r)
	}
}

// unmarshalsText reports whether values of the type are decoded from strings by their UnmarshalText method.
func unmarshalsText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func (d *decoder) decodeScalar(v *hujson.Value, to reflect.Value, path string, r rule) {
	literal, ok := v.Value.(hujson.Literal)
	// json.Unmarshal accepts null for any type and leaves the zero value.
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, to.Addr().Interface()) != nil {
		d.addProblem(v, path, d.excerpt(v), r.describeFor(to.Type()))
		return
	}
	if r.accepts != nil && !r.accepts(to.Interface()) {
		d.addProblem(v, path, d.excerpt(v), r.allowed)
	}
}

// describeFor describes the allowed values of a type.
func (r rule) describeFor(t reflect.Type) string {
	if r.allowed != "" {
		return r.allowed
	}
	return t.Kind().String()
}

func (d *decoder) decodeObject(v *hujson.Value, to reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(v, path, d.excerpt(v), "an object")
		return
	}
	fields := fieldsOf(to.Type())
	found := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldIndex := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		switch {
		case fieldIndex < 0:
			d.addProblem(&m.Name, join(path, name), "unknown field", "one of "+fieldNames(fields))
		case found[name]:
			d.addProblem(&m.Name, join(path, name), "given twice", "one value")
		default:
			found[name] = true
			f := fields[fieldIndex]
			d.decode(&m.Value, to.FieldByIndex(f.index), join(path, name), f.rule)
			d.checkLength(&m.Value, to.FieldByIndex(f.index), join(path, name), f)
		}
	}
	for _, f := range fields {
		switch {
		case found[f.name]:
		case f.required:
			d.addProblem(v, join(path, f.name), "missing", f.describe())
		case f.defaultText != "":
			f.setDefault(to.FieldByIndex(f.index))
		}
	}
}

// checkLength checks the number of elements of a list or map.
func (d *decoder) checkLength(v *hujson.Value, to reflect.Value, path string, f field) {
	if f.max == 0 || to.Kind() != reflect.Slice && to.Kind() != reflect.Map {
		return
	}
	if n := to.Len(); n < f.min || n > f.max {
		d.addProblem(v, path, strconv.Itoa(n)+" elements", fmt.Sprintf("%d to %d elements", f.min, f.max))
	}
}

func (d *decoder) decodeMap(v *hujson.Value, to reflect.Value, path string, r rule) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(v, path, d.excerpt(v), "an object")
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		key := reflect.New(to.Type().Key()).Elem()
		keyRule := rules["name"]
		if unmarshalsText(key.Type()) {
			keyRule = rules["ip"]
		}
		problemsBefore := len(d.problems)
		d.decode(&m.Name, key, join(path, name), keyRule)
		if len(d.problems) > problemsBefore {
			continue
		}
		if to.MapIndex(key).IsValid() {
			d.addProblem(&m.Name, join(path, name), "given twice", "one value")
			continue
		}
		value := reflect.New(to.Type().Elem()).Elem()
		d.decode(&m.Value, value, join(path, name), r)
		to.SetMapIndex(key, value)
	}
}

func (d *decoder) decodeList(v *hujson.Value, to reflect.Value, path string, r rule) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(v, path, d.excerpt(v), "a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decode(&a.Elements[i], to.Index(i), fmt.Sprintf("%s[%d]", path, i), r)
	}
}

// join appends the name of a field to the path of the object that holds it.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
