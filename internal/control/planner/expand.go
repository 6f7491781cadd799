package planner

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const allowedName = "1 to 63 letters, digits, dots, underscores and hyphens, beginning with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// objectByKind maps each kind of intent to the name of the object that it needs.
var objectByKind = map[IntentKind]string{
	AddZone: "zone", ChangeZone: "zone", WithdrawZone: "zone", ReturnZone: "zone", RemoveZone: "zone",
	AddService: "service", RemoveService: "service",
	ChangeUpstream: "upstream", RetireUpstream: "upstream", RestoreUpstream: "upstream", RemoveUpstream: "upstream",
	AddCustomer: "customer", CutCustomer: "customer", RestoreCustomer: "customer", RemoveCustomer: "customer",
	AddContract: "contract", ChangeContract: "contract", RemoveContract: "contract",
}

// addKinds are the kinds whose object must not exist in the configuration. The object of all other kinds must exist.
var addKinds = []IntentKind{AddZone, AddService, AddCustomer, AddContract}

// IntentKinds returns all kinds of intent in alphabetical order.
func IntentKinds() []IntentKind { return slices.Sorted(maps.Keys(objectByKind)) }

// presentObjects returns the names of the objects that are set in an intent.
func (in Intent) presentObjects() []string {
	var names []string
	for _, o := range []struct {
		name  string
		isSet bool
	}{
		{"zone", in.Zone != nil},
		{"service", in.Service != nil},
		{"upstream", in.Upstream != nil},
		{"customer", in.Customer != nil},
		{"contract", in.Contract != nil},
	} {
		if o.isSet {
			names = append(names, o.name)
		}
	}
	return names
}

// validate returns a failure if the kind, the set of objects or the object name of an intent is invalid.
func (in Intent) validate() *Failure {
	object, ok := objectByKind[in.Kind]
	if !ok {
		return invalidField("intent.kind", string(in.Kind), "a kind of intent such as add_zone or cut_customer")
	}
	if names := in.presentObjects(); !slices.Equal(names, []string{object}) {
		return invalidField("intent", fmt.Sprint(names), fmt.Sprintf("exactly the object %q with kind %q", object, in.Kind))
	}
	if name := in.Object(); !namePattern.MatchString(name) {
		return invalidField("intent."+object+".name", name, allowedName)
	}
	return nil
}

// checkExistence returns a failure if an object to be added exists or an object to be changed does not.
func (in Intent) checkExistence(w *registrar.World) *Failure {
	var found bool
	switch {
	case in.Zone != nil:
		_, found = w.Zone(in.Zone.Name)
	case in.Service != nil:
		_, found = w.Service(in.Service.Name)
	case in.Upstream != nil:
		_, found = w.Upstream(in.Upstream.Name)
	case in.Customer != nil:
		_, found = w.Customer(in.Customer.Name)
	case in.Contract != nil:
		_, found = w.Contract(in.Contract.Name)
	}
	switch adds := slices.Contains(addKinds, in.Kind); {
	case adds && found:
		return alreadyExists(objectByKind[in.Kind], in.Object())
	case !adds && !found:
		return notFound(objectByKind[in.Kind], in.Object())
	}
	return nil
}

// expand returns the changes that implement an intent. It is part of the replicated state machine and therefore deterministic:
// equal intents and configurations give equal drafts on every instance.
func expand(w *registrar.World, in Intent) (*draft, *Failure) {
	if f := in.validate(); f != nil {
		return nil, f
	}
	if f := in.checkExistence(w); f != nil {
		return nil, f
	}
	d := &draft{}
	var f *Failure
	switch {
	case in.Zone != nil:
		f = d.expandZone(w, in.Kind, *in.Zone)
	case in.Service != nil:
		f = d.expandService(in.Kind, *in.Service)
	case in.Upstream != nil:
		f = d.expandUpstream(w, in.Kind, *in.Upstream)
	case in.Customer != nil:
		f = d.expandCustomer(w, in.Kind, *in.Customer)
	case in.Contract != nil:
		f = d.expandContract(w, in.Kind, *in.Contract)
	}
	if f != nil {
		return nil, f
	}
	if err := w.Check(d.changes); err != nil {
		return nil, invalidRequest("%v", err)
	}
	return d, nil
}

