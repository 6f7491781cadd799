package registrar

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"
)

// undo reverts one applied change of an update.
type undo func()

// Apply applies the update of the next revision as a whole. It returns ErrStale if the revision is already applied,
// ErrGap if an earlier one is missing and ErrInvalid if a change contradicts the configuration; in these cases it applies
// nothing.
func (w *World) Apply(u Update) error {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	switch current := w.Revision(); {
	case u.Revision <= current:
		return eris.Wrapf(ErrStale, "update %d, have %d", u.Revision, current)
	case u.Revision != current+1:
		return eris.Wrapf(ErrGap, "update %d, have %d", u.Revision, current)
	}
	if err := w.applyLocked(u); err != nil {
		return err
	}
	w.revision.Store(uint64(u.Revision))
	return nil
}

// Check returns the error that Apply would return for the changes as the next revision. It changes nothing.
func (w *World) Check(changes []Change) error {
	w.applyMu.Lock()
	trial := NewWorld()
	state := w.stateLocked()
	w.applyMu.Unlock()
	if err := trial.Restore(state); err != nil {
		return err
	}
	return trial.Apply(Update{Revision: state.Revision + 1, Changes: changes})
}

func (w *World) applyLocked(u Update) error {
	w.lockAll()
	defer w.unlockAll()
	nextServiceID, nextUpstreamID := w.nextServiceID, w.nextUpstreamID
	var undos []undo
	for i, c := range u.Changes {
		revert, err := w.applyChange(u.Revision, c)
		if err != nil {
			for _, revertEarlier := range slices.Backward(undos) {
				revertEarlier()
			}
			w.nextServiceID, w.nextUpstreamID = nextServiceID, nextUpstreamID
			return eris.Wrapf(err, "change %d (%s)", i+1, c.Kind)
		}
		undos = append(undos, revert)
	}
	for i := range w.services {
		w.appendGenerations(&w.services[i], u.Revision)
	}
	w.recordChangedServices(u.Revision, u.Changes)
	return nil
}

func (w *World) applyChange(revision Revision, c Change) (undo, error) {
	switch {
	case c.Kind == PutZone && c.Zone != nil:
		return w.putZone(revision, *c.Zone)
	case c.Kind == DeleteZone && c.Zone != nil:
		return w.deleteZone(c.Zone.Name)
	case c.Kind == PutService && c.Service != nil:
		return w.putService(*c.Service)
	case c.Kind == DeleteService && c.Service != nil:
		return w.deleteService(c.Service.Name)
	case c.Kind == PutUpstream && c.Upstream != nil:
		return w.putUpstream(*c.Upstream)
	case c.Kind == DeleteUpstream && c.Upstream != nil:
		return w.deleteUpstream(c.Upstream.Name)
	case c.Kind == PutCustomer && c.Customer != nil:
		return w.putCustomer(revision, *c.Customer)
	case c.Kind == DeleteCustomer && c.Customer != nil:
		return w.deleteCustomer(c.Customer.Name)
	case c.Kind == PutContract && c.Contract != nil:
		return w.putContract(*c.Contract)
	case c.Kind == DeleteContract && c.Contract != nil:
		return w.deleteContract(c.Contract.Name)
	case c.Kind == PutMachine && c.Machine != nil:
		return putObject(w, w.machines.machines, c.Machine.Name, *c.Machine)
	case c.Kind == DeleteMachine && c.Machine != nil:
		return deleteObject(w, w.machines.machines, c.Machine.Name)
	case c.Kind == TrimGenerations && c.Trim != nil:
		return w.trimGenerations(*c.Trim)
	case c.Kind == PutRoute && c.Route != nil:
		return w.putRoute(*c.Route)
	case c.Kind == DeleteRoute && c.Route != nil:
		return w.deleteRoute(revision, c.Route.Address)
	case c.Kind == PutRelease && c.Release != nil:
		return w.putRelease(*c.Release)
	}
	return nil, eris.Wrapf(ErrInvalid, "kind %q without its object", c.Kind)
}

// putObject adds or replaces an object in a map of World and updates the hash sum.
func putObject[K comparable, V any](w *World, objects map[K]V, name K, object V) (undo, error) {
	var empty K
	if name == empty {
		return nil, eris.Wrap(ErrInvalid, "name is empty")
	}
	hashSum := w.hashSum
	old, existed := objects[name]
	if existed {
		w.hashSum -= objectHash(old)
	}
	w.hashSum += objectHash(object)
	objects[name] = object
	return func() {
		w.hashSum = hashSum
		if existed {
			objects[name] = old
		} else {
			delete(objects, name)
		}
	}, nil
}

// deleteObject deletes an object from a map of World and updates the hash sum.
func deleteObject[K comparable, V any](w *World, objects map[K]V, name K) (undo, error) {
	old, ok := objects[name]
	if !ok {
		return nil, eris.Wrapf(ErrInvalid, "%q does not exist", fmt.Sprint(name))
	}
	hashSum := w.hashSum
	w.hashSum -= objectHash(old)
	delete(objects, name)
	return func() {
		w.hashSum = hashSum
		objects[name] = old
	}, nil
}

