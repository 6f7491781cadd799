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

// objectOf names the one object that each kind of intent takes.
var objectOf = map[IntentKind]string{
	AddZone: "zone", ChangeZone: "zone", WithdrawZone: "zone", ReturnZone: "zone", RemoveZone: "zone",
	AddService: "service", RemoveService: "service",
	ChangeUpstream: "upstream", RetireUpstream: "upstream", RestoreUpstream: "upstream", RemoveUpstream: "upstream",
	AddCustomer: "customer", CutCustomer: "customer", RestoreCustomer: "customer", RemoveCustomer: "customer",
	AddContract: "contract", ChangeContract: "contract", RemoveContract: "contract",
}

// addKinds need an object that does not exist yet. All other kinds need one that exists.
var addKinds = []IntentKind{AddZone, AddService, AddCustomer, AddContract}

// IntentKinds returns all kinds of intent in alphabetical order.
func IntentKinds() []IntentKind { return slices.Sorted(maps.Keys(objectOf)) }

// objects names the objects that an intent has.
func (in Intent) objects() []string {
	var names []string
	for _, o := range []struct {
		name string
		set  bool
	}{
		{"zone", in.Zone != nil},
		{"service", in.Service != nil},
		{"upstream", in.Upstream != nil},
		{"customer", in.Customer != nil},
		{"contract", in.Contract != nil},
	} {
		if o.set {
			names = append(names, o.name)
		}
	}
	return names
}

// check refuses an intent that is not well formed.
func (in Intent) check() *Failure {
	object, ok := objectOf[in.Kind]
	if !ok {
		return badField("intent.kind", string(in.Kind), "a kind of intent such as add_zone or cut_customer")
	}
	if names := in.objects(); !slices.Equal(names, []string{object}) {
		return badField("intent", fmt.Sprint(names), fmt.Sprintf("exactly the object %q with kind %q", object, in.Kind))
	}
	if name := in.Object(); !namePattern.MatchString(name) {
		return badField("intent."+object+".name", name, allowedName)
	}
	return nil
}

// checkPresence refuses to add an object that exists and to change one that does not.
func (in Intent) checkPresence(w *registrar.World) *Failure {
	var had bool
	switch {
	case in.Zone != nil:
		_, had = w.Zone(in.Zone.Name)
	case in.Service != nil:
		_, had = w.Service(in.Service.Name)
	case in.Upstream != nil:
		_, had = w.Upstream(in.Upstream.Name)
	case in.Customer != nil:
		_, had = w.Customer(in.Customer.Name)
	case in.Contract != nil:
		_, had = w.Contract(in.Contract.Name)
	}
	switch adds := slices.Contains(addKinds, in.Kind); {
	case adds && had:
		return exists(objectOf[in.Kind], in.Object())
	case !adds && !had:
		return notFound(objectOf[in.Kind], in.Object())
	}
	return nil
}

// expand turns an intent into the changes that carry it out. It is part of the replicated state machine: equal intents and
// configurations give equal drafts on every instance.
func expand(w *registrar.World, in Intent) (*draft, *Failure) {
	if f := in.check(); f != nil {
		return nil, f
	}
	if f := in.checkPresence(w); f != nil {
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
		return nil, invalid("%v", err)
	}
	return d, nil
}

func (d *draft) expandZone(w *registrar.World, kind IntentKind, z registrar.Zone) *Failure {
	old, _ := w.Zone(z.Name)
	if (kind == AddZone || kind == ChangeZone) && !namePattern.MatchString(string(z.Region)) {
		return badField("intent.zone.region", string(z.Region), allowedName)
	}
	switch kind {
	case AddZone:
		next := registrar.Zone{Name: z.Name, Region: z.Region}
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &next}, "add zone %s in region %s", z.Name, z.Region)
	case ChangeZone:
		if old.Region == z.Region {
			return badField("intent.zone.region", string(z.Region), "a region other than the present one")
		}
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &registrar.Zone{
			Name: old.Name, Region: z.Region, Withdrawn: old.Withdrawn, ChangedAt: old.ChangedAt,
		}}, "move zone %s from region %s to region %s", z.Name, old.Region, z.Region)
	case RemoveZone:
		d.step(registrar.Change{Kind: registrar.DeleteZone, Zone: &registrar.Zone{Name: z.Name}}, "remove zone %s", z.Name)
	default:
		return d.switchZone(w, old, kind == WithdrawZone)
	}
	return nil
}

