package parser

import (
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// rule says which values a field may have.
type rule struct {
	// want describes the allowed values.
	want string
	// ok gets the decoded value.
	ok func(v any) bool
}

const (
	maxSlots  = 10_000
	maxLinger = 5 * time.Minute
	maxDrain  = time.Hour
	// minFlowQuiet is the interval at which an agent looks at its flows during a planned stop.
	minFlowQuiet = 100 * time.Millisecond
	maxFlowQuiet = 5 * time.Minute
	minShare     = 0.5
	// The bounds of the cold rate only refuse typing errors.
	maxColdFactor = 1000
	maxColdSlack  = 1_000_000
	// maxShare allows 26 s of failure in a month.
	maxShare = 0.99999
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rules are keyed by the rule tag.
var rules = map[string]rule{
	"name": {"1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit", func(v any) bool {
		return namePattern.MatchString(text(v))
	}},
	"address": {"IP:PORT with a specified IP address and a port from 1", func(v any) bool {
		a, ok := v.(netip.AddrPort)
		return ok && a.Port() > 0 && !a.Addr().IsUnspecified()
	}},
	"ip": {"a specified IP address", func(v any) bool {
		a, ok := v.(netip.Addr)
		return ok && a.IsValid() && !a.IsUnspecified()
	}},
	"file": {"a path", func(v any) bool { return text(v) != "" }},
	"lease_expired": {"fence or serve", func(v any) bool {
		return v == LeaseExpiredFence || v == LeaseExpiredServe
	}},
	"slots":  {"1 to 10000", func(v any) bool { n, ok := v.(registrar.Slots); return ok && n >= 1 && n <= maxSlots }},
	"linger": {"a duration from 0s to 5m", within(0, maxLinger)},
	"share":  {"0.5 to 0.99999", func(v any) bool { f, ok := v.(float64); return ok && f >= minShare && f <= maxShare }},
	"bound": {"one of " + boundList(), func(v any) bool {
		d, ok := v.(Duration)
		return ok && slices.Contains(burner.Bounds[:], time.Duration(d))
	}},
	"port":       {"a port from 1 to 65535", func(v any) bool { p, ok := v.(Port); return ok && p > 0 }},
	"bool":       {"true or false", func(v any) bool { _, ok := v.(bool); return ok }},
	"factor":     {"0 to 1000", func(v any) bool { f, ok := v.(float64); return ok && f >= 0 && f <= maxColdFactor }},
	"count":      {"0 to 1000000", func(v any) bool { n, ok := v.(uint32); return ok && n <= maxColdSlack }},
	"flow_quiet": {"a duration from 100ms to 5m", within(minFlowQuiet, maxFlowQuiet)},
	"drain":      {"a duration from 1s to 1h", within(time.Second, maxDrain)},
}

func boundList() string {
	var all []string
	for _, b := range burner.Bounds {
		all = append(all, b.String())
	}
	return strings.Join(all, ", ")
}

func within(low, high time.Duration) func(any) bool {
	return func(v any) bool {
		d, ok := v.(Duration)
		return ok && time.Duration(d) >= low && time.Duration(d) <= high
	}
}

// text returns the value of any string type.
func text(v any) string {
	if r := reflect.ValueOf(v); r.Kind() == reflect.String {
		return r.String()
	}
	return ""
}

// mismatch is a field whose value does not agree with other fields.
type mismatch struct {
	path, value, want string
}

// crossChecker is a settings type with conditions over several fields.
type crossChecker interface {
	crossCheck() []mismatch
}

// distinct finds TCP addresses that two fields share.
func (m *Host) distinct(more map[string]netip.AddrPort) []mismatch {
	var all []mismatch
	seen := map[netip.AddrPort]string{m.ControlAddress: "control_address"}
	check := func(path string, a netip.AddrPort) {
		if other, taken := seen[a]; taken && a.IsValid() {
			all = append(all, mismatch{path, a.String(), "an address other than " + other})
		}
		seen[a] = path
	}
	check("metrics_address", m.MetricsAddress)
	for path, a := range more {
		check(path, a)
	}
	return all
}

func (e *Entry) crossCheck() []mismatch { return e.distinct(nil) }

func (a *Agent) crossCheck() []mismatch {
	return a.distinct(map[string]netip.AddrPort{"upstream_address": a.UpstreamAddress})
}

func (c *Control) crossCheck() []mismatch {
	all := c.distinct(map[string]netip.AddrPort{"api_address": c.APIAddress})
	if own := c.Members[c.Name]; own != c.ControlAddress {
		all = append(all, mismatch{"members." + string(c.Name), own.String(), "control_address, which is " + c.ControlAddress.String()})
	}
	return all
}