func (w *World) putZone(revision Revision, z Zone) (undo, error) {
	if z.Region == "" {
		return nil, eris.Wrapf(ErrInvalid, "zone %q has no region", z.Name)
	}
	old, existed := w.global.zones[z.Name]
	z.ChangeRevision = old.ChangeRevision
	if !existed || old.Withdrawn != z.Withdrawn {
		z.ChangeRevision = revision
	}
	return putObject(w, w.global.zones, z.Name, z)
}

func (w *World) deleteZone(name ZoneName) (undo, error) {
	for i := range w.services {
		for _, u := range w.services[i].upstreams {
			if u.Zone == name {
				return nil, eris.Wrapf(ErrInvalid, "zone %q still has upstream %q", name, u.Name)
			}
		}
	}
	return deleteObject(w, w.global.zones, name)
}

func (w *World) putService(s Service) (undo, error) {
	if err := w.checkTransport(s); err != nil {
		return nil, err
	}
	old, existed := w.shard(s.Name).services[s.Name]
	s.ID, s.Generations = old.ID, old.Generations
	if existed && (old.Transport != s.Transport || old.Address != s.Address) {
		return nil, eris.Wrapf(ErrInvalid, "service %q: address and transport cannot change", s.Name)
	}
	if !existed {
		s.ID = w.nextServiceID
		w.nextServiceID++
	}
	return putObject(w, w.shard(s.Name).services, s.Name, s)
}

// checkTransport checks the transport of a service and its address. Stream services have no address, because callers reach
// them through routes.
func (w *World) checkTransport(s Service) error {
	switch s.Transport {
	case TransportStream:
		if s.Address.IsValid() {
			return eris.Wrapf(ErrInvalid, "service %q: address %s, but callers reach %q services through routes",
				s.Name, s.Address, TransportStream)
		}
		return nil
	case TransportQUIC, TransportUDP:
	default:
		return eris.Wrapf(ErrInvalid, "service %q: transport %q, allowed are %q, %q and %q",
			s.Name, s.Transport, TransportQUIC, TransportUDP, TransportStream)
	}
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		return eris.Wrapf(ErrInvalid, "service %q: address %q is not an IP address with a port", s.Name, s.Address)
	}
	for i := range w.services {
		for _, other := range w.services[i].services {
			if other.Name != s.Name && other.Address == s.Address {
				return eris.Wrapf(ErrInvalid, "service %q: address %s belongs to service %q", s.Name, s.Address, other.Name)
			}
		}
	}
	return nil
}

func (w *World) deleteService(name ServiceName) (undo, error) {
	shard := w.shard(name)
	for _, u := range shard.upstreams {
		if u.Service == name {
			return nil, eris.Wrapf(ErrInvalid, "service %q still has upstream %q", name, u.Name)
		}
	}
	for _, c := range shard.contracts {
		if c.Service == name {
			return nil, eris.Wrapf(ErrInvalid, "service %q still has contract %q", name, c.Name)
		}
	}
	for _, r := range w.routesLocked() {
		if r.Allows(name) {
			return nil, eris.Wrapf(ErrInvalid, "service %q is still a target of route %q", name, r.Name)
		}
	}
	return deleteObject(w, shard.services, name)
}

// routesLocked returns all routes sorted by address. The caller holds the locks of all route shards.
func (w *World) routesLocked() []Route {
	var all []Route
	for i := range w.routes {
		all = slices.AppendSeq(all, maps.Values(w.routes[i].routes))
	}
	slices.SortFunc(all, func(a, b Route) int { return a.Address.Compare(b.Address) })
	return all
}

func (w *World) putUpstream(u Upstream) (undo, error) {
	shard := w.shard(u.Service)
	if _, ok := shard.services[u.Service]; !ok {
		return nil, eris.Wrapf(ErrInvalid, "upstream %q: service %q does not exist", u.Name, u.Service)
	}
	if _, ok := w.global.zones[u.Zone]; !ok {
		return nil, eris.Wrapf(ErrInvalid, "upstream %q: zone %q does not exist", u.Name, u.Zone)
	}
	if u.Slots == 0 {
		return nil, eris.Wrapf(ErrInvalid, "upstream %q: slots must be at least 1", u.Name)
	}
	if u.Weight == 0 {
		u.Weight = Weight(u.Slots) * WeightPerSlot
	}
	for i := range w.services {
		if old, ok := w.services[i].upstreams[u.Name]; ok && old.Service != u.Service {
			return nil, eris.Wrapf(ErrInvalid, "upstream %q belongs to service %q", u.Name, old.Service)
		}
	}
	old, existed := shard.upstreams[u.Name]
	u.ID = old.ID
	if !existed {
		u.ID = w.nextUpstreamID
		w.nextUpstreamID++
	}
	return putObject(w, shard.upstreams, u.Name, u)
}

func (w *World) deleteUpstream(name UpstreamName) (undo, error) {
	for i := range w.services {
		if _, ok := w.services[i].upstreams[name]; ok {
			return deleteObject(w, w.services[i].upstreams, name)
		}
	}
	return nil, eris.Wrapf(ErrInvalid, "%q does not exist", name)
}

