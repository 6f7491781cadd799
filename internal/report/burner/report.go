package burner

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// plotInterval is the time between two points of the history.
	plotInterval = 5 * time.Minute
	// plotSlots is the number of slots between two points, and plotPoints the number of points.
	plotSlots  = slot(plotInterval / slotDuration)
	plotPoints = int(historyDuration / plotInterval)
	// maxBatchGap is the time without a batch after which data of a node counts as missing. A batch is sent with each heartbeat
	// until it is confirmed, so one additional interval allows for a failover of control.
	maxBatchGap = 2 * BatchInterval
)

// Verdict is the result of an alert rule for one service, or for one customer of a service.
type Verdict string

// Verdicts, from worst to best.
const (
	// Burning means that the alert condition holds.
	Burning Verdict = "burning"
	// Unknown means that the alert condition does not hold for the available data, but data is missing.
	Unknown Verdict = "unknown"
	// Idle means that there were no requests.
	Idle Verdict = "idle"
	// OK means that all data is available and the alert condition does not hold.
	OK Verdict = "ok"
)

// WindowCounts are the counts of the two windows of an alert rule.
type WindowCounts struct {
	Short RequestCounts `json:"short"`
	Long  RequestCounts `json:"long"`
}

// Line is the data of one service and customer.
type Line struct {
	Service registrar.ServiceName `json:"service"`
	// Customer is empty for all customers together.
	Customer   registrar.CustomerName `json:"customer,omitempty"`
	Answered   float64                `json:"objective_answered"`
	Fast       float64                `json:"objective_fast"`
	FastWithin string                 `json:"objective_fast_within"`
	// Since is the time of the last change of objective that dropped earlier counts, or zero.
	Since time.Time `json:"since,omitzero"`
	// Differs is set if control instances have different objectives for the line.
	Differs bool `json:"objectives_differ,omitempty"`
	// Windows are in the order of the alert rules: fast, slow.
	Windows [len(alertRules)]WindowCounts `json:"windows"`
	// History has one element for each 5 minutes of the last 6 hours, oldest first.
	History [plotPoints]RequestCounts `json:"history"`
}

// Report is the data of one or more control instances.
type Report struct {
	At        time.Time               `json:"at"`
	Instances []registrar.MachineName `json:"instances"`
	Lines     []Line                  `json:"lines"`
	Nodes     []NodeData              `json:"nodes"`
	// Doubtful holds batches that another instance may have counted. Merge adds those that no instance has.
	Doubtful []Doubtful `json:"doubtful,omitempty"`
	// Forwarding holds the counts of entries in the last hour.
	Forwarding []ForwardCounts `json:"forwarding,omitempty"`
	// WithoutObjective lists services that are not judged because they have no objective.
	WithoutObjective []registrar.ServiceName `json:"services_without_objective,omitempty"`
}

// Merge adds up the reports of one or more control instances. A batch that may have reached two of them is counted once.
func Merge(reports []Report) Report {
	var all Report
	for _, r := range reports {
		all.Instances = append(all.Instances, r.Instances...)
		if r.At.After(all.At) {
			all.At = r.At
		}
		for _, l := range r.Lines {
			all.mergeLine(l)
		}
		for _, a := range r.Nodes {
			all.mergeNode(a)
		}
		all.WithoutObjective = append(all.WithoutObjective, r.WithoutObjective...)
		all.mergeForwarding(r.Forwarding)
	}
	for _, r := range reports {
		for _, d := range r.Doubtful {
			all.addDoubtful(d)
		}
	}
	slices.Sort(all.WithoutObjective)
	all.WithoutObjective = slices.Compact(all.WithoutObjective)
	all.sort()
	return all
}

func (r *Report) mergeLine(l Line) {
	at := slices.IndexFunc(r.Lines, func(o Line) bool { return o.Service == l.Service && o.Customer == l.Customer })
	if at < 0 {
		r.Lines = append(r.Lines, l)
		return
	}
	merged := &r.Lines[at]
	merged.Differs = merged.Differs || l.Differs || merged.objective() != l.objective()
	if l.Since.After(merged.Since) {
		merged.Since = l.Since
	}
	for i := range l.Windows {
		merged.Windows[i].Short.add(l.Windows[i].Short)
		merged.Windows[i].Long.add(l.Windows[i].Long)
	}
	for i := range l.History {
		merged.History[i].add(l.History[i])
	}
}

func (l *Line) objective() Objective {
	// The text comes from a duration, so it parses.
	d, _ := time.ParseDuration(l.FastWithin)
	return Objective{Service: l.Service, Customer: l.Customer, Answered: l.Answered, Fast: l.Fast, FastWithin: d}
}

// missingData returns the reasons why the counts of a line do not cover a window. It omits the reasons that
// concern nodes, which Report.missingData returns.
func (l *Line) missingData(at time.Time, window time.Duration) []string {
	var all []string
	if l.Differs {
		all = append(all, "control instances have different objectives")
	}
	if l.Since.After(at.Add(-window)) {
		all = append(all, fmt.Sprintf("judged by this objective only since %s", l.Since.UTC().Format(time.TimeOnly)))
	}
	return all
}