func (d *draft) expandZone(w *registrar.World, kind IntentKind, z registrar.Zone) *Failure {
	old, _ := w.Zone(z.Name)
	if (kind == AddZone || kind == ChangeZone) && !namePattern.MatchString(string(z.Region)) {
		return invalidField("intent.zone.region", string(z.Region), allowedName)
	}
	switch kind {
	case AddZone:
		next := registrar.Zone{Name: z.Name, Region: z.Region}
		d.addStep(registrar.Change{Kind: registrar.PutZone, Zone: &next}, "add zone %s in region %s", z.Name, z.Region)
	case ChangeZone:
		if old.Region == z.Region {
			return invalidField("intent.zone.region", string(z.Region), "a region other than the present one")
		}
		d.addStep(registrar.Change{Kind: registrar.PutZone, Zone: &registrar.Zone{
			Name: old.Name, Region: z.Region, Withdrawn: old.Withdrawn, ChangeRevision: old.ChangeRevision,
		}}, "move zone %s from region %s to region %s", z.Name, old.Region, z.Region)
	case RemoveZone:
		d.addStep(registrar.Change{Kind: registrar.DeleteZone, Zone: &registrar.Zone{Name: z.Name}}, "remove zone %s", z.Name)
	default:
		return d.setZoneWithdrawn(w, old, kind == WithdrawZone)
	}
	return nil
}

// setZoneWithdrawn adds the change that withdraws or returns a zone, and its effect on services.
func (d *draft) setZoneWithdrawn(w *registrar.World, z registrar.Zone, withdraw bool) *Failure {
	if z.Withdrawn == withdraw {
		return invalidField("intent.zone.name", string(z.Name), fmt.Sprintf("a zone that is not already withdrawn=%t", withdraw))
	}
	z.Withdrawn = withdraw
	if withdraw {
		d.addStep(registrar.Change{Kind: registrar.PutZone, Zone: &z},
			"withdraw zone %s: no packet goes to it any more, and the flows that end in it are given up", z.Name)
	} else {
		d.addStep(registrar.Change{Kind: registrar.PutZone, Zone: &z}, "return zone %s; its upstreams start cold", z.Name)
	}
	for _, s := range w.Services() {
		d.addZoneCapacity(w, s, z, withdraw)
	}
	return nil
}

// addZoneCapacity adds the share of a service's capacity that a zone provides to the effects of the plan.
func (d *draft) addZoneCapacity(w *registrar.World, s registrar.Service, z registrar.Zone, withdraw bool) {
	inZone := func(u registrar.UpstreamView) bool { return u.Zone == z.Name }
	v, _ := w.View(s.Name)
	if !slices.ContainsFunc(v.Upstreams, inZone) {
		return
	}
	d.addServiceCustomers(w, s.Name)
	remainingPercent, hasCapacity := remainingCapacity(v, z.Name, inZone)
	if !hasCapacity {
		d.addAffected("service %s: zone %s carries none of its capacity at present", s.Name, z.Name)
		return
	}
	d.addAffected("service %s: zone %s carries %d%% of its capacity", s.Name, z.Name, 100-remainingPercent)
	d.warnRemainingCapacity(s.Name, remainingPercent, withdraw)
}

// warnRemainingCapacity adds a warning if the plan reduces the capacity of a service.
func (d *draft) warnRemainingCapacity(s registrar.ServiceName, remainingPercent uint64, reduces bool) {
	switch {
	case !reduces:
	case remainingPercent == 0:
		d.addWarning("service %s: leaves 0%% of capacity; no upstream is left for new flows", s)
	default:
		d.addWarning("service %s: leaves %d%% of capacity", s, remainingPercent)
	}
}

// remainingCapacity returns the percentage of a service's capacity that remains without the excluded upstreams. Upstreams of zone
// count even if it is withdrawn, because the plan may be the one that returns it. ok is false if the excluded upstreams have no
// capacity.
func remainingCapacity(
	v registrar.ServiceView, zone registrar.ZoneName, excluded func(registrar.UpstreamView) bool,
) (percent uint64, ok bool) {
	var total, excludedWeight uint64
	for _, u := range v.Upstreams {
		if u.Retired || u.Draining || u.Silent || u.ZoneWithdrawn && u.Zone != zone {
			continue
		}
		total += uint64(u.Weight)
		if excluded(u) {
			excludedWeight += uint64(u.Weight)
		}
	}
	if excludedWeight == 0 {
		return 0, false
	}
	return 100 * (total - excludedWeight) / total, true
}