func (w *World) putCustomer(revision Revision, c Customer) (undo, error) {
	old, existed := w.global.customers[c.Name]
	c.CutRevision = old.CutRevision
	if existed && old.Cut != c.Cut || !existed && c.Cut {
		c.CutRevision = revision
	}
	return putObject(w, w.global.customers, c.Name, c)
}

func (w *World) deleteCustomer(name CustomerName) (undo, error) {
	for i := range w.services {
		for _, c := range w.services[i].contracts {
			if c.Customer == name {
				return nil, eris.Wrapf(ErrInvalid, "customer %q still has contract %q", name, c.Name)
			}
		}
	}
	return deleteObject(w, w.global.customers, name)
}

func (w *World) putContract(c Contract) (undo, error) {
	shard := w.shard(c.Service)
	if _, ok := shard.services[c.Service]; !ok {
		return nil, eris.Wrapf(ErrInvalid, "contract %q: service %q does not exist", c.Name, c.Service)
	}
	if _, ok := w.global.customers[c.Customer]; !ok {
		return nil, eris.Wrapf(ErrInvalid, "contract %q: customer %q does not exist", c.Name, c.Customer)
	}
	if len(c.SourcePrefixes) == 0 {
		return nil, eris.Wrapf(ErrInvalid, "contract %q: source_prefixes is empty", c.Name)
	}
	c.SourcePrefixes = slices.Clone(c.SourcePrefixes)
	for i, p := range c.SourcePrefixes {
		if !p.IsValid() {
			return nil, eris.Wrapf(ErrInvalid, "contract %q: source prefix %d is not valid", c.Name, i+1)
		}
		c.SourcePrefixes[i] = p.Masked()
	}
	for i := range w.services {
		if old, ok := w.services[i].contracts[c.Name]; ok && old.Service != c.Service {
			return nil, eris.Wrapf(ErrInvalid, "contract %q belongs to service %q", c.Name, old.Service)
		}
	}
	for _, other := range shard.contracts {
		if other.Name == c.Name || other.Service != c.Service {
			continue
		}
		if p, ok := firstSharedPrefix(c.SourcePrefixes, other.SourcePrefixes); ok {
			return nil, eris.Wrapf(ErrInvalid, "contract %q: source prefix %s belongs to contract %q", c.Name, p, other.Name)
		}
	}
	return putObject(w, shard.contracts, c.Name, c)
}

// firstSharedPrefix returns the first prefix of a that is also in b.
func firstSharedPrefix(a, b []netip.Prefix) (netip.Prefix, bool) {
	for _, p := range a {
		if slices.Contains(b, p) {
			return p, true
		}
	}
	return netip.Prefix{}, false
}

func (w *World) deleteContract(name ContractName) (undo, error) {
	for i := range w.services {
		if _, ok := w.services[i].contracts[name]; ok {
			return deleteObject(w, w.services[i].contracts, name)
		}
	}
	return nil, eris.Wrapf(ErrInvalid, "%q does not exist", name)
}

func (w *World) trimGenerations(t Trim) (undo, error) {
	shard := w.shard(t.Service)
	s, ok := shard.services[t.Service]
	if !ok {
		return nil, eris.Wrapf(ErrInvalid, "service %q does not exist", t.Service)
	}
	firstKept := 0
	for firstKept < len(s.Generations)-1 && s.Generations[firstKept].Revision < t.Before {
		firstKept++
	}
	s.Generations = slices.Clone(s.Generations[firstKept:])
	return putObject(w, shard.services, t.Service, s)
}

// appendGenerations appends a generation to each service whose upstreams that take new flows differ from the members of its
// newest generation, and drops the oldest generations beyond maxGenerations.
func (w *World) appendGenerations(shard *serviceShard, revision Revision) {
	members := map[ServiceName][]Member{}
	for _, u := range shard.upstreams {
		if w.takesNewFlows(u) {
			members[u.Service] = append(members[u.Service], Member{Upstream: u.ID, Weight: u.Weight})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(shard.services)) {
		s := shard.services[name]
		newMembers := members[name]
		slices.SortFunc(newMembers, func(a, b Member) int { return cmp.Compare(a.Upstream, b.Upstream) })
		if n := len(s.Generations); n > 0 && slices.Equal(s.Generations[n-1].Members, newMembers) || n == 0 && len(newMembers) == 0 {
			continue
		}
		generations := append(slices.Clone(s.Generations), Generation{Revision: revision, Members: newMembers})
		if excess := len(generations) - maxGenerations; excess > 0 {
			generations = generations[excess:]
		}
		w.hashSum -= objectHash(s)
		s.Generations = generations
		w.hashSum += objectHash(s)
		shard.services[name] = s
		shard.changeRevisions[name] = revision
	}
}

func (w *World) takesNewFlows(u Upstream) bool {
	z, ok := w.global.zones[u.Zone]
	return ok && !z.Withdrawn && !u.Retired && !u.Draining && !u.Silent
}
