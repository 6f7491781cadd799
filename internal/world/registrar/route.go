package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RouteName names a route.
type RouteName string

// RouteKind is the kind of requests that a route carries. It decides whether they may be retried.
type RouteKind string

// The kinds of route.
const (
	RouteIdempotent    RouteKind = "idempotent"
	RouteNonIdempotent RouteKind = "non_idempotent"
	RouteDownload      RouteKind = "download"
)

// Valid reports whether the kind is one of the constants.
func (k RouteKind) Valid() bool {
	return k == RouteIdempotent || k == RouteNonIdempotent || k == RouteDownload
}

// Millis is a duration in milliseconds.
type Millis uint32

// Mbps is the rate of a link in Mbit/s. 0 stands for a link that needs no bound.
type Mbps float64

// BytesPerSecond returns the rate in bytes per second.
func (r Mbps) BytesPerSecond() float64 { return float64(r) * 1e6 / 8 }

// Priority orders requests under load; 0 is the most urgent.
type Priority uint8

// Target is a service that gets a share of the new flows of a route.
type Target struct {
	Service ServiceName `json:"service"`
	// Weight is the share relative to the weights of the other targets.
	Weight uint32 `json:"weight"`
}

// Route is an address that callers of stream services use, with the services that take its new flows.
type Route struct {
	Name RouteName `json:"name"`
	// Address is unique among routes.
	Address netip.AddrPort `json:"address"`
	Kind    RouteKind      `json:"kind"`
	// Timeout is the time limit of a request. It is at least 1.
	Timeout       Millis   `json:"timeout_ms"`
	TargetLatency Millis   `json:"latency_target_ms,omitempty"`
	Priority      Priority `json:"priority,omitempty"`
	// Targets name no service twice, and at least one of them has a weight above 0.
	Targets []Target `json:"targets"`
	// FormerServices are the services that were targets before and are none now, newest first and at most maxFormerServices. Flows that
	// the route opened then may still be open at their upstreams. World sets the field, also from a deleted route with the same address; the value in a change is ignored.
	FormerServices []ServiceName `json:"former_services,omitempty"`
	// LacksFormer is true if FormerServices may lack a service. World sets the field and never resets it.
	LacksFormer bool `json:"lacks_former,omitempty"`
}

// maxFormerServices bounds the services that a search for a flow covers besides the targets.
const maxFormerServices = 3

// Equal reports whether two routes are the same, whatever their former services are.
func (r Route) Equal(other Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Kind == other.Kind && r.Timeout == other.Timeout &&
		r.TargetLatency == other.TargetLatency && r.Priority == other.Priority && slices.Equal(r.Targets, other.Targets)
}

