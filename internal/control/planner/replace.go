package planner

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/store/compressor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Document is a configuration of routes as the operator wrote it, compressed. Its content is opaque to the ledger.
type Document []byte

// NewDocument compresses a text.
func NewDocument(text []byte) Document { return compressor.Compress(text) }

// Text returns the text that the document was made of.
func (d Document) Text() ([]byte, error) { return compressor.Decompress(d) }

// Replacement is a whole configuration of routes under an operator's version.
type Replacement struct {
	registrar.Release
	// Zones are added if the configuration lacks them.
	Zones []registrar.Zone `json:"zones,omitempty"`
	// Services are all stream services. One that is left out goes once it has no upstreams.
	Services []registrar.Service `json:"services"`
	// Routes are all routes.
	Routes []registrar.Route `json:"routes"`
	// Document is returned to operators who read the configuration.
	Document Document `json:"document,omitempty"`
}

// Check returns registrar.ErrInvalid if the replacement is not acceptable, whatever the configuration holds.
func (r Replacement) Check() error {
	if r.Version == 0 {
		return eris.Wrap(registrar.ErrInvalid, "version must be at least 1")
	}
	services := map[registrar.ServiceName]bool{}
	for _, s := range r.Services {
		if s.Name == "" || services[s.Name] {
			return eris.Wrapf(registrar.ErrInvalid, "service %q has no name or is given twice", s.Name)
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

// replace puts a configuration of routes into force unless a version at least as high already is. A version that is resent, or
// has been overtaken, succeeds without an effect, since its operator need not know.
func (l *Ledger) replace(r *Replacement) Result {
	unchanged := Result{Revision: l.World.Revision()}
	if r == nil {
		unchanged.Failure = badField("replacement", "", "one replacement")
		return unchanged
	}
	if err := r.Check(); err != nil {
		unchanged.Failure = invalid("%v", err)
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

// replacementChanges returns what differs between the configuration and a replacement, so that nodes get no more than that.
func (l *Ledger) replacementChanges(r *Replacement) []registrar.Change {
	var changes []registrar.Change
	for _, z := range r.Zones {
		if _, ok := l.World.Zone(z.Name); !ok {
			changes = append(changes, registrar.Change{Kind: registrar.PutZone, Zone: &z})
		}
	}
	named := map[registrar.ServiceName]bool{}
	for _, s := range r.Services {
		named[s.Name] = true
		s.Transport = registrar.TransportStream
		old, ok := l.World.Service(s.Name)
		if !ok || old.Transport == registrar.TransportStream && old.ColdRate != s.ColdRate {
			changes = append(changes, registrar.Change{Kind: registrar.PutService, Service: &s})
		}
	}
	changes = append(changes, l.routeChanges(r.Routes)...)
	changes = append(changes, l.droppedServices(named)...)
	return append(changes, registrar.Change{Kind: registrar.PutRelease, Release: &r.Release})
}

func (l *Ledger) routeChanges(routes []registrar.Route) []registrar.Change {
	var changes []registrar.Change
	kept := map[netip.AddrPort]bool{}
	for _, route := range routes {
		kept[route.Address] = true
		if old, ok := l.World.Route(route.Address); !ok || !old.Equal(route) {
			changes = append(changes, registrar.Change{Kind: registrar.PutRoute, Route: &route})
		}
	}
	for _, old := range l.World.Routes() {
		if !kept[old.Address] {
			changes = append(changes, registrar.Change{Kind: registrar.DeleteRoute, Route: &registrar.Route{Address: old.Address}})
		}
	}
	return changes
}

// droppedServices deletes the stream services that are not named any more. One that still has upstreams stays without routes.
func (l *Ledger) droppedServices(named map[registrar.ServiceName]bool) []registrar.Change {
	inUse := map[registrar.ServiceName]bool{}
	for _, u := range l.World.Upstreams() {
		inUse[u.Service] = true
	}
	var changes []registrar.Change
	for _, s := range l.World.Services() {
		if s.Transport == registrar.TransportStream && !named[s.Name] && !inUse[s.Name] {
			changes = append(changes, registrar.Change{Kind: registrar.DeleteService, Service: &registrar.Service{Name: s.Name}})
		}
	}
	return changes
}

// applyIntent carries out an intent whose operator has confirmed it in advance. An intent to withdraw or return a zone that is
// already so succeeds without an effect. One that was proposed before another operator switched the zone is stale: it may be a
// copy of an order that has been answered long ago.
func (l *Ledger) applyIntent(c Command) Result {
	unchanged := Result{Revision: l.World.Revision()}
	in := c.Intent
	if in == nil || in.Zone == nil || in.Kind != WithdrawZone && in.Kind != ReturnZone {
		unchanged.Failure = badField("intent", "", "an intent to withdraw or return a zone")
		return unchanged
	}
	z, ok := l.World.Zone(in.Zone.Name)
	switch {
	case !ok:
		unchanged.Failure = notFound("zone", string(in.Zone.Name))
		return unchanged
	case z.Withdrawn == (in.Kind == WithdrawZone):
		return unchanged
	case z.ChangedAt > c.Base:
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

// documentInForce returns the newest configuration of routes as its operator wrote it.
func (l *Ledger) documentInForce() Document {
	l.documentMu.RLock()
	defer l.documentMu.RUnlock()
	return l.document
}

// compressedMark begins a compressed log entry. A plain one begins with a brace.
const compressedMark = 1

// EncodeCommand returns a command as a log entry. A configuration of several hundred routes is compressed, because logs and
// snapshots of many of them would fill the disks of small machines.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	if c.Replacement == nil {
		return b, nil
	}
	return append([]byte{compressedMark}, compressor.Compress(b)...), nil
}

func decodeCommand(entry []byte) (c Command, err error) {
	if len(entry) > 0 && entry[0] == compressedMark {
		if entry, err = compressor.Decompress(entry[1:]); err != nil {
			return c, err
		}
	}
	return c, json.Unmarshal(entry, &c)
}
