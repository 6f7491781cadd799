package administrator

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
)

// apiVersion is the version of the API, which is part of every path. Fields may be added within a version.
const apiVersion = "1"

// object is a JSON object of the OpenAPI document.
type object = map[string]any

var (
	pathParameter = regexp.MustCompile(`\{([a-z]+)\}`)
	genericName   = regexp.MustCompile(`^(\w+)\[.*\.(\w+)\]$`)
	textType      = reflect.TypeFor[encoding.TextMarshaler]()
)

// Document returns the OpenAPI document of the API.
func (a *Administrator) Document() map[string]any {
	s := &schemas{named: object{}}
	paths := object{}
	for _, r := range a.routes() {
		operations, ok := paths[r.Path].(object)
		if !ok {
			operations = object{}
			paths[r.Path] = operations
		}
		operations[strings.ToLower(r.Method)] = s.operation(r)
	}
	return object{
		"openapi": "3.0.3",
		"info": object{
			"title": "peridotstage intent API", "version": apiVersion,
			"description": "Operators authenticate with a client certificate of kind operator. Lists are read in pages: pass " +
				"the value of next as the parameter after. A request that changes something has a number; a resend with the " +
				"same number and content returns the first result. Numbers of an operator should grow: a number below the " +
				"remembered ones is refused with the code expired.",
		},
		"paths":      paths,
		"components": object{"schemas": s.named},
	}
}

// schemas collects the named schemas that operations refer to.
type schemas struct {
	named object
}

func (s *schemas) operation(r route) object {
	var parameters []any
	for _, m := range pathParameter.FindAllStringSubmatch(r.Path, -1) {
		parameters = append(parameters, parameter(m[1], "path", true, object{"type": "string"}))
	}
	for _, name := range r.Query {
		schema := object{"type": "string", "description": "The value of next in the previous page."}
		switch name {
		case "limit":
			schema = object{"type": "integer", "minimum": 1, "maximum": maxLimit, "default": defaultLimit}
		case "nodes":
			schema = object{"type": "string", "enum": []string{allNodes, unconfirmedNodes}, "default": allNodes}
		}
		parameters = append(parameters, parameter(name, "query", false, schema))
	}
	op := object{
		"summary": r.Summary,
		"responses": object{
			"200":     content("The answer.", s.schemaOf(r.Answer)),
			"default": content("The request is refused.", s.schemaOf(typeOf[FailureBody]())),
		},
	}
	if parameters != nil {
		op["parameters"] = parameters
	}
	if r.Body != nil {
		body := content("The request.", s.schemaOf(r.Body))
		body["required"] = true
		op["requestBody"] = body
	}
	return op
}

func parameter(name, in string, required bool, schema object) object {
	return object{"name": name, "in": in, "required": required, "schema": schema}
}

func content(description string, schema object) object {
	return object{"description": description, "content": object{"application/json": object{"schema": schema}}}
}

// schemaOf returns the schema of a type. Structs become named schemas.
func (s *schemas) schemaOf(t reflect.Type) object {
	if t == typeOf[time.Time]() {
		return object{"type": "string", "format": "date-time"}
	}
	if t.Implements(textType) || reflect.PointerTo(t).Implements(textType) {
		return object{"type": "string", "format": strings.ToLower(t.Name())}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return s.schemaOf(t.Elem())
	case reflect.Struct:
		return s.structSchema(t)
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Uint8 {
			return object{"type": "string", "format": "byte"}
		}
		return object{"type": "array", "items": s.schemaOf(t.Elem())}
	case reflect.Float64:
		return object{"type": "number"}
	case reflect.Bool:
		return object{"type": "boolean"}
	case reflect.String:
		return stringSchema(t)
	case reflect.Map:
		return object{"type": "object"}
	}
	if t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64 {
		return object{"type": "integer", "format": t.Kind().String()}
	}
	panic(fmt.Sprintf("type %s has no schema", t))
}

func stringSchema(t reflect.Type) object {
	schema := object{"type": "string"}
	if t == typeOf[planner.IntentKind]() {
		schema["enum"] = planner.IntentKinds()
	}
	return schema
}

func (s *schemas) structSchema(t reflect.Type) object {
	name := t.Name()
	if m := genericName.FindStringSubmatch(name); m != nil {
		name = m[2] + m[1]
	}
	ref := object{"$ref": "#/components/schemas/" + name}
	if _, exists := s.named[name]; exists {
		return ref
	}
	properties := object{}
	s.named[name] = object{"type": "object", "properties": properties}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			properties[tag] = s.schemaOf(f.Type)
		}
	}
	return ref
}
