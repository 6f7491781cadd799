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

// rule defines which values a field may have.
type rule struct {
	// allowed describes the allowed values.
	allowed string
	// accepts reports whether a decoded value is allowed.
	accepts func(v any) bool
}

// Bounds of the values that the rules allow.
const (
	maxSlots  = 10_000
	maxLinger = 5 * time.Minute
	maxDrain  = time.Hour
	// maxFlowAge only catches typing errors.
	maxFlowAge = 24 * time.Hour
	// minFlowQuiet is the interval at which an agent checks its flows during a planned stop.
	minFlowQuiet = 100 * time.Millisecond
	maxFlowQuiet = 5 * time.Minute
	minShare     = 0.5
	// maxCheckIn only catches typing errors.
	maxCheckIn = time.Hour
	// maxColdFactor and maxColdSlack only catch typing errors.
	maxColdFactor = 1000
	maxColdSlack  = 1_000_000
	// maxLinkMbps only catches typing errors.
	maxLinkMbps = 1_000_000
	// maxWaiting bounds the memory of waiting packets, which take about 800 bytes each.
	maxWaiting = 100_000
	// maxShare corresponds to 26 s of failure in a month.
	maxShare = 0.99999
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rules holds the rules by the value of the rule tag.
var rules = map[string]rule{
	"name": {"1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit", func(v any) bool {
		return namePattern.MatchString(stringOf(v))
	}},
	"address": {"IP:PORT with a specified IP address and a port from 1", func(v any) bool {
		a, ok := v.(netip.AddrPort)
		return ok && a.Port() > 0 && !a.Addr().IsUnspecified()
	}},
	"ip": {"a specified IP address", func(v any) bool {
		a, ok := v.(netip.Addr)
		return ok && a.IsValid() && !a.IsUnspecified()
	}},
	"file": {"a path", func(v any) bool { return stringOf(v) != "" }},
	"lease_expired": {"fence or serve", func(v any) bool {
		return v == LeaseExpiredFence || v == LeaseExpiredServe
	}},
	"slots":  {"1 to 10000", func(v any) bool { n, ok := v.(registrar.Slots); return ok && n >= 1 && n <= maxSlots }},
	"linger": {"a duration from 0s to 5m", durationBetween(0, maxLinger)},
	"share":  {"0.5 to 0.99999", func(v any) bool { f, ok := v.(float64); return ok && f >= minShare && f <= maxShare }},
	"bound": {"one of " + formatBounds(), func(v any) bool {
		d, ok := v.(Duration)
		return ok && slices.Contains(burner.Bounds[:], time.Duration(d))
	}},
	"port":       {"a port from 1 to 65535", func(v any) bool { p, ok := v.(Port); return ok && p > 0 }},
	"bool":       {"true or false", func(v any) bool { _, ok := v.(bool); return ok }},
	"factor":     {"0 to 1000", func(v any) bool { f, ok := v.(float64); return ok && f >= 0 && f <= maxColdFactor }},
	"link":       {"0 to 1000000", func(v any) bool { f, ok := v.(float64); return ok && f >= 0 && f <= maxLinkMbps }},
	"waiting":    {"0 to 100000", func(v any) bool { n, ok := v.(int); return ok && n >= 0 && n <= maxWaiting }},
	"slack":      {"0 to 1000000", func(v any) bool { f, ok := v.(float64); return ok && f >= 0 && f <= maxColdSlack }},
	"flow_quiet": {"a duration from 100ms to 5m", durationBetween(minFlowQuiet, maxFlowQuiet)},
	"drain":      {"a duration from 1s to 1h", durationBetween(time.Second, maxDrain)},
	"check_in":   {"a duration from 0s to 1h", durationBetween(0, maxCheckIn)},
	"flow_age":   {"a duration from 1ms to 24h", durationBetween(time.Millisecond, maxFlowAge)},
}

// formatBounds lists the latency bounds that an objective can use.
func formatBounds() string {
	var all []string
	for _, b := range burner.Bounds {
		all = append(all, b.String())
	}
	return strings.Join(all, ", ")
}

// durationBetween returns a check that a duration lies in [low, high].
func durationBetween(low, high time.Duration) func(any) bool {
	return func(v any) bool {
		d, ok := v.(Duration)
		return ok && time.Duration(d) >= low && time.Duration(d) <= high
	}
}

// stringOf returns a value of any string type as a string, and "" for other types.
func stringOf(v any) string {
	if r := reflect.ValueOf(v); r.Kind() == reflect.String {
		return r.String()
	}
	return ""
}

// mismatch is a field whose value is inconsistent with another field.
type mismatch struct {
	path, value, want string
}

// crossChecker is implemented by settings types with conditions that involve several fields.
type crossChecker interface {
	crossCheck() []mismatch
}

// findSharedAddresses returns the fields whose TCP address another field already uses. roleAddresses
// holds the TCP addresses, by field, that only this role has.
func (h *Host) findSharedAddresses(roleAddresses map[string]netip.AddrPort) []mismatch {
	var mismatches []mismatch
	fieldByAddress := map[netip.AddrPort]string{h.ControlAddress: "control_address"}
	check := func(path string, a netip.AddrPort) {
		if other, taken := fieldByAddress[a]; taken && a.IsValid() {
			mismatches = append(mismatches, mismatch{path, a.String(), "an address other than " + other})
		}
		fieldByAddress[a] = path
	}
	check("metrics_address", h.MetricsAddress)
	for path, a := range roleAddresses {
		check(path, a)
	}
	return mismatches
}

func (e *Entry) crossCheck() []mismatch { return e.findSharedAddresses(nil) }

func (a *Agent) crossCheck() []mismatch {
	return a.findSharedAddresses(map[string]netip.AddrPort{"upstream_address": a.UpstreamAddress})
}

func (c *Control) crossCheck() []mismatch {
	mismatches := c.findSharedAddresses(map[string]netip.AddrPort{"api_address": c.APIAddress})
	if own := c.Members[c.Name]; own != c.ControlAddress {
		mismatches = append(mismatches, mismatch{
			"members." + string(c.Name), own.String(), "control_address, which is " + c.ControlAddress.String(),
		})
	}
	return mismatches
}
