package planner

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/store/compressor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Document is the compressed text of a configuration of routes as its operator wrote it. The ledger does not interpret it.
type Document []byte

// NewDocument compresses a text.
func NewDocument(text []byte) Document { return compressor.Compress(text) }

// Text returns the uncompressed text.
func (d Document) Text() ([]byte, error) { return compressor.Decompress(d) }

// Replacement is a complete configuration of routes, with the version that its operator gave it.
type Replacement struct {
	registrar.Release
	// Zones lists zones to add unless they exist.
	Zones []registrar.Zone `json:"zones,omitempty"`
	// Services lists all stream services. A service that is not listed is removed by the first replacement for which it has no
	// upstreams.
	Services []registrar.Service `json:"services"`
	// Routes lists all routes.
	Routes []registrar.Route `json:"routes"`
	// Document is returned to operators who read the configuration.
	Document Document `json:"document,omitempty"`
}

// Check returns registrar.ErrInvalid if the replacement is invalid regardless of the present configuration.
func (r Replacement) Check() error {
	if r.Version == 0 {
		return eris.Wrap(registrar.ErrInvalid, "version must be at least 1")
	}
	services := map[registrar.ServiceName]bool{}
	for _, s := range r.Services {
		if s.Name == "" || services[s.Name] {
			return eris.Wrapf(registrar.ErrInvalid, "service %q has no name or is given twice", s.Name)
		}
		if s.ColdRate < 0 {
			return eris.Wrapf(registrar.ErrInvalid, "service %q: cold rate %g, allowed are 0 and more", s.Name, s.ColdRate)
		}
		services[s.Name] = true
	}
	addresses := map[netip.AddrPort]bool{}
	for _, route := range r.Routes {
		if err := registrar.CheckRoute(route); err != nil {
			return err
		}
		if addresses[route.Address] {
			return eris.Wrapf(registrar.ErrInvalid, "route %q: address %s belongs to another route", route.Name, route.Address)
		}
		addresses[route.Address] = true
		for _, t := range route.Targets {
			if !services[t.Service] {
				return eris.Wrapf(registrar.ErrInvalid, "route %q: service %q does not exist", route.Name, t.Service)
			}
		}
	}
	return nil
}

// replace applies a configuration of routes unless the current version is at least as high. A resent or superseded version
// succeeds without an effect, so that an operator can resend a version without checking which one is current.
func (l *Ledger) replace(r *Replacement) Result {
	unchanged := Result{Revision: l.World.Revision()}
	if r == nil {
		unchanged.Failure = invalidField("replacement", "", "one replacement")
		return unchanged
	}
	if err := r.Check(); err != nil {
		unchanged.Failure = invalidRequest("%v", err)
		return unchanged
	}
	if r.Version <= l.World.Release().Version {
		return unchanged
	}
	result := l.commit(l.replacementChanges(r))
	if result.Failure == nil {
		l.setDocument(r.Document)
	}
	return result
}

// replacementChanges returns the differences between the configuration and a replacement, so that nodes receive only those.
func (l *Ledger) replacementChanges(r *Replacement) []registrar.Change {
	var changes []registrar.Change
	for _, z := range r.Zones {
		if _, ok := l.World.Zone(z.Name); !ok {
			changes = append(changes, registrar.Change{Kind: registrar.PutZone, Zone: &z})
		}
	}
	namedServices := map[registrar.ServiceName]bool{}
	for _, s := range r.Services {
		namedServices[s.Name] = true
		s.Transport = registrar.TransportStream
		old, ok := l.World.Service(s.Name)
		if !ok || old.Transport == registrar.TransportStream && (old.ColdRate != s.ColdRate || old.MaxFlows != s.MaxFlows) {
			changes = append(changes, registrar.Change{Kind: registrar.PutService, Service: &s})
		}
	}
	changes = append(changes, l.routeChanges(r.Routes)...)
	changes = append(changes, l.serviceDeletions(namedServices)...)
	// The publisher keeps the changes; a pointer into r would keep all of its routes.
	release := r.Release
	return append(changes, registrar.Change{Kind: registrar.PutRelease, Release: &release})
}

