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
	// customers maps each customer whose traffic the plan affects to the affected services.
	customers map[registrar.CustomerName]map[registrar.ServiceName]bool
}

func (d *draft) addStep(c registrar.Change, format string, args ...any) {
	d.changes = append(d.changes, c)
	d.steps = append(d.steps, fmt.Sprintf(format, args...))
}

func (d *draft) addAffected(format string, args ...any) {
	d.affected = append(d.affected, fmt.Sprintf(format, args...))
}

func (d *draft) addWarning(format string, args ...any) {
	d.warnings = append(d.warnings, fmt.Sprintf(format, args...))
}

// addServiceCustomers adds the customers who have a contract with a service.
func (d *draft) addServiceCustomers(w *registrar.World, service registrar.ServiceName) {
	v, _ := w.View(service)
	for _, c := range v.Contracts {
		d.addCustomer(c.Customer, service)
	}
}

func (d *draft) addCustomer(c registrar.CustomerName, service registrar.ServiceName) {
	if d.customers == nil {
		d.customers = map[registrar.CustomerName]map[registrar.ServiceName]bool{}
	}
	if d.customers[c] == nil {
		d.customers[c] = map[registrar.ServiceName]bool{}
	}
	d.customers[c][service] = true
}

// plan returns the part of a plan that depends only on the intent, the configuration and the traffic shares.
func (d *draft) plan(traffic []Share) Plan {
	p := Plan{
		Changes: d.changes, Steps: d.steps, Affected: d.affected, Warnings: d.warnings, Customers: []CustomerEffect{},
	}
	for _, c := range slices.Sorted(maps.Keys(d.customers)) {
		effect := CustomerEffect{Customer: c, Services: slices.Sorted(maps.Keys(d.customers[c]))}
		for _, share := range traffic {
			if share.Customer == c {
				percent := share.Percent
				effect.Percent = &percent
			}
		}
		p.Customers = append(p.Customers, effect)
	}
	// The API returns empty lists, never null.
	if p.Affected == nil {
		p.Affected = []string{}
	}
	if p.Warnings == nil {
		p.Warnings = []string{}
	}
	return p
}

func invalidRequest(format string, args ...any) *Failure {
	return &Failure{Code: FailureInvalid, Message: fmt.Sprintf(format, args...)}
}

// invalidField returns a failure about the value of one field of a request.
func invalidField(field, value, allowed string) *Failure {
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

func alreadyExists(kind, name string) *Failure {
	return &Failure{
		Code: FailureInvalid, Message: fmt.Sprintf("%s %q exists", kind, name), Field: kind + ".name", Value: name,
		Allowed: "a name that no " + kind + " has",
	}
}
