package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// draft collects the parts of a plan.
type draft struct {
	changes  []registrar.Change
	steps    []string
	affected []string
	warnings []string
	// customers are those whose traffic the plan touches, with the services concerned.
	customers map[registrar.CustomerName]map[registrar.ServiceName]bool
}

func (d *draft) step(c registrar.Change, format string, args ...any) {
	d.changes = append(d.changes, c)
	d.steps = append(d.steps, fmt.Sprintf(format, args...))
}

func (d *draft) affects(format string, args ...any) {
	d.affected = append(d.affected, fmt.Sprintf(format, args...))
}

func (d *draft) warn(format string, args ...any) {
	d.warnings = append(d.warnings, fmt.Sprintf(format, args...))
}

// touches enters the customers who have a contract with a service.
func (d *draft) touches(w *registrar.World, service registrar.ServiceName) {
	v, _ := w.View(service)
	for _, c := range v.Contracts {
		d.touch(c.Customer, service)
	}
}

func (d *draft) touch(c registrar.CustomerName, service registrar.ServiceName) {
	if d.customers == nil {
		d.customers = map[registrar.CustomerName]map[registrar.ServiceName]bool{}
	}
	if d.customers[c] == nil {
		d.customers[c] = map[registrar.ServiceName]bool{}
	}
	d.customers[c][service] = true
}

// plan returns the parts of a plan that follow from the intent and the configuration.
func (d *draft) plan(traffic []Share) Plan {
	p := Plan{
		Changes: d.changes, Steps: d.steps, Affected: d.affected, Warnings: d.warnings, Customers: []CustomerEffect{},
	}
	for _, c := range slices.Sorted(maps.Keys(d.customers)) {
		e := CustomerEffect{Customer: c, Services: slices.Sorted(maps.Keys(d.customers[c]))}
		for _, s := range traffic {
			if s.Customer == c {
				percent := s.Percent
				e.Percent = &percent
			}
		}
		p.Customers = append(p.Customers, e)
	}
	// Lists are never null in the API.
	if p.Affected == nil {
		p.Affected = []string{}
	}
	if p.Warnings == nil {
		p.Warnings = []string{}
	}
	return p
}

func invalid(format string, args ...any) *Failure {
	return &Failure{Code: FailureInvalid, Message: fmt.Sprintf(format, args...)}
}

// badField refuses the value of one field of a request.
func badField(field, value, allowed string) *Failure {
	return &Failure{
		Code: FailureInvalid, Field: field, Value: value, Allowed: allowed,
		Message: fmt.Sprintf("%s %q is not accepted; allowed: %s", field, value, allowed),
	}
}

func notFound(kind, name string) *Failure {
	return &Failure{
		Code: FailureNotFound, Message: fmt.Sprintf("%s %q does not exist", kind, name), Field: kind, Value: name,
		Allowed: "the name of an existing " + kind,
	}
}

func exists(kind, name string) *Failure {
	return &Failure{
		Code: FailureInvalid, Message: fmt.Sprintf("%s %q exists", kind, name), Field: kind + ".name", Value: name,
		Allowed: "a name that no " + kind + " has",
	}
}
