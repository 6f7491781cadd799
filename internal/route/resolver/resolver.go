// Package resolver looks up the customer of a source address and the address of an upstream, for one service at one revision.
package resolver

import (
	"net/netip"
	"slices"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Route holds the data with which a machine routes the datagrams of one service. It is immutable.
type Route struct {
	Service  registrar.Service
	Revision registrar.Revision
	*balancer.Balancer
	upstreams map[registrar.UpstreamID]registrar.UpstreamView
	// sources are ordered by descending prefix length, so that the first match is the longest.
	sources []source
}

// source is a source prefix of a customer's contract.
type source struct {
	prefix      netip.Prefix
	customer    registrar.CustomerName
	cut         bool
	cutRevision registrar.Revision
}

// New builds the route of a service. Tables that previous already holds are reused; previous may be nil.
func New(v registrar.ServiceView, revision registrar.Revision, previous *Route, depth balancer.Depth) *Route {
	r := &Route{Service: v.Service, Revision: revision, upstreams: map[registrar.UpstreamID]registrar.UpstreamView{}}
	var tables *balancer.Balancer
	if previous != nil {
		tables = previous.Balancer
	}
	r.Balancer = balancer.New(v, tables, depth)
	for _, u := range v.Upstreams {
		r.upstreams[u.ID] = u
	}
	for _, c := range v.Contracts {
		for _, p := range c.SourcePrefixes {
			r.sources = append(r.sources, source{prefix: p, customer: c.Customer, cut: c.Cut, cutRevision: c.CutRevision})
		}
	}
	slices.SortStableFunc(r.sources, func(a, b source) int { return b.prefix.Bits() - a.prefix.Bits() })
	return r
}

// Customer returns the customer that a source address belongs to and whether the customer is cut off. ok is false if no
// contract covers the address.
func (r *Route) Customer(addr netip.Addr) (name registrar.CustomerName, cut, ok bool) {
	for i := range r.sources {
		if s := &r.sources[i]; s.prefix.Contains(addr) {
			return s.customer, s.cut, true
		}
	}
	return "", false, false
}

// CutCustomers calls yield for each source prefix of a customer that is cut off, with the revision of the cut.
func (r *Route) CutCustomers(yield func(name registrar.CustomerName, cutRevision registrar.Revision)) {
	for i := range r.sources {
		if s := &r.sources[i]; s.cut {
			yield(s.customer, s.cutRevision)
		}
	}
}

// Upstream returns the upstream with the given id.
func (r *Route) Upstream(id registrar.UpstreamID) (registrar.UpstreamView, bool) {
	u, ok := r.upstreams[id]
	return u, ok
}

// UpstreamNamed returns the upstream with the given name.
func (r *Route) UpstreamNamed(name registrar.UpstreamName) (registrar.UpstreamView, bool) {
	for _, u := range r.upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return registrar.UpstreamView{}, false
}