func (d *draft) switchZone(w *registrar.World, z registrar.Zone, withdraw bool) *Failure {
	if z.Withdrawn == withdraw {
		return badField("intent.zone.name", string(z.Name), fmt.Sprintf("a zone that is not already withdrawn=%t", withdraw))
	}
	z.Withdrawn = withdraw
	if withdraw {
		d.step(registrar.Change{Kind: registrar.PutZone, Zone: &z},
			"withdraw zone %s: no packet goes to it any more, and the flows that end in it are given up", z.Name)
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
	inside := func(u registrar.UpstreamView) bool { return u.Zone == z.Name }
	v, _ := w.View(s.Name)
	if !slices.ContainsFunc(v.Upstreams, inside) {
		return
	}
	d.touches(w, s.Name)
	left, some := capacityLeft(v, z.Name, inside)
	if !some {
		d.affects("service %s: zone %s carries none of its capacity at present", s.Name, z.Name)
		return
	}
	d.affects("service %s: zone %s carries %d%% of its capacity", s.Name, z.Name, 100-left)
	d.warnCapacity(s.Name, left, withdraw)
}

// warnCapacity warns if a plan takes capacity away.
func (d *draft) warnCapacity(s registrar.ServiceName, left uint64, takes bool) {
	switch {
	case !takes:
	case left == 0:
		d.warn("service %s: leaves 0%% of capacity; no upstream is left for new flows", s)
	default:
		d.warn("service %s: leaves %d%% of capacity", s, left)
	}
}

// capacityLeft returns the percentage of a service's capacity that is outside a set of upstreams. It counts zone as in
// service, because the plan may be the one that returns it. ok is false if the set carries nothing.
func capacityLeft(v registrar.ServiceView, zone registrar.ZoneName, in func(registrar.UpstreamView) bool) (percent uint64, ok bool) {
	var total, inside uint64
	for _, u := range v.Upstreams {
		if u.Retired || u.Draining || u.Silent || u.ZoneWithdrawn && u.Zone != zone {
			continue
		}
		total += uint64(u.Weight)
		if in(u) {
			inside += uint64(u.Weight)
		}
	}
	if inside == 0 {
		return 0, false
	}
	return 100 * (total - inside) / total, true
}

func (d *draft) expandService(kind IntentKind, s registrar.Service) *Failure {
	switch {
	case kind == RemoveService:
		d.step(registrar.Change{Kind: registrar.DeleteService, Service: &registrar.Service{Name: s.Name}},
			"remove service %s", s.Name)
		return nil
	case !s.Address.IsValid() || s.Address.Port() == 0:
		return badField("intent.service.address", s.Address.String(), "IP:PORT, such as 192.0.2.10:443")
	case s.Transport != registrar.TransportQUIC && s.Transport != registrar.TransportUDP:
		return badField("intent.service.transport", string(s.Transport), "quic or udp")
	}
	next := registrar.Service{Name: s.Name, Address: s.Address, Transport: s.Transport}
	d.step(registrar.Change{Kind: registrar.PutService, Service: &next},
		"add service %s at %s (%s)", s.Name, s.Address, s.Transport)
	d.warn("service %s: takes no flows until an upstream announces itself and a contract names it", s.Name)
	return nil
}

func (d *draft) expandUpstream(w *registrar.World, kind IntentKind, u registrar.Upstream) *Failure {
	old, _ := w.Upstream(u.Name)
	next := old
	d.affects("service %s", old.Service)
	d.touches(w, old.Service)
	switch kind {
	case ChangeUpstream:
		return d.changeWeight(w, old, u.Weight)
	case RemoveUpstream:
		if !old.Silent {
			return badField("intent.upstream.name", string(u.Name),
				fmt.Sprintf("an upstream that no agent announces any more; machine %s announces it", old.Machine))
		}
		d.step(registrar.Change{Kind: registrar.DeleteUpstream, Upstream: &registrar.Upstream{Name: u.Name}},
			"remove upstream %s of service %s", u.Name, old.Service)
		return nil
	}
	retire := kind == RetireUpstream
	if old.Retired == retire {
		return badField("intent.upstream.name", string(u.Name), fmt.Sprintf("an upstream that is not already retired=%t", retire))
	}
	next.Retired = retire
	if retire {
		d.step(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
			"retire upstream %s: it gets no new flows and keeps the ones that it has", u.Name)
	} else {
		d.step(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next}, "give upstream %s new flows again", u.Name)
	}
	v, _ := w.View(old.Service)
	if left, ok := capacityLeft(v, "", func(o registrar.UpstreamView) bool { return o.Name == u.Name }); ok {
		d.warnCapacity(old.Service, left, retire)
	}
	return nil
}

// changeWeight pins the weight of an upstream, or lets it follow the measured capacity again if weight is 0.
func (d *draft) changeWeight(w *registrar.World, u registrar.Upstream, weight registrar.Weight) *Failure {
	next := u
	next.Pinned = weight != 0
	if next.Pinned {
		next.Weight = weight
	}
	if next == u {
		return badField("intent.upstream.weight", fmt.Sprint(weight), "a weight other than the present one")
	}
	if !next.Pinned {
		d.step(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
			"let the weight of upstream %s follow its measured capacity; it is %d", u.Name, u.Weight)
		return nil
	}
	d.step(registrar.Change{Kind: registrar.PutUpstream, Upstream: &next},
		"set the weight of upstream %s from %d to %d", u.Name, u.Weight, weight)
	if weight > registrar.Weight(u.Slots)*registrar.WeightPerSlot {
		d.warn("upstream %s: weight %d is above its %d slots", u.Name, weight, u.Slots)
	}
	return nil
}

