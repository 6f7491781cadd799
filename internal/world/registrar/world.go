package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Errors of World.
var (
	// ErrStale means that the update's revision is already applied.
	ErrStale = eris.New("revision is already applied")
	// ErrGap means that updates before this one are missing.
	ErrGap = eris.New("updates are missing before this revision")
	// ErrInvalid means that a change contradicts the configuration.
	ErrInvalid = eris.New("invalid change")
)

// maxGenerations is the largest number of generations kept per service. An agent that owns fewer buckets in a newer
// generation sends notices about its flows, which it cannot do if its own generation has been dropped before it receives the
// newer one. With 8, twelve changes within one heartbeat interval of 500 ms broke plain UDP flows.
const maxGenerations = 16

const serviceShardCount = 16

// serviceShard holds services and the upstreams and contracts that belong to them.
type serviceShard struct {
	mu        sync.RWMutex
	services  map[ServiceName]Service
	upstreams map[UpstreamName]Upstream
	contracts map[ContractName]Contract
	// changeRevisions holds the newest revision that changed the View of each service.
	changeRevisions map[ServiceName]Revision
}

// globalShard holds the zones and customers, which services of all shards refer to.
type globalShard struct {
	mu        sync.RWMutex
	zones     map[ZoneName]Zone
	customers map[CustomerName]Customer
}

// machineShard holds the machines of the system.
type machineShard struct {
	mu       sync.RWMutex
	machines map[MachineName]Machine
}

// World is the configuration at one revision. Readers get copies of objects and may run concurrently with Apply; each
// service is consistent in itself at all times. World is safe for concurrent use after NewWorld.
type World struct {
	// applyMu serializes writers. Readers of single objects do not take it.
	applyMu  sync.Mutex
	services [serviceShardCount]serviceShard
	routes   routeTable
	global   globalShard
	machines machineShard
	// revision is the newest applied revision. It never decreases: Apply and Restore refuse older revisions.
	revision       atomic.Uint64
	nextServiceID  ServiceID
	nextUpstreamID UpstreamID
	// release is guarded by the lock of global.
	release Release
	// evictedRoutes is true if a deleted route is not kept because there were too many, guarded by applyMu.
	evictedRoutes bool
	// hashSum is the sum of the hashes of all objects, guarded by applyMu.
	hashSum uint64
}

// NewWorld returns an empty configuration at revision 0.
func NewWorld() *World {
	w := &World{nextServiceID: 1, nextUpstreamID: 1}
	w.clear()
	return w
}

func (w *World) clear() {
	w.hashSum, w.release, w.evictedRoutes = 0, Release{}, false
	w.routes.clear()
	for i := range w.services {
		s := &w.services[i]
		s.services = map[ServiceName]Service{}
		s.upstreams = map[UpstreamName]Upstream{}
		s.contracts = map[ContractName]Contract{}
		s.changeRevisions = map[ServiceName]Revision{}
	}
	w.global.zones = map[ZoneName]Zone{}
	w.global.customers = map[CustomerName]Customer{}
	w.machines.machines = map[MachineName]Machine{}
}

func (w *World) shard(name ServiceName) *serviceShard {
	return &w.services[xxhash.Sum64String(string(name))%serviceShardCount]
}

// Revision returns the newest applied revision.
func (w *World) Revision() Revision { return Revision(w.revision.Load()) }

