package planner

import (
	"fmt"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// draft collects the parts of a plan.
type draft struct {
	changes  []registrar.Change
	steps    []string
	affected []string
	warnings []string
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

func invalid(format string, args ...any) *Failure {
	return &Failure{Code: FailureInvalid, Message: fmt.Sprintf(format, args...)}
}

func notFound(kind, name string) *Failure {
	return &Failure{Code: FailureNotFound, Message: fmt.Sprintf("%s %q does not exist", kind, name)}
}

// expand turns an intent into the changes that carry it out.
func expand(w *registrar.World, in Intent) (*draft, *Failure) {
	d := &draft{}
	var f *Failure
	switch {
	case in.Zone != nil:
		f = d.expandZone(w, in.Kind, *in.Zone)
	case in.Service != nil:
		f = d.expandService(w, in.Kind, *in.Service)
	case in.Upstream != nil:
		f = d.expandUpstream(w, in.Kind, *in.Upstream)
	case in.Customer != nil:
		f = d.expandCustomer(w, in.Kind, *in.Customer)
	case in.Contract != nil:
		f = d.expandContract(w, in.Kind, *in.Contract)
	default:
		f = invalid("intent %q has no object", in.Kind)
	}
	if f != nil {
		return nil, f
	}
	if err := w.Check(d.changes); err != nil {
		return nil, invalid("%v", err)
	}
	return d, nil
}

func (d *draft) expandZone(w *registrar.World, kind IntentKind, z registrar.Zone) *Failure {
	old, had := w.Zone(z.Name)
	if kind == AddZone {
		if had {
			return invalid("zone %q exists", z.Name)
		}
		next := registrar.Zone{Name: z.Name, Region: z.Region}
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &next}, "add zone %s in region %s", z.Name, z.Region)
		return nil
	}
	if !had {
		return notFound("zone", string(z.Name))
	}
	switch kind {
	case WithdrawZone, ReturnZone:
		return d.switchZone(w, old, kind == WithdrawZone)
	case RemoveZone:
		d.step(registrar.Change{Kind: registrar.DeleteZone, Zone: &old}, "remove zone %s", z.Name)
		return nil
	}
	return invalid("kind %q does not take a zone", kind)
}

func (d *draft) switchZone(w *registrar.World, z registrar.Zone, withdraw bool) *Failure {
	if z.Withdrawn == withdraw {
		return invalid("zone %q: withdrawn is already %t", z.Name, withdraw)
	}
	z.Withdrawn = withdraw
	if withdraw {
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &z}, "withdraw zone %s and end the flows in it", z.Name)
	} else {
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &z}, "return zone %s; its upstreams start cold", z.Name)
	}
	for _, s := range w.Services() {
		d.zoneShare(w, s, z, withdraw)
	}
	return nil
}

// zoneShare reports how much of a service's capacity a zone carries.
func (d *draft) zoneShare(w *registrar.World, s registrar.Service, z registrar.Zone, withdraw bool) {
	var total, inside registrar.Weight
	v, _ := w.View(s.Name)
	for _, u := range v.Upstreams {
		if u.Retired || u.Silent || u.ZoneWithdrawn && u.Zone != z.Name {
			continue
		}
		total += u.Weight
		if u.Zone == z.Name {
			inside += u.Weight
		}
	}
	if inside == 0 {
		return
	}
	left := 100 * uint64(total-inside) / uint64(total)
	d.affects("service %s: zone %s carries %d%% of its capacity", s.Name, z.Name, 100-left)
	if withdraw {
		d.warn("service %s: leaves %d%% of capacity", s.Name, left)
	}
}

func (d *draft) expandService(w *registrar.World, kind IntentKind, s registrar.Service) *Failure {
	old, had := w.Service(s.Name)
	switch {
	case kind == AddService && had:
		return invalid("service %q exists", s.Name)
	case kind == AddService:
		next := registrar.Service{Name: s.Name, Address: s.Address, Transport: s.Transport}
		d.step(registrar.Change{Kind: registrar.PutService, Service: &next},
			"add service %s at %s (%s)", s.Name, s.Address, s.Transport)
		return nil
	case kind == RemoveService && had:
		d.step(registrar.Change{Kind: registrar.DeleteService, Service: &old}, "remove service %s", s.Name)
		return nil
	case kind == RemoveService:
		return notFound("service", string(s.Name))
	}
	return invalid("kind %q does not take a service", kind)
}

