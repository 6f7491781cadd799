package registrar

// changedObjects holds the names of the objects that an update changes, so that one pass over the configuration finds the
// affected services.
type changedObjects struct {
	services  map[ServiceName]bool
	zones     map[ZoneName]bool
	machines  map[MachineName]bool
	customers map[CustomerName]bool
	// allServices is set by deletions of upstreams and contracts, after which the service of the object is unknown.
	allServices bool
}

// collectChanged returns the names of the objects that an update changes.
func collectChanged(changes []Change) changedObjects {
	changed := changedObjects{
		services: map[ServiceName]bool{}, zones: map[ZoneName]bool{}, machines: map[MachineName]bool{},
		customers: map[CustomerName]bool{},
	}
	for _, c := range changes {
		switch {
		case c.Kind == DeleteContract || c.Kind == DeleteUpstream:
			changed.allServices = true
		case c.Service != nil:
			changed.services[c.Service.Name] = true
		case c.Trim != nil:
			changed.services[c.Trim.Service] = true
		case c.Contract != nil:
			changed.services[c.Contract.Service] = true
		case c.Upstream != nil:
			changed.services[c.Upstream.Service] = true
		case c.Customer != nil:
			changed.customers[c.Customer.Name] = true
		case c.Zone != nil:
			changed.zones[c.Zone.Name] = true
		case c.Machine != nil:
			changed.machines[c.Machine.Name] = true
		}
	}
	return changed
}

// recordChangedServices records the revision of an update for each service whose View it changes.
func (w *World) recordChangedServices(revision Revision, changes []Change) {
	changed := collectChanged(changes)
	for i := range w.services {
		s := &w.services[i]
		for name := range s.services {
			if changed.allServices || changed.services[name] {
				s.changeRevisions[name] = revision
			}
		}
		for _, u := range s.upstreams {
			if changed.zones[u.Zone] || changed.machines[u.Machine] {
				s.changeRevisions[u.Service] = revision
			}
		}
		for _, c := range s.contracts {
			if changed.customers[c.Customer] {
				s.changeRevisions[c.Service] = revision
			}
		}
	}
}
