package parser

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const examples = "../../../examples"

// read returns the content of an example file.
func read(t testing.TB, path string) string {
	b, err := os.ReadFile(filepath.Join(examples, path))
	require.NoError(t, err)
	return string(b)
}

// TestInvalidSettings guards against invalid settings that are accepted, and against problems that do not name the line, the
// field, the value and what is allowed.
func TestInvalidSettings(t *testing.T) {
	entry := read(t, "teoh/entry-a.json")
	for name, c := range map[string]struct{ old, next, problem string }{
		"unknown field":       {`"linger"`, `"lingr"`, `f.json:18: lingr: unknown field; want one of name, zone, region,`},
		"unknown nested":      {`"authority_file"`, `"authority"`, `f.json:9: keys.authority: unknown field; want one of authority_file, certificate_file`},
		"missing":             {`"zone": "johor-a",`, ``, `f.json:2: zone: missing; want 1 to 63 letters`},
		"twice":               {`"zone": "johor-a",`, `"zone": "johor-a", "zone": "johor-b",`, `f.json:4: zone: given twice`},
		"case of a field":     {`"zone"`, `"Zone"`, `f.json:4: Zone: unknown field`},
		"bad name":            {`"johor-a"`, `"johor a"`, `f.json:4: zone: "johor a"; want 1 to 63 letters`},
		"wrong type":          {`"5s"`, `5`, `f.json:18: linger: 5; want a duration from 0s to 5m`},
		"out of range":        {`"5s"`, `"10m"`, `f.json:18: linger: "10m"; want a duration from 0s to 5m`},
		"null":                {`"5s"`, `null`, `f.json:18: linger: null; want a duration`},
		"no port":             {`"10.20.1.20:7002"`, `"10.20.1.20"`, `f.json:14: data_address: "10.20.1.20"; want IP:PORT`},
		"unspecified address": {`"10.20.1.20:7002"`, `"0.0.0.0:7002"`, `f.json:14: data_address: "0.0.0.0:7002"; want IP:PORT with a specified`},
		"list element":        {`"10.20.2.10:7000"`, `"b"`, `f.json:15: control[1]: "b"; want IP:PORT`},
		"empty list":          {`["10.20.1.10:7000", "10.20.2.10:7000", "10.20.3.10:7000"]`, `[]`, `f.json:15: control: 0 elements; want 1 to 64`},
		"dictionary key":      {`{"203.0.113.10":`, `{"x":`, `f.json:17: address_map.x: "x"; want a specified IP address`},
		"same address":        {`"10.20.1.20:7003"`, `"10.20.1.20:7000"`, `metrics_address: 10.20.1.20:7000; want an address other than control_address`},
		"not JSON":            {`{`, `[`, `f.json:1: file: `},
		"choice":              {`"linger": "5s"`, `"lease_expired": "stop"`, `f.json:18: lease_expired: "stop"; want fence or serve`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, entry, c.old)
			_, err := Parse[Entry]("f.json", []byte(strings.Replace(entry, c.old, c.next, 1)))
			require.ErrorIs(t, err, ErrInvalid)
			require.ErrorContains(t, err, c.problem)
		})
	}
	_, err := Parse[Control]("f.json", []byte(strings.Replace(read(t, "teoh/control-a.json"), `{"control-a"`, `{"control-x"`, 1)))
	require.ErrorContains(t, err, "members.control-a", "a control instance that is not its own member was accepted")
}

// TestDefaults guards against a default that the field's own rule rejects, and against a field without rule or description.
func TestDefaults(t *testing.T) {
	var walk func(typ reflect.Type)
	walk = func(typ reflect.Type) {
		for _, f := range fieldsOf(typ) {
			if f.nested != nil {
				walk(f.nested)
				continue
			}
			require.NotEmpty(t, f.rule.allowed, "%s has no rule", f.name)
			require.NotEmpty(t, f.doc, "%s has no description", f.name)
			if f.defaultText != "" {
				v := reflect.New(typ).Elem().FieldByIndex(f.index)
				f.setDefault(v)
				require.True(t, f.rule.accepts(v.Interface()), "default of %s", f.name)
			}
		}
	}
	walk(reflect.TypeFor[Entry]())
	walk(reflect.TypeFor[Agent]())
	walk(reflect.TypeFor[Control]())
	walk(reflect.TypeFor[StreamEntry]())
	walk(reflect.TypeFor[StreamAgent]())
	walk(reflect.TypeFor[OpenControl]())
}