// targets reports whether a service is among the targets, whatever its weight.
func (r Route) targets(service ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// allServices returns the services that are or were targets of the route, newest first.
func (r Route) allServices() []ServiceName {
	var all []ServiceName
	for _, t := range r.Targets {
		all = append(all, t.Service)
	}
	return append(all, r.FormerServices...)
}

// setFormerServices sets the former services of a route with the given earlier services, which may lack some.
func (r *Route) setFormerServices(earlier []ServiceName, lacksSome bool) {
	former := slices.DeleteFunc(slices.Clone(earlier), r.targets)
	r.FormerServices = former[:min(len(former), maxFormerServices)]
	r.LacksFormer = lacksSome || len(former) > maxFormerServices
}

// KeepsAllFormerServices reports whether FormerServices lacks no service that was a target before. A full list counts as incomplete,
// because versions without LacksFormer may have shortened it.
func (r Route) KeepsAllFormerServices() bool {
	return !r.LacksFormer && len(r.FormerServices) < maxFormerServices
}

// Allows reports whether new flows of the route may go to a service.
func (r Route) Allows(service ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// DefaultTargetLatency is the target latency of routes that set none.
const DefaultTargetLatency = 200 * time.Millisecond

// EffectiveTargetLatency returns the time within which the requests of a route should be answered.
func (r Route) EffectiveTargetLatency() time.Duration {
	if r.TargetLatency == 0 {
		return DefaultTargetLatency
	}
	return time.Duration(r.TargetLatency) * time.Millisecond
}

// ReleaseVersion is the operator's own number for a whole configuration of routes. Higher versions replace lower ones.
type ReleaseVersion uint64

// Release is one version of an operator's configuration of routes, with the settings that apply to all routes.
type Release struct {
	Version ReleaseVersion `json:"version"`
	// IdleTimeout is how long a stream flow may carry no packets before its state may be deleted.
	IdleTimeout Millis `json:"idle_timeout_ms,omitempty"`
}

// DefaultIdleTimeout is the idle timeout of stream flows if the release sets none.
const DefaultIdleTimeout = 15 * time.Second

// EffectiveIdleTimeout returns how long a stream flow may carry no packets before its state may be deleted.
func (r Release) EffectiveIdleTimeout() time.Duration {
	if r.IdleTimeout == 0 {
		return DefaultIdleTimeout
	}
	return time.Duration(r.IdleTimeout) * time.Millisecond
}

const routeShardCount = 16

// DeletedRoute is what is kept of a deleted route. If a route with its address is added again, flows of the earlier one may still be open.
type DeletedRoute struct {
	Address netip.AddrPort `json:"address"`
	// Services were targets of the route, newest first. LacksSome is true if the list may lack one.
	Services  []ServiceName `json:"services"`
	LacksSome bool          `json:"lacks_some,omitempty"`
	// Revision is the one that deleted the route.
	Revision Revision `json:"revision"`
}

// maxDeletedRoutes bounds the deleted routes of a shard that are kept, which take about 100 bytes each.
const maxDeletedRoutes = 256

// routeShard holds the routes whose addresses hash to the shard.
type routeShard struct {
	mu     sync.RWMutex
	routes map[netip.AddrPort]Route
	// deleted holds the newest deleted routes that have not been added again.
	deleted map[netip.AddrPort]DeletedRoute
}

// keepDeleted keeps a deleted route, in place of the oldest one if the shard has too many.
func (w *World) keepDeleted(s *routeShard, d DeletedRoute) undo {
	s.deleted[d.Address] = d
	if len(s.deleted) <= maxDeletedRoutes {
		return func() { delete(s.deleted, d.Address) }
	}
	evictedBefore := w.evictedRoutes
	w.evictedRoutes = true
	oldest := d
	for _, other := range s.deleted {
		if cmp.Or(cmp.Compare(other.Revision, oldest.Revision), other.Address.Compare(oldest.Address)) < 0 {
			oldest = other
		}
	}
	delete(s.deleted, oldest.Address)
	return func() {
		w.evictedRoutes = evictedBefore
		delete(s.deleted, d.Address)
		if oldest.Address != d.Address {
			s.deleted[oldest.Address] = oldest
		}
	}
}

// routeTable holds all routes, sharded by the hash of their addresses.
type routeTable [routeShardCount]routeShard

func (t *routeTable) shard(a netip.AddrPort) *routeShard { return &t[HashAddress(a)%routeShardCount] }

func (t *routeTable) clear() {
	for i := range t {
		t[i].routes = map[netip.AddrPort]Route{}
		t[i].deleted = map[netip.AddrPort]DeletedRoute{}
	}
}

func (t *routeTable) lockAll() {
	for i := range t {
		t[i].mu.Lock()
	}
}

func (t *routeTable) unlockAll() {
	for i := range t {
		t[i].mu.Unlock()
	}
}

// Route returns the route with an address.
func (w *World) Route(a netip.AddrPort) (Route, bool) {
	s := w.routes.shard(a)
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.routes[a]
	return r, ok
}

// Routes returns all routes sorted by address.
func (w *World) Routes() []Route {
	var all []Route
	for i := range w.routes {
		s := &w.routes[i]
		s.mu.RLock()
		all = slices.AppendSeq(all, maps.Values(s.routes))
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b Route) int { return a.Address.Compare(b.Address) })
	return all
}

// Release returns the newest release. Its version is 0 before the first one.
func (w *World) Release() Release {
	w.global.mu.RLock()
	defer w.global.mu.RUnlock()
	return w.release
}

// CheckRoute returns ErrInvalid if a route is invalid regardless of other objects.
func CheckRoute(r Route) error {
	switch {
	case !r.Address.IsValid() || r.Address.Port() == 0 || r.Address.Addr().IsUnspecified():
		return eris.Wrapf(ErrInvalid, "route %q: address %q is not an IP address with a port", r.Name, r.Address)
	case !r.Kind.Valid():
		return eris.Wrapf(ErrInvalid, "route %q: kind %q, allowed are %q, %q and %q",
			r.Name, r.Kind, RouteIdempotent, RouteNonIdempotent, RouteDownload)
	case r.Timeout == 0:
		return eris.Wrapf(ErrInvalid, "route %q: timeout_ms must be at least 1", r.Name)
	}
	return checkTargets(r)
}

func checkTargets(r Route) error {
	services := map[ServiceName]bool{}
	var totalWeight uint64
	for _, t := range r.Targets {
		if services[t.Service] {
			return eris.Wrapf(ErrInvalid, "route %q: service %q is named twice", r.Name, t.Service)
		}
		services[t.Service] = true
		totalWeight += uint64(t.Weight)
	}
	if totalWeight == 0 {
		return eris.Wrapf(ErrInvalid, "route %q: targets need a weight above 0", r.Name)
	}
	return nil
}

func (w *World) putRoute(r Route) (undo, error) {
	if err := CheckRoute(r); err != nil {
		return nil, err
	}
	for _, t := range r.Targets {
		if _, ok := w.shard(t.Service).services[t.Service]; !ok {
			return nil, eris.Wrapf(ErrInvalid, "route %q: service %q does not exist", r.Name, t.Service)
		}
	}
	s := w.routes.shard(r.Address)
	old, existed := s.routes[r.Address]
	deleted, wasDeleted := s.deleted[r.Address]
	switch {
	case existed:
		r.setFormerServices(old.allServices(), old.LacksFormer)
	case wasDeleted:
		r.setFormerServices(deleted.Services, deleted.LacksSome)
	default:
		// Any route may be one that was deleted and is no longer kept.
		r.setFormerServices(nil, w.evictedRoutes)
	}
	undoPut, err := putObject(w, s.routes, r.Address, r)
	if err != nil || !wasDeleted {
		return undoPut, err
	}
	delete(s.deleted, r.Address)
	return func() {
		undoPut()
		s.deleted[r.Address] = deleted
	}, nil
}

func (w *World) deleteRoute(revision Revision, a netip.AddrPort) (undo, error) {
	s := w.routes.shard(a)
	old := s.routes[a]
	undoDelete, err := deleteObject(w, s.routes, a)
	if err != nil {
		return nil, err
	}
	undoKeep := w.keepDeleted(s, DeletedRoute{Address: a, Services: old.allServices(), LacksSome: old.LacksFormer, Revision: revision})
	return func() {
		undoKeep()
		undoDelete()
	}, nil
}

// deletedRoutes returns the deleted routes that are kept, sorted by address.
func (w *World) deletedRoutes() []DeletedRoute {
	var all []DeletedRoute
	for i := range w.routes {
		s := &w.routes[i]
		s.mu.RLock()
		all = slices.AppendSeq(all, maps.Values(s.deleted))
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b DeletedRoute) int { return a.Address.Compare(b.Address) })
	return all
}

func (w *World) putRelease(r Release) (undo, error) {
	if r.Version <= w.release.Version {
		return nil, eris.Wrapf(ErrInvalid, "release version %d, have %d", r.Version, w.release.Version)
	}
	oldRelease, hashSum := w.release, w.hashSum
	w.hashSum += releaseHash(r) - releaseHash(oldRelease)
	w.release = r
	return func() { w.release, w.hashSum = oldRelease, hashSum }, nil
}

// releaseHash returns 0 without a release, so that configurations without routes keep the digest that older versions compute.
func releaseHash(r Release) uint64 {
	if r.Version == 0 {
		return 0
	}
	return objectHash(r)
}