func (d *draft) expandCustomer(w *registrar.World, kind IntentKind, c registrar.Customer) *Failure {
	old, _ := w.Customer(c.Name)
	if kind == AddCustomer {
		next := registrar.Customer{Name: c.Name}
		d.step(registrar.Change{Kind: registrar.PutCustomer, Customer: &next}, "add customer %s", c.Name)
		d.warn("customer %s: its packets are dropped until a contract names its sources", c.Name)
		return nil
	}
	for _, contract := range w.Contracts() {
		if contract.Customer == c.Name {
			d.affects("contract %s with service %s, sources %v", contract.Name, contract.Service, contract.SourcePrefixes)
			d.touch(c.Name, contract.Service)
		}
	}
	if kind == RemoveCustomer {
		d.step(registrar.Change{Kind: registrar.DeleteCustomer, Customer: &registrar.Customer{Name: c.Name}},
			"remove customer %s", c.Name)
		d.warn("customer %s: no proof can be made after its removal", c.Name)
		return nil
	}
	cut := kind == CutCustomer
	if old.Cut == cut {
		return badField("intent.customer.name", string(c.Name), fmt.Sprintf("a customer that is not already cut=%t", cut))
	}
	old.Cut = cut
	if cut {
		d.step(registrar.Change{Kind: registrar.PutCustomer, Customer: &old},
			"cut customer %s: its flows are closed, and new ones are refused", c.Name)
		d.warn("customer %s: loses all of its traffic", c.Name)
	} else {
		d.step(registrar.Change{Kind: registrar.PutCustomer, Customer: &old}, "let traffic of customer %s pass again", c.Name)
	}
	return nil
}

func (d *draft) expandContract(w *registrar.World, kind IntentKind, c registrar.Contract) *Failure {
	old, had := w.Contract(c.Name)
	if kind == RemoveContract {
		d.step(registrar.Change{Kind: registrar.DeleteContract, Contract: &registrar.Contract{Name: c.Name}},
			"remove contract %s", c.Name)
		d.affects("customer %s, service %s", old.Customer, old.Service)
		d.touch(old.Customer, old.Service)
		d.warn("customer %s: loses service %s from %v", old.Customer, old.Service, old.SourcePrefixes)
		return nil
	}
	if f := checkContract(w, c, old, had); f != nil {
		return f
	}
	// The plan shows the prefixes that will be in force, without host bits.
	c.SourcePrefixes = slices.Clone(c.SourcePrefixes)
	for i, p := range c.SourcePrefixes {
		c.SourcePrefixes[i] = p.Masked()
	}
	d.affects("customer %s, service %s", c.Customer, c.Service)
	d.touch(c.Customer, c.Service)
	verb := "add"
	if had {
		verb = "change"
		d.warnNarrowed(old, c)
	}
	d.step(registrar.Change{Kind: registrar.PutContract, Contract: &c},
		"%s contract %s: customer %s may use service %s from %v", verb, c.Name, c.Customer, c.Service, c.SourcePrefixes)
	return nil
}

func checkContract(w *registrar.World, c, old registrar.Contract, had bool) *Failure {
	if _, ok := w.Customer(c.Customer); !ok {
		return notFound("customer", string(c.Customer))
	}
	if _, ok := w.Service(c.Service); !ok {
		return notFound("service", string(c.Service))
	}
	if len(c.SourcePrefixes) == 0 {
		return badField("intent.contract.source_prefixes", "", "at least one prefix, such as 192.0.2.0/24")
	}
	if had && old.Service != c.Service {
		return badField("intent.contract.service", string(c.Service), "the present service, "+string(old.Service))
	}
	for i, p := range c.SourcePrefixes {
		if !p.IsValid() {
			return badField(fmt.Sprintf("intent.contract.source_prefixes[%d]", i), p.String(), "a prefix, such as 192.0.2.0/24")
		}
	}
	return nil
}

// warnNarrowed names the customers and sources that a changed contract no longer covers.
func (d *draft) warnNarrowed(old, next registrar.Contract) {
	lost := slices.DeleteFunc(slices.Clone(old.SourcePrefixes), func(p netip.Prefix) bool {
		return old.Customer == next.Customer && slices.Contains(next.SourcePrefixes, p)
	})
	if len(lost) == 0 {
		return
	}
	d.touch(old.Customer, old.Service)
	d.warn("customer %s: loses service %s from %v", old.Customer, old.Service, lost)
}
