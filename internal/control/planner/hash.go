package planner

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// contentHash identifies the content of an operator's request. It covers the kind, the plan and the intent, with all empty
// values left out, so that a field added to an object in a later version does not change the hash of an older request.
func contentHash(c Command) uint64 {
	return canonicalHash(struct {
		Kind   CommandKind `json:"kind"`
		Plan   PlanID      `json:"plan"`
		Intent *Intent     `json:"intent"`
	}{c.Kind, c.Plan, c.Intent})
}

// effectHash identifies the contents of a plan without the traffic shares, which are estimates.
func effectHash(p Plan) uint64 {
	return canonicalHash(struct {
		Changes   []registrar.Change `json:"changes"`
		Steps     []string           `json:"steps"`
		Affected  []string           `json:"affected"`
		Customers []CustomerEffect   `json:"customers"`
		Warnings  []string           `json:"warnings"`
	}{p.Changes, p.Steps, p.Affected, withoutShares(p.Customers), p.Warnings})
}

func withoutShares(effects []CustomerEffect) []CustomerEffect {
	stripped := slices.Clone(effects)
	for i := range stripped {
		stripped[i].Percent = nil
	}
	return stripped
}

// canonicalHash hashes the JSON encoding of a value without its empty parts, so that a value has the same hash after it was
// encoded and decoded.
func canonicalHash(value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		// Only plain data is hashed, so encoding cannot fail.
		panic(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		panic(err)
	}
	// The encoder sorts the keys of maps, so the encoding is unique.
	if b, err = json.Marshal(withoutEmpty(decoded)); err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// withoutEmpty removes the empty members of JSON objects. It returns nil if the whole value is empty.
func withoutEmpty(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			if v[k] = withoutEmpty(e); v[k] == nil {
				delete(v, k)
			}
		}
		if len(v) == 0 {
			return nil
		}
	case []any:
		for i, e := range v {
			v[i] = withoutEmpty(e)
		}
		if len(v) == 0 {
			return nil
		}
	case string:
		if v == "" {
			return nil
		}
	case json.Number:
		if v == "0" {
			return nil
		}
	case bool:
		if !v {
			return nil
		}
	}
	return v
}
