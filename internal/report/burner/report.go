package burner

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// plotTime is the time between points of the history.
	plotTime   = 5 * time.Minute
	plotSlots  = slot(plotTime / slotTime)
	plotPoints = int(history / plotTime)
	// missingAfter is how long a node may send no batch. A batch is sent with each heartbeat until it is confirmed, so one
	// interval more than the usual one allows for a failover of control.
	missingAfter = 2 * BatchInterval
)

// Verdict is the conclusion about one speed of one line.
type Verdict string

// The verdicts, from bad to good.
const (
	// Burning means that the alert condition holds.
	Burning Verdict = "burning"
	// Unknown means that the alert condition does not hold on the data at hand, but data is missing.
	Unknown Verdict = "unknown"
	// Idle means that there were no requests.
	Idle Verdict = "idle"
	// OK means that all data is at hand and the alert condition does not hold.
	OK Verdict = "ok"
)

// WindowCounts are the counts of the two windows of a speed.
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
	// Since is when the objective changed so that earlier requests are not counted; zero for never.
	Since time.Time `json:"since,omitzero"`
	// Differs says that control instances judge by different objectives.
	Differs bool `json:"objectives_differ,omitempty"`
	// Windows are ordered as the alert rules: fast, slow.
	Windows [len(rules)]WindowCounts `json:"windows"`
	// History has one element for each 5 minutes of the last 6 hours, oldest first.
	History [plotPoints]RequestCounts `json:"history"`
}

// Report is the data of one or more control instances.
type Report struct {
	At        time.Time               `json:"at"`
	Instances []registrar.MachineName `json:"instances"`
	Lines     []Line                  `json:"lines"`
	Nodes     []NodeData              `json:"nodes"`
	// Doubtful are batches that another instance may have counted. Merge adds those that none has.
	Doubtful []Doubtful `json:"doubtful,omitempty"`
	// Forwarding has the counts of entries in the last hour.
	Forwarding []ForwardCounts `json:"forwarding,omitempty"`
	// WithoutObjective lists services that are not judged.
	WithoutObjective []registrar.ServiceName `json:"services_without_objective,omitempty"`
}

// Merge adds up the reports of one or more control instances. A batch that may have reached two of them counts once.
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
			all.settle(d)
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
	have := &r.Lines[at]
	have.Differs = have.Differs || l.Differs || have.objective() != l.objective()
	if l.Since.After(have.Since) {
		have.Since = l.Since
	}
	for i := range l.Windows {
		have.Windows[i].Short.add(l.Windows[i].Short)
		have.Windows[i].Long.add(l.Windows[i].Long)
	}
	for i := range l.History {
		have.History[i].add(l.History[i])
	}
}

func (l *Line) objective() Objective {
	// The text comes from a duration, so it parses.
	d, _ := time.ParseDuration(l.FastWithin)
	return Objective{Service: l.Service, Customer: l.Customer, Answered: l.Answered, Fast: l.Fast, FastWithin: d}
}

// missing returns why the counts of a line do not cover a window, beside the data of nodes that is missing.
func (l *Line) missing(at time.Time, window time.Duration) []string {
	var all []string
	if l.Differs {
		all = append(all, "control instances have different objectives")
	}
	if l.Since.After(at.Add(-window)) {
		all = append(all, fmt.Sprintf("judged by this objective only since %s", l.Since.UTC().Format(time.TimeOnly)))
	}
	return all
}

// mergeNode joins the batches that instances have of a node.
func (r *Report) mergeNode(a NodeData) {
	at := slices.IndexFunc(r.Nodes, func(o NodeData) bool { return o.Machine == a.Machine })
	if at < 0 {
		a.Starts = slices.Clone(a.Starts)
		r.Nodes = append(r.Nodes, a)
		return
	}
	for _, s := range a.Starts {
		r.Nodes[at].start(s)
	}
}