// TestDocument guards against a settings page that differs from the code. The command "peridotstage check-settings ROLE" prints
// the tables.
func TestDocument(t *testing.T) {
	b, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	for _, write := range []func(*strings.Builder) error{
		func(w *strings.Builder) error { return WriteFields[Entry](w) },
		func(w *strings.Builder) error { return WriteFields[Agent](w) },
		func(w *strings.Builder) error { return WriteFields[Control](w) },
		func(w *strings.Builder) error { return WriteFields[StreamEntry](w) },
		func(w *strings.Builder) error { return WriteFields[StreamAgent](w) },
		func(w *strings.Builder) error { return WriteFields[OpenControl](w) },
	} {
		var w strings.Builder
		require.NoError(t, write(&w))
		require.True(t, strings.Contains(string(b), w.String()), "docs/settings.md lacks this table:\n%s", w.String())
	}
}

// TestParse guards against a panic on malformed input, and against a parsed value that violates its rule.
func TestParse(t *testing.T) {
	valid := read(t, "teoh/agent-order-desk-1.json")
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(valid)
		for range rapid.IntRange(1, 8).Draw(t, "edits") {
			offset := rapid.IntRange(0, len(b)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "edit") {
			case 0:
				b[offset] = rapid.SampledFrom([]byte(`{}[]",:0-x/ `)).Draw(t, "byte")
			case 1:
				b = append(b[:offset:offset], b[min(offset+rapid.IntRange(1, 30).Draw(t, "cut"), len(b)):]...)
			default:
				b = append(b[:offset:offset], append([]byte(valid[min(offset/2, len(valid)):min(offset, len(valid))]), b[offset:]...)...)
			}
			if len(b) == 0 {
				return
			}
		}
		checkParsed(t, b)
	})
}

// FuzzParse makes the checks of TestParse with inputs from the fuzzer.
func FuzzParse(f *testing.F) {
	f.Add([]byte(read(f, "teoh/agent-order-desk-1.json")))
	f.Fuzz(func(t *testing.T, b []byte) { checkParsed(t, b) })
}

// checkParsed checks that b is either rejected with ErrInvalid or parsed into values that follow their rules.
func checkParsed(t require.TestingT, b []byte) {
	a, err := Parse[Agent]("f.json", b)
	if err != nil {
		require.ErrorIs(t, err, ErrInvalid)
		return
	}
	require.True(t, rules["slots"].accepts(a.Slots))
	require.True(t, namePattern.MatchString(string(a.Name)))
	require.NotEmpty(t, a.Control)
	require.True(t, rules["address"].accepts(a.DataAddress))
}

// deployment describes a deployment as section 1 of the design page does.
type deployment struct {
	folder   string
	region   registrar.RegionName
	zones    int
	services map[registrar.ServiceName]int
	slots    registrar.Slots
}

// TestExamples guards against example settings that are rejected, or that differ from the deployments in section 1 of the
// design page.
func TestExamples(t *testing.T) {
	for _, want := range []deployment{
		{"teoh", "johor", 3, map[registrar.ServiceName]int{"order-desk": 7, "catalogue": 3}, 2},
		{"telon-andino", "ec-sierra", 4, map[registrar.ServiceName]int{"reservas": 7, "boleteria": 4}, 3},
	} {
		t.Run(want.folder, func(t *testing.T) {
			zones := map[registrar.ZoneName]bool{}
			services := map[registrar.ServiceName]int{}
			addresses := map[string]string{}
			check := func(path string, m Machine) {
				zones[m.Zone] = true
				require.Equal(t, want.region, m.Region, path)
				require.Equal(t, strings.TrimSuffix(filepath.Base(path), ".json"), string(m.Name))
				other := addresses[m.ControlAddress.String()]
				require.Empty(t, other, "%s and %s have the same address", path, other)
				addresses[m.ControlAddress.String()] = path
			}
			load(t, want.folder, "control", func(path string, c Control) {
				check(path, c.Machine)
				require.Len(t, c.Members, 3, path)
				require.Len(t, c.Objectives, len(want.services), path)
				for _, o := range c.Objectives {
					require.Contains(t, want.services, o.Service, path)
				}
			})
			load(t, want.folder, "entry", func(path string, e Entry) {
				check(path, e.Machine)
				require.Len(t, e.AddressMap, len(want.services), path)
			})
			load(t, want.folder, "agent", func(path string, a Agent) {
				check(path, a.Machine)
				services[a.Service]++
				require.Equal(t, want.slots, a.Slots, path)
				for _, c := range a.Control {
					require.Contains(t, addresses[c.String()], "control-", path)
				}
			})
			require.Len(t, zones, want.zones)
			require.Equal(t, want.services, services)
		})
	}
}

// load loads all example settings of a role and passes each to check.
func load[T any](t *testing.T, folder, role string, check func(path string, cfg T)) {
	paths, err := filepath.Glob(filepath.Join(examples, folder, role+"-*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		cfg, err := Load[T](path)
		require.NoError(t, err)
		check(path, cfg)
	}
}
