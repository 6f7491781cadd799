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

// maxGenerations bounds the generations kept per service. An agent has to hear of a generation in which it owns fewer
// buckets before its own generation falls out, so that it can send notices about its flows. With 8, twelve changes within
// one heartbeat interval of 500 ms broke plain UDP flows.
const maxGenerations = 16

const serviceShards = 16

// serviceShard holds services and the upstreams and contracts that belong to them.
type serviceShard struct {
	mu        sync.RWMutex
	services  map[ServiceName]Service
	upstreams map[UpstreamName]Upstream
	contracts map[ContractName]Contract
	// changedAt holds the newest revision that changed the View of a service.
	changedAt map[ServiceName]Revision
}

// placeShard holds the objects that services refer to.
type placeShard struct {
	mu        sync.RWMutex
	zones     map[ZoneName]Zone
	customers map[CustomerName]Customer
}

// machineShard holds the machines of the system.
type machineShard struct {
	mu       sync.RWMutex
	machines map[MachineName]Machine
}

// World is the configuration at one revision. Readers get copies of objects and may run beside Apply; each service is
// consistent in itself at all times. World is safe for concurrent use after NewWorld.
type World struct {
	// applyMu orders writers. Readers do not take it.
	applyMu  sync.Mutex
	services [serviceShards]serviceShard
	routes   routeTable
	places   placeShard
	machines machineShard
	// revision is the newest applied revision and never decreases, except through Restore on a new World.
	revision       atomic.Uint64
	nextServiceID  ServiceID
	nextUpstreamID UpstreamID
	// release is guarded by the lock of places.
	release Release
	// sum is the sum of the hashes of all objects, guarded by applyMu.
	sum uint64
}

// NewWorld returns an empty configuration at revision 0.
func NewWorld() *World {
	w := &World{nextServiceID: 1, nextUpstreamID: 1}
	w.clear()
	return w
}

func (w *World) clear() {
	w.sum, w.release = 0, Release{}
	w.routes.clear()
	for i := range w.services {
		s := &w.services[i]
		s.services = map[ServiceName]Service{}
		s.upstreams = map[UpstreamName]Upstream{}
		s.contracts = map[ContractName]Contract{}
		s.changedAt = map[ServiceName]Revision{}
	}
	w.places.zones = map[ZoneName]Zone{}
	w.places.customers = map[CustomerName]Customer{}
	w.machines.machines = map[MachineName]Machine{}
}

func (w *World) shard(name ServiceName) *serviceShard {
	return &w.services[xxhash.Sum64String(string(name))%serviceShards]
}

// Revision returns the newest applied revision.
func (w *World) Revision() Revision { return Revision(w.revision.Load()) }

