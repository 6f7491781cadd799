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

// NodeData says since when and until when batches of a node have arrived.
type NodeData struct {
	Machine registrar.MachineName `json:"machine"`
	// Service is that of an agent; it is empty for an entry, whose data counts for all services.
	Service     registrar.ServiceName `json:"service,omitempty"`
	StartedAt   time.Time             `json:"started_at"`
	Since       time.Time             `json:"since"`
	LastBatchAt time.Time             `json:"last_batch_at"`
	// Stopped says that the node has sent all its counts and stopped as planned.
	Stopped bool `json:"stopped"`
}

// Report is the data of one or more control instances.
type Report struct {
	At        time.Time               `json:"at"`
	Instances []registrar.MachineName `json:"instances"`
	Lines     []Line                  `json:"lines"`
	Nodes     []NodeData              `json:"nodes"`
	// WithoutObjective lists services that are not judged.
	WithoutObjective []registrar.ServiceName `json:"services_without_objective,omitempty"`
}

// Merge adds up the reports of several control instances. Each batch is counted at one instance, so counts add up.
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

// mergeNode joins the times in which instances heard a node. A node moves to the next instance within seconds, so a
// gap between two instances needs no record of its own.
func (r *Report) mergeNode(a NodeData) {
	at := slices.IndexFunc(r.Nodes, func(o NodeData) bool { return o.Machine == a.Machine })
	switch {
	case at < 0:
		r.Nodes = append(r.Nodes, a)
		return
	case a.LastBatchAt.IsZero():
		return
	}
	have := &r.Nodes[at]
	if have.LastBatchAt.IsZero() || a.Since.Before(have.Since) {
		have.Since = a.Since
	}
	if a.LastBatchAt.After(have.LastBatchAt) {
		have.LastBatchAt, have.StartedAt, have.Stopped = a.LastBatchAt, a.StartedAt, a.Stopped
	}
}

// missing returns why the data of a service does not cover a window.
func (r *Report) missing(service registrar.ServiceName, window time.Duration) []string {
	var all []string
	for _, a := range r.Nodes {
		from := r.At.Add(-window)
		if a.StartedAt.After(from) {
			from = a.StartedAt
		}
		switch {
		case a.Service != service && a.Service != "":
		case a.LastBatchAt.IsZero():
			all = append(all, fmt.Sprintf("no data of %s", a.Machine))
		case r.At.Sub(a.LastBatchAt) > missingAfter && !a.Stopped:
			all = append(all, fmt.Sprintf("no data of %s since %s", a.Machine, a.LastBatchAt.UTC().Format(time.TimeOnly)))
		case a.Since.Sub(from) > missingAfter:
			all = append(all, fmt.Sprintf("data of %s only since %s", a.Machine, a.Since.UTC().Format(time.TimeOnly)))
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