// Service returns the service with the given name.
func (w *World) Service(name ServiceName) (Service, bool) {
	s := w.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services sorted by name.
func (w *World) Services() []Service {
	return collectSorted(w, func(s *serviceShard) map[ServiceName]Service { return s.services })
}

// Upstreams returns all upstreams sorted by name.
func (w *World) Upstreams() []Upstream {
	return collectSorted(w, func(s *serviceShard) map[UpstreamName]Upstream { return s.upstreams })
}

// Contracts returns all contracts sorted by name.
func (w *World) Contracts() []Contract {
	return collectSorted(w, func(s *serviceShard) map[ContractName]Contract { return s.contracts })
}

// collectSorted returns the objects that the function selects in each service shard, sorted by name.
func collectSorted[K cmp.Ordered, V any](w *World, selectObjects func(*serviceShard) map[K]V) []V {
	all := map[K]V{}
	for i := range w.services {
		s := &w.services[i]
		s.mu.RLock()
		maps.Copy(all, selectObjects(s))
		s.mu.RUnlock()
	}
	return sortedValues(all)
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// Upstream returns the upstream with the given name.
func (w *World) Upstream(name UpstreamName) (Upstream, bool) {
	for i := range w.services {
		s := &w.services[i]
		s.mu.RLock()
		u, ok := s.upstreams[name]
		s.mu.RUnlock()
		if ok {
			return u, true
		}
	}
	return Upstream{}, false
}

// Contract returns the contract with the given name.
func (w *World) Contract(name ContractName) (Contract, bool) {
	for i := range w.services {
		s := &w.services[i]
		s.mu.RLock()
		c, ok := s.contracts[name]
		s.mu.RUnlock()
		if ok {
			return c, true
		}
	}
	return Contract{}, false
}

// Zone returns the zone with the given name.
func (w *World) Zone(name ZoneName) (Zone, bool) {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	z, ok := w.global.zones[name]
	return z, ok
}

// Zones returns all zones sorted by name.
func (w *World) Zones() []Zone {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	return sortedValues(w.global.zones)
}

// Customer returns the customer with the given name.
func (w *World) Customer(name CustomerName) (Customer, bool) {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	c, ok := w.global.customers[name]
	return c, ok
}

// Customers returns all customers sorted by name.
func (w *World) Customers() []Customer {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	return sortedValues(w.global.customers)
}

// Machine returns the machine with the given name.
func (w *World) Machine(name MachineName) (Machine, bool) {
	w.machines.mu.RLock()
	defer w.machines.mu.RUnlock()
	m, ok := w.machines.machines[name]
	return m, ok
}

// Machines returns all machines sorted by name.
func (w *World) Machines() []Machine {
	w.machines.mu.RLock()
	defer w.machines.mu.RUnlock()
	return sortedValues(w.machines.machines)
}

// NewestUpstreamID returns the highest upstream id that has been assigned; 0 before the first one.
func (w *World) NewestUpstreamID() UpstreamID {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	return w.nextUpstreamID - 1
}

// ChangeRevision returns the newest revision that changed the View of a service. Nodes rebuild only the services that a
// revision changed: with 650 services, rebuilding all of them took 20 ms for each change.
func (w *World) ChangeRevision(name ServiceName) Revision {
	s := w.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changeRevisions[name]
}

// ServiceView is a service with the objects that are needed to route to it.
type ServiceView struct {
	Service
	// Upstreams are sorted by id. They include retired ones, which may still hold flows.
	Upstreams []UpstreamView
	Contracts []ContractView
}

// UpstreamView is an upstream with the state of its zone and the addresses of its agent.
type UpstreamView struct {
	Upstream
	ZoneWithdrawn bool
	// DataAddress is where the agent receives datagrams.
	DataAddress netip.AddrPort
	// ControlAddress is where the agent accepts calls from other agents.
	ControlAddress netip.AddrPort
}

// ContractView is a contract with the state of its customer.
type ContractView struct {
	Contract
	Cut         bool
	CutRevision Revision
}

// View returns the service with its upstreams and contracts.
func (w *World) View(name ServiceName) (ServiceView, bool) {
	s := w.shard(name)
	s.mu.RLock()
	service, ok := s.services[name]
	if !ok {
		s.mu.RUnlock()
		return ServiceView{}, false
	}
	v := ServiceView{Service: service}
	for _, u := range s.upstreams {
		if u.Service == name {
			v.Upstreams = append(v.Upstreams, UpstreamView{Upstream: u})
		}
	}
	for _, c := range s.contracts {
		if c.Service == name {
			v.Contracts = append(v.Contracts, ContractView{Contract: c})
		}
	}
	s.mu.RUnlock()
	w.fillUpstreamViews(v.Upstreams)
	w.fillContractViews(v.Contracts)
	return v, true
}

func (w *World) fillUpstreamViews(views []UpstreamView) {
	slices.SortFunc(views, func(a, b UpstreamView) int { return cmp.Compare(a.ID, b.ID) })
	for i := range views {
		u := &views[i]
		if z, ok := w.Zone(u.Zone); !ok || z.Withdrawn {
			u.ZoneWithdrawn = true
		}
		if m, ok := w.Machine(u.Machine); ok {
			u.DataAddress = m.DataAddress
			u.ControlAddress = m.ControlAddress
		}
	}
}

func (w *World) fillContractViews(views []ContractView) {
	slices.SortFunc(views, func(a, b ContractView) int { return cmp.Compare(a.Name, b.Name) })
	for i := range views {
		c := &views[i]
		customer, ok := w.Customer(c.Customer)
		c.Cut = !ok || customer.Cut
		c.CutRevision = customer.CutRevision
	}
}

// State returns a full copy of the configuration.
func (w *World) State() State {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	return w.stateLocked()
}

func (w *World) stateLocked() State {
	return State{
		Revision:       w.Revision(),
		NextServiceID:  w.nextServiceID,
		NextUpstreamID: w.nextUpstreamID,
		Zones:          w.Zones(),
		Services:       w.Services(),
		Upstreams:      w.Upstreams(),
		Customers:      w.Customers(),
		Contracts:      w.Contracts(),
		Machines:       w.Machines(),
		Routes:         w.Routes(),
		DeletedRoutes:  w.deletedRoutes(),
		EvictedRoutes:  w.evictedRoutes,
		Release:        w.Release(),
	}
}

// Restore replaces the configuration by a full copy. It returns ErrStale if the copy is older than the configuration.
func (w *World) Restore(state State) error {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if state.Revision < w.Revision() {
		return eris.Wrapf(ErrStale, "state at revision %d, have %d", state.Revision, w.Revision())
	}
	w.lockAll()
	defer w.unlockAll()
	w.clear()
	w.nextServiceID = max(state.NextServiceID, 1)
	w.nextUpstreamID = max(state.NextUpstreamID, 1)
	for _, z := range state.Zones {
		w.global.zones[z.Name] = z
		w.hashSum += objectHash(z)
	}
	for _, c := range state.Customers {
		w.global.customers[c.Name] = c
		w.hashSum += objectHash(c)
	}
	for _, m := range state.Machines {
		w.machines.machines[m.Name] = m
		w.hashSum += objectHash(m)
	}
	for _, s := range state.Services {
		w.shard(s.Name).services[s.Name] = s
		w.shard(s.Name).changeRevisions[s.Name] = state.Revision
		w.hashSum += objectHash(s)
	}
	for _, u := range state.Upstreams {
		w.shard(u.Service).upstreams[u.Name] = u
		w.hashSum += objectHash(u)
	}
	for _, c := range state.Contracts {
		w.shard(c.Service).contracts[c.Name] = c
		w.hashSum += objectHash(c)
	}
	for _, r := range state.Routes {
		w.routes.shard(r.Address).routes[r.Address] = r
		w.hashSum += objectHash(r)
	}
	w.evictedRoutes = state.EvictedRoutes
	for _, d := range state.DeletedRoutes {
		w.routes.shard(d.Address).deleted[d.Address] = d
	}
	w.hashSum += releaseHash(state.Release)
	w.release = state.Release
	w.revision.Store(uint64(state.Revision))
	return nil
}

func (w *World) lockAll() {
	w.routes.lockAll()
	for i := range w.services {
		w.services[i].mu.Lock()
	}
	w.global.mu.Lock()
	w.machines.mu.Lock()
}

func (w *World) unlockAll() {
	w.machines.mu.Unlock()
	w.global.mu.Unlock()
	for i := range w.services {
		w.services[i].mu.Unlock()
	}
	w.routes.unlockAll()
}