// mergeNode adds the batch numbers that another instance has received from a node.
func (r *Report) mergeNode(a NodeData) {
	i := slices.IndexFunc(r.Nodes, func(o NodeData) bool { return o.Machine == a.Machine })
	if i < 0 {
		a.Starts = slices.Clone(a.Starts)
		r.Nodes = append(r.Nodes, a)
		return
	}
	for _, s := range a.Starts {
		r.Nodes[i].mergeStart(s)
	}
}

// addDoubtful adds the counts of a doubtful batch unless an instance already has the batch.
func (r *Report) addDoubtful(d Doubtful) {
	at := slices.IndexFunc(r.Nodes, func(o NodeData) bool { return o.Machine == d.Machine })
	if at < 0 {
		return
	}
	for _, s := range r.Nodes[at].Starts {
		if s.Incarnation == d.Incarnation && s.hasBatch(d.Number) {
			return
		}
	}
	r.Nodes[at].mergeStart(d.StartData)
	age := max(r.At.Sub(d.At), 0)
	for _, c := range d.Lines {
		i := slices.IndexFunc(r.Lines, func(l Line) bool { return l.Service == c.Service && l.Customer == c.Customer })
		if i < 0 {
			r.Lines = append(r.Lines, Line{Service: c.Service, Customer: c.Customer})
			i = len(r.Lines) - 1
			r.inheritObjective(&r.Lines[i])
		}
		r.Lines[i].addAtAge(age, c.RequestCounts)
	}
}

// inheritObjective copies the objective of the service to the line of a customer that has counts only in doubtful batches.
func (r *Report) inheritObjective(l *Line) {
	for _, o := range r.Lines {
		if o.Service == l.Service && o.Customer == "" {
			l.Answered, l.Fast, l.FastWithin, l.Since = o.Answered, o.Fast, o.FastWithin, o.Since
		}
	}
}

// addAtAge adds the counts of a batch that arrived the duration age before the time of the report.
func (l *Line) addAtAge(age time.Duration, c RequestCounts) {
	for i, rule := range alertRules {
		if age <= rule.shortWindow {
			l.Windows[i].Short.add(c)
		}
		if age <= rule.longWindow {
			l.Windows[i].Long.add(c)
		}
	}
	if i := plotPoints - 1 - int(age/plotInterval); i >= 0 {
		l.History[i].add(c)
	}
}

// missingData returns the reasons why the data of a service does not cover a window.
func (r *Report) missingData(service registrar.ServiceName, window time.Duration) []string {
	var all []string
	for _, n := range r.Nodes {
		if n.Service == service || n.Service == "" {
			all = append(all, n.missingData(r.At.Add(-window), r.At)...)
		}
	}
	return all
}

// Finding is the result of one alert rule for one service, or for one customer of a service.
type Finding struct {
	Service   registrar.ServiceName  `json:"service"`
	Customer  registrar.CustomerName `json:"customer,omitempty"`
	Speed     Speed                  `json:"speed"`
	Verdict   Verdict                `json:"verdict"`
	Threshold float64                `json:"threshold"`
	// The burn rates are multiples of the rate that the objective allows.
	FailedShort float64 `json:"failed_burn_short"`
	FailedLong  float64 `json:"failed_burn_long"`
	SlowShort   float64 `json:"slow_burn_short"`
	SlowLong    float64 `json:"slow_burn_long"`
	Requests    uint64  `json:"requests"`
	// Missing describes the data that is missing from the long window.
	Missing []string `json:"missing,omitempty"`
}

// Judge returns a finding for each line and alert rule, in the order of the lines.
func (r *Report) Judge() []Finding {
	var all []Finding
	// Lines are sorted by service, so missing data is determined once per service.
	var missing [len(alertRules)][]string
	for at, l := range r.Lines {
		for i, rule := range alertRules {
			if at == 0 || r.Lines[at-1].Service != l.Service {
				missing[i] = r.missingData(l.Service, rule.longWindow)
			}
			w := l.Windows[i]
			f := Finding{
				Service: l.Service, Customer: l.Customer, Speed: rule.speed, Threshold: rule.threshold,
				FailedShort: burnRate(w.Short.Failed, w.Short.Requests, l.Answered),
				FailedLong:  burnRate(w.Long.Failed, w.Long.Requests, l.Answered),
				SlowShort:   burnRate(w.Short.Slow, w.Short.Requests, l.Fast),
				SlowLong:    burnRate(w.Long.Slow, w.Long.Requests, l.Fast),
				Requests:    w.Long.Requests, Missing: append(l.missingData(r.At, rule.longWindow), missing[i]...),
			}
			f.Verdict = f.conclude()
			all = append(all, f)
		}
	}
	return all
}

func (f *Finding) conclude() Verdict {
	switch {
	case min(f.FailedShort, f.FailedLong) >= f.Threshold, min(f.SlowShort, f.SlowLong) >= f.Threshold:
		return Burning
	case len(f.Missing) > 0:
		return Unknown
	case f.Requests == 0:
		return Idle
	}
	return OK
}

// BurnRates returns the burn-rate history of failed and of slow requests, oldest first.
func (l *Line) BurnRates() (failed, slow []float64) {
	for _, c := range l.History {
		failed = append(failed, burnRate(c.Failed, c.Requests, l.Answered))
		slow = append(slow, burnRate(c.Slow, c.Requests, l.Fast))
	}
	return failed, slow
}