func (d *draft) expandUpstream(w *registrar.World, kind IntentKind, u registrar.Upstream) *Failure {
	next, had := w.Upstream(u.Name)
	if !had {
		return notFound("upstream", string(u.Name))
	}
	d.affects("service %s", next.Service)
	switch kind {
	case ChangeUpstream:
		if u.Weight == 0 {
			return invalid("upstream %q: weight must be at least 1", u.Name)
		}
		d.affects("upstream %s: weight %d becomes %d", u.Name, next.Weight, u.Weight)
		next.Weight = u.Weight
	case RetireUpstream, RestoreUpstream:
		retire := kind == RetireUpstream
		if next.Retired == retire {
			return invalid("upstream %q: retired is already %t", u.Name, retire)
		}
		next.Retired = retire
		d.warnLastUpstream(w, next)
	case RemoveUpstream:
		d.step(registrar.Change{Kind: registrar.DeleteUpstream, Upstream: &next}, "remove upstream %s", u.Name)
		return nil
	default:
		return invalid("kind %q does not take an upstream", kind)
	}
	d.step(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next}, "%s %s", kind, u.Name)
	return nil
}

func (d *draft) warnLastUpstream(w *registrar.World, u registrar.Upstream) {
	if !u.Retired {
		return
	}
	v, _ := w.View(u.Service)
	for _, other := range v.Upstreams {
		if other.Name != u.Name && !other.Retired && !other.Silent && !other.ZoneWithdrawn {
			return
		}
	}
	d.warn("service %s: no upstream is left for new flows", u.Service)
}

func (d *draft) expandCustomer(w *registrar.World, kind IntentKind, c registrar.Customer) *Failure {
	old, had := w.Customer(c.Name)
	if kind == AddCustomer {
		if had {
			return invalid("customer %q exists", c.Name)
		}
		next := registrar.Customer{Name: c.Name}
		d.step(registrar.Change{Kind: registrar.PutCustomer, Customer: &next}, "add customer %s", c.Name)
		return nil
	}
	if !had {
		return notFound("customer", string(c.Name))
	}
	for _, contract := range w.Contracts() {
		if contract.Customer == c.Name {
			d.affects("contract %s with service %s", contract.Name, contract.Service)
		}
	}
	switch kind {
	case CutCustomer, RestoreCustomer:
		cut := kind == CutCustomer
		if old.Cut == cut {
			return invalid("customer %q: cut is already %t", c.Name, cut)
		}
		old.Cut = cut
		d.step(registrar.Change{Kind: registrar.PutCustomer, Customer: &old}, "%s %s", kind, c.Name)
		return nil
	case RemoveCustomer:
		d.step(registrar.Change{Kind: registrar.DeleteCustomer, Customer: &old}, "remove customer %s", c.Name)
		return nil
	}
	return invalid("kind %q does not take a customer", kind)
}

func (d *draft) expandContract(w *registrar.World, kind IntentKind, c registrar.Contract) *Failure {
	old, had := w.Contract(c.Name)
	switch {
	case kind == AddContract && had:
		return invalid("contract %q exists", c.Name)
	case (kind == ChangeContract || kind == RemoveContract) && !had:
		return notFound("contract", string(c.Name))
	case kind == RemoveContract:
		d.affects("customer %s, service %s", old.Customer, old.Service)
		d.step(registrar.Change{Kind: registrar.DeleteContract, Contract: &old}, "remove contract %s", c.Name)
		return nil
	case kind == AddContract || kind == ChangeContract:
		d.affects("customer %s, service %s", c.Customer, c.Service)
		d.step(registrar.Change{Kind: registrar.PutContract, Contract: &c},
			"%s %s: customer %s may use service %s from %v", kind, c.Name, c.Customer, c.Service, c.SourcePrefixes)
		return nil
	}
	return invalid("kind %q does not take a contract", kind)
}