func (d *draft) expandService(kind IntentKind, s registrar.Service) *Failure {
	switch {
	case kind == RemoveService:
		d.addStep(registrar.Change{Kind: registrar.DeleteService, Service: &registrar.Service{Name: s.Name}},
			"remove service %s", s.Name)
		return nil
	case !s.Address.IsValid() || s.Address.Port() == 0:
		return invalidField("intent.service.address", s.Address.String(), "IP:PORT, such as 192.0.2.10:443")
	case s.Transport != registrar.TransportQUIC && s.Transport != registrar.TransportUDP:
		return invalidField("intent.service.transport", string(s.Transport), "quic or udp")
	}
	next := registrar.Service{Name: s.Name, Address: s.Address, Transport: s.Transport}
	d.addStep(registrar.Change{Kind: registrar.PutService, Service: &next},
		"add service %s at %s (%s)", s.Name, s.Address, s.Transport)
	d.addWarning("service %s: takes no flows until an upstream announces itself and a contract names it", s.Name)
	return nil
}

func (d *draft) expandUpstream(w *registrar.World, kind IntentKind, u registrar.Upstream) *Failure {
	old, _ := w.Upstream(u.Name)
	next := old
	d.addAffected("service %s", old.Service)
	d.addServiceCustomers(w, old.Service)
	switch kind {
	case ChangeUpstream:
		return d.changeWeight(w, old, u.Weight)
	case RemoveUpstream:
		if !old.Silent {
			return invalidField("intent.upstream.name", string(u.Name),
				fmt.Sprintf("an upstream that no agent announces any more; machine %s announces it", old.Machine))
		}
		d.addStep(registrar.Change{Kind: registrar.DeleteUpstream, Upstream: &registrar.Upstream{Name: u.Name}},
			"remove upstream %s of service %s", u.Name, old.Service)
		return nil
	}
	retire := kind == RetireUpstream
	if old.Retired == retire {
		return invalidField("intent.upstream.name", string(u.Name), fmt.Sprintf("an upstream that is not already retired=%t", retire))
	}
	next.Retired = retire
	if retire {
		d.addStep(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
			"retire upstream %s: it gets no new flows and keeps the ones that it has", u.Name)
	} else {
		d.addStep(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next}, "give upstream %s new flows again", u.Name)
	}
	v, _ := w.View(old.Service)
	if remainingPercent, ok := remainingCapacity(v, "", func(o registrar.UpstreamView) bool { return o.Name == u.Name }); ok {
		d.warnRemainingCapacity(old.Service, remainingPercent, retire)
	}
	return nil
}

// changeWeight pins the weight of an upstream. A weight of 0 removes the pin, so that the weight follows the measured capacity.
func (d *draft) changeWeight(w *registrar.World, u registrar.Upstream, weight registrar.Weight) *Failure {
	next := u
	next.Pinned = weight != 0
	if next.Pinned {
		next.Weight = weight
	}
	if next == u {
		return invalidField("intent.upstream.weight", fmt.Sprint(weight), "a weight other than the present one")
	}
	if !next.Pinned {
		d.addStep(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
			"let the weight of upstream %s follow its measured capacity; it is %d", u.Name, u.Weight)
		return nil
	}
	d.addStep(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
		"set the weight of upstream %s from %d to %d", u.Name, u.Weight, weight)
	if weight > registrar.Weight(u.Slots)*registrar.WeightPerSlot {
		d.addWarning("upstream %s: weight %d is above its %d slots", u.Name, weight, u.Slots)
	}
	return nil
}