// Service returns the service with the given name.
func (w *World) Service(name ServiceName) (Service, bool) {
	s := w.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services sorted by name.
func (w *World) Services() []Service {
	return collect(w, func(s *serviceShard) map[ServiceName]Service { return s.services })
}

// Upstreams returns all upstreams sorted by name.
func (w *World) Upstreams() []Upstream {
	return collect(w, func(s *serviceShard) map[UpstreamName]Upstream { return s.upstreams })
}

// Contracts returns all contracts sorted by name.
func (w *World) Contracts() []Contract {
	return collect(w, func(s *serviceShard) map[ContractName]Contract { return s.contracts })
}

func collect[K cmp.Ordered, V any](w *World, pick func(*serviceShard) map[K]V) []V {
	all := map[K]V{}
	for i := range w.services {
		s := &w.services[i]
		s.mu.RLock()
		maps.Copy(all, pick(s))
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
	w.places.mu.RLock()
	defer w.places.mu.RUnlock()
	z, ok := w.places.zones[name]
	return z, ok
}

// Zones returns all zones sorted by name.
func (w *World) Zones() []Zone {
	w.places.mu.RLock()
	defer w.places.mu.RUnlock()
	return sortedValues(w.places.zones)
}

// Customer returns the customer with the given name.
func (w *World) Customer(name CustomerName) (Customer, bool) {
	w.places.mu.RLock()
	defer w.places.mu.RUnlock()
	c, ok := w.places.customers[name]
	return c, ok
}

// Customers returns all customers sorted by name.
func (w *World) Customers() []Customer {
	w.places.mu.RLock()
	defer w.places.mu.RUnlock()
	return sortedValues(w.places.customers)
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

// NewestUpstream returns the highest upstream id that has been assigned; 0 before the first one.
func (w *World) NewestUpstream() UpstreamID {
	w.places.mu.RLock()
	defer w.places.mu.RUnlock()
	return w.nextUpstreamID - 1
}

// ChangedAt returns the newest revision that changed the View of a service. Nodes skip the services that a revision left
// alone: at 650 services, renewing all of them took 20 ms for each change.
func (w *World) ChangedAt(name ServiceName) Revision {
	s := w.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changedAt[name]
}

// ServiceView is a service with all that routing to it needs.
type ServiceView struct {
	Service
	// Upstreams are sorted by id. They include retired ones, which may still hold flows.
	Upstreams []UpstreamView
	Contracts []ContractView
}

// UpstreamView is an upstream with the facts of its zone and agent.
type UpstreamView struct {
	Upstream
	ZoneWithdrawn bool
	// DataAddress is where the agent takes datagrams.
	DataAddress netip.AddrPort
	// ControlAddress is where the agent takes calls from other agents.
	ControlAddress netip.AddrPort
}

// ContractView is a contract with the state of its customer.
type ContractView struct {
	Contract
	Cut   bool
	CutAt Revision
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
	w.fillUpstreams(v.Upstreams)
	w.fillContracts(v.Contracts)
	return v, true
}

func (w *World) fillUpstreams(views []UpstreamView) {
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

func (w *World) fillContracts(views []ContractView) {
	slices.SortFunc(views, func(a, b ContractView) int { return cmp.Compare(a.Name, b.Name) })
	for i := range views {
		c := &views[i]
		customer, ok := w.Customer(c.Customer)
		c.Cut = !ok || customer.Cut
		c.CutAt = customer.CutAt
	}
}

// State returns a full copy of the configuration.
func (w *World) State() State {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	return w.state()
}

func (w *World) state() State {
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
		Release:        w.Release(),
	}
}

// Restore replaces the configuration by a full copy. It returns ErrStale if the copy is older than the configuration.
func (w *World) Restore(st State) error {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if st.Revision < w.Revision() {
		return eris.Wrapf(ErrStale, "state at revision %d, have %d", st.Revision, w.Revision())
	}
	w.lockAll()
	defer w.unlockAll()
	w.clear()
	w.nextServiceID = max(st.NextServiceID, 1)
	w.nextUpstreamID = max(st.NextUpstreamID, 1)
	for _, z := range st.Zones {
		w.places.zones[z.Name] = z
		w.sum += objectHash(z)
	}
	for _, c := range st.Customers {
		w.places.customers[c.Name] = c
		w.sum += objectHash(c)
	}
	for _, m := range st.Machines {
		w.machines.machines[m.Name] = m
		w.sum += objectHash(m)
	}
	for _, s := range st.Services {
		w.shard(s.Name).services[s.Name] = s
		w.shard(s.Name).changedAt[s.Name] = st.Revision
		w.sum += objectHash(s)
	}
	for _, u := range st.Upstreams {
		w.shard(u.Service).upstreams[u.Name] = u
		w.sum += objectHash(u)
	}
	for _, c := range st.Contracts {
		w.shard(c.Service).contracts[c.Name] = c
		w.sum += objectHash(c)
	}
	for _, r := range st.Routes {
		w.routes.shard(r.Address).routes[r.Address] = r
		w.sum += objectHash(r)
	}
	w.sum += releaseHash(st.Release)
	w.release = st.Release
	w.revision.Store(uint64(st.Revision))
	return nil
}

func (w *World) lockAll() {
	w.routes.lockAll()
	for i := range w.services {
		w.services[i].mu.Lock()
	}
	w.places.mu.Lock()
	w.machines.mu.Lock()
}

func (w *World) unlockAll() {
	w.machines.mu.Unlock()
	w.places.mu.Unlock()
	for i := range w.services {
		w.services[i].mu.Unlock()
	}
	w.routes.unlockAll()
}