// settle counts a doubtful batch unless an instance has it already.
func (r *Report) settle(d Doubtful) {
	at := slices.IndexFunc(r.Nodes, func(o NodeData) bool { return o.Machine == d.Machine })
	if at < 0 {
		return
	}
	for _, s := range r.Nodes[at].Starts {
		if s.Incarnation == d.Incarnation && s.has(d.Number) {
			return
		}
	}
	r.Nodes[at].start(d.StartData)
	age := max(r.At.Sub(d.At), 0)
	for _, c := range d.Lines {
		i := slices.IndexFunc(r.Lines, func(l Line) bool { return l.Service == c.Service && l.Customer == c.Customer })
		if i < 0 {
			r.Lines = append(r.Lines, Line{Service: c.Service, Customer: c.Customer})
			i = len(r.Lines) - 1
			r.inheritObjective(&r.Lines[i])
		}
		r.Lines[i].addAt(age, c.RequestCounts)
	}
}

// inheritObjective completes the line of a customer of whom only doubtful batches are known.
func (r *Report) inheritObjective(l *Line) {
	for _, o := range r.Lines {
		if o.Service == l.Service && o.Customer == "" {
			l.Answered, l.Fast, l.FastWithin, l.Since = o.Answered, o.Fast, o.FastWithin, o.Since
		}
	}
}

// addAt adds counts of a time before the report.
func (l *Line) addAt(age time.Duration, c RequestCounts) {
	for i, rule := range rules {
		if age <= rule.short {
			l.Windows[i].Short.add(c)
		}
		if age <= rule.long {
			l.Windows[i].Long.add(c)
		}
	}
	if i := plotPoints - 1 - int(age/plotTime); i >= 0 {
		l.History[i].add(c)
	}
}

// missing returns why the data of a service does not cover a window.
func (r *Report) missing(service registrar.ServiceName, window time.Duration) []string {
	var all []string
	for _, n := range r.Nodes {
		if n.Service == service || n.Service == "" {
			all = append(all, n.missing(r.At.Add(-window), r.At)...)
		}
	}
	return all
}

// Finding is the judgement of one speed of one line.
type Finding struct {
	Service   registrar.ServiceName  `json:"service"`
	Customer  registrar.CustomerName `json:"customer,omitempty"`
	Speed     Speed                  `json:"speed"`
	Verdict   Verdict                `json:"verdict"`
	Threshold float64                `json:"threshold"`
	// The burn rates are times the rate that the objective allows.
	FailedShort float64 `json:"failed_burn_short"`
	FailedLong  float64 `json:"failed_burn_long"`
	SlowShort   float64 `json:"slow_burn_short"`
	SlowLong    float64 `json:"slow_burn_long"`
	Requests    uint64  `json:"requests"`
	// Missing says which data is missing from the longer window.
	Missing []string `json:"missing,omitempty"`
}

// Judge returns a finding for each line and speed, the lines in order.
func (r *Report) Judge() []Finding {
	var all []Finding
	// Lines are sorted by service, so what is missing is found once for each service.
	var missing [len(rules)][]string
	for at, l := range r.Lines {
		for i, rule := range rules {
			if at == 0 || r.Lines[at-1].Service != l.Service {
				missing[i] = r.missing(l.Service, rule.long)
			}
			w := l.Windows[i]
			f := Finding{
				Service: l.Service, Customer: l.Customer, Speed: rule.speed, Threshold: rule.threshold,
				FailedShort: burn(w.Short.Failed, w.Short.Requests, l.Answered),
				FailedLong:  burn(w.Long.Failed, w.Long.Requests, l.Answered),
				SlowShort:   burn(w.Short.Slow, w.Short.Requests, l.Fast),
				SlowLong:    burn(w.Long.Slow, w.Long.Requests, l.Fast),
				Requests:    w.Long.Requests, Missing: append(l.missing(r.At, rule.long), missing[i]...),
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

// BurnRates returns the history of the burn of failed and of slow requests, oldest first.
func (l *Line) BurnRates() (failed, slow []float64) {
	for _, c := range l.History {
		failed = append(failed, burn(c.Failed, c.Requests, l.Answered))
		slow = append(slow, burn(c.Slow, c.Requests, l.Fast))
	}
	return failed, slow
}