func (d *draft) expandCustomer(w *registrar.World, kind IntentKind, c registrar.Customer) *Failure {
	old, _ := w.Customer(c.Name)
	if kind == AddCustomer {
		next := registrar.Customer{Name: c.Name}
		d.addStep(registrar.Change{Kind: registrar.PutCustomer, Customer: &next}, "add customer %s", c.Name)
		d.addWarning("customer %s: its packets are dropped until a contract names its sources", c.Name)
		return nil
	}
	for _, contract := range w.Contracts() {
		if contract.Customer == c.Name {
			d.addAffected("contract %s with service %s, sources %v", contract.Name, contract.Service, contract.SourcePrefixes)
			d.addCustomer(c.Name, contract.Service)
		}
	}
	if kind == RemoveCustomer {
		d.addStep(registrar.Change{Kind: registrar.DeleteCustomer, Customer: &registrar.Customer{Name: c.Name}},
			"remove customer %s", c.Name)
		d.addWarning("customer %s: no proof can be made after its removal", c.Name)
		return nil
	}
	cut := kind == CutCustomer
	if old.Cut == cut {
		return invalidField("intent.customer.name", string(c.Name), fmt.Sprintf("a customer that is not already cut=%t", cut))
	}
	old.Cut = cut
	if cut {
		d.addStep(registrar.Change{Kind: registrar.PutCustomer, Customer: &old},
			"cut customer %s: its flows are closed, and new ones are refused", c.Name)
		d.addWarning("customer %s: loses all of its traffic", c.Name)
	} else {
		d.addStep(registrar.Change{Kind: registrar.PutCustomer, Customer: &old}, "let traffic of customer %s pass again", c.Name)
	}
	return nil
}

func (d *draft) expandContract(w *registrar.World, kind IntentKind, c registrar.Contract) *Failure {
	old, found := w.Contract(c.Name)
	if kind == RemoveContract {
		d.addStep(registrar.Change{Kind: registrar.DeleteContract, Contract: &registrar.Contract{Name: c.Name}},
			"remove contract %s", c.Name)
		d.addAffected("customer %s, service %s", old.Customer, old.Service)
		d.addCustomer(old.Customer, old.Service)
		d.addWarning("customer %s: loses service %s from %v", old.Customer, old.Service, old.SourcePrefixes)
		return nil
	}
	if f := checkContract(w, c, old, found); f != nil {
		return f
	}
	// The plan shows the prefixes as they are stored, without host bits.
	c.SourcePrefixes = slices.Clone(c.SourcePrefixes)
	for i, p := range c.SourcePrefixes {
		c.SourcePrefixes[i] = p.Masked()
	}
	d.addAffected("customer %s, service %s", c.Customer, c.Service)
	d.addCustomer(c.Customer, c.Service)
	verb := "add"
	if found {
		verb = "change"
		d.warnLostPrefixes(old, c)
	}
	d.addStep(registrar.Change{Kind: registrar.PutContract, Contract: &c},
		"%s contract %s: customer %s may use service %s from %v", verb, c.Name, c.Customer, c.Service, c.SourcePrefixes)
	return nil
}

// checkContract returns a failure if a new or changed contract is invalid. found reports whether old exists.
func checkContract(w *registrar.World, c, old registrar.Contract, found bool) *Failure {
	if _, ok := w.Customer(c.Customer); !ok {
		return notFound("customer", string(c.Customer))
	}
	if _, ok := w.Service(c.Service); !ok {
		return notFound("service", string(c.Service))
	}
	if len(c.SourcePrefixes) == 0 {
		return invalidField("intent.contract.source_prefixes", "", "at least one prefix, such as 192.0.2.0/24")
	}
	if found && old.Service != c.Service {
		return invalidField("intent.contract.service", string(c.Service), "the present service, "+string(old.Service))
	}
	for i, p := range c.SourcePrefixes {
		if !p.IsValid() {
			return invalidField(fmt.Sprintf("intent.contract.source_prefixes[%d]", i), p.String(), "a prefix, such as 192.0.2.0/24")
		}
	}
	return nil
}

// warnLostPrefixes adds a warning with the customer and source prefixes that a changed contract no longer covers.
func (d *draft) warnLostPrefixes(old, next registrar.Contract) {
	lost := slices.DeleteFunc(slices.Clone(old.SourcePrefixes), func(p netip.Prefix) bool {
		return old.Customer == next.Customer && slices.Contains(next.SourcePrefixes, p)
	})
	if len(lost) == 0 {
		return
	}
	d.addCustomer(old.Customer, old.Service)
	d.addWarning("customer %s: loses service %s from %v", old.Customer, old.Service, lost)
}