// routeChanges returns the changes that turn the configured routes into the given ones.
func (l *Ledger) routeChanges(routes []registrar.Route) []registrar.Change {
	var changes []registrar.Change
	keptAddresses := map[netip.AddrPort]bool{}
	for _, route := range routes {
		keptAddresses[route.Address] = true
		if old, ok := l.World.Route(route.Address); !ok || !old.Equal(route) {
			changes = append(changes, registrar.Change{Kind: registrar.PutRoute, Route: &route})
		}
	}
	for _, old := range l.World.Routes() {
		if !keptAddresses[old.Address] {
			changes = append(changes, registrar.Change{Kind: registrar.DeleteRoute, Route: &registrar.Route{Address: old.Address}})
		}
	}
	return changes
}

// serviceDeletions returns the changes that delete the stream services not in namedServices. A service that still has upstreams
// is kept, without routes.
func (l *Ledger) serviceDeletions(namedServices map[registrar.ServiceName]bool) []registrar.Change {
	hasUpstreams := map[registrar.ServiceName]bool{}
	for _, u := range l.World.Upstreams() {
		hasUpstreams[u.Service] = true
	}
	var changes []registrar.Change
	for _, s := range l.World.Services() {
		if s.Transport == registrar.TransportStream && !namedServices[s.Name] && !hasUpstreams[s.Name] {
			changes = append(changes, registrar.Change{Kind: registrar.DeleteService, Service: &registrar.Service{Name: s.Name}})
		}
	}
	return changes
}

// applyIntent applies an intent without a separate confirmation. An intent to withdraw a withdrawn zone, or to return a zone that
// is not withdrawn, succeeds without an effect. An intent that was proposed before another operator withdrew or returned the zone
// is stale, because it may be a delayed copy of a request that was answered long ago.
func (l *Ledger) applyIntent(c Command) Result {
	unchanged := Result{Revision: l.World.Revision()}
	in := c.Intent
	if in == nil || in.Zone == nil || in.Kind != WithdrawZone && in.Kind != ReturnZone {
		unchanged.Failure = invalidField("intent", "", "an intent to withdraw or return a zone")
		return unchanged
	}
	z, ok := l.World.Zone(in.Zone.Name)
	switch {
	case !ok:
		unchanged.Failure = notFound("zone", string(in.Zone.Name))
		return unchanged
	case z.Withdrawn == (in.Kind == WithdrawZone):
		return unchanged
	case z.ChangeRevision > c.Base:
		unchanged.Failure = &Failure{Code: FailureStale, Field: "base_revision", Message: "the zone has been switched since"}
		return unchanged
	}
	d, f := expand(l.World, *in)
	if f != nil {
		unchanged.Failure = f
		return unchanged
	}
	return l.commit(d.changes)
}

func (l *Ledger) setDocument(d Document) {
	l.documentMu.Lock()
	defer l.documentMu.Unlock()
	l.document = d
}

// currentDocument returns the current configuration of routes as its operator wrote it.
func (l *Ledger) currentDocument() Document {
	l.documentMu.RLock()
	defer l.documentMu.RUnlock()
	return l.document
}

// compressedPrefix is the first byte of a compressed log entry. An uncompressed entry starts with a brace.
const compressedPrefix = 1

// EncodeCommand encodes a command as a log entry. Configurations of routes are compressed, because logs and snapshots with many
// configurations of several hundred routes would fill the disks of small machines.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	if c.Replacement == nil {
		return b, nil
	}
	return append([]byte{compressedPrefix}, compressor.Compress(b)...), nil
}

func decodeCommand(entry []byte) (c Command, err error) {
	if len(entry) > 0 && entry[0] == compressedPrefix {
		if entry, err = compressor.Decompress(entry[1:]); err != nil {
			return c, err
		}
	}
	return c, json.Unmarshal(entry, &c)
}
