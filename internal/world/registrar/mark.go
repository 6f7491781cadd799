package registrar

// marks collects what the changes of one update touch, so that one pass over the configuration finds the services.
type marks struct {
	services  map[ServiceName]bool
	zones     map[ZoneName]bool
	machines  map[MachineName]bool
	customers map[CustomerName]bool
	// all is set by deletions, after which the service of the object is not known any more.
	all bool
}

func collectMarks(changes []Change) marks {
	m := marks{
		services: map[ServiceName]bool{}, zones: map[ZoneName]bool{}, machines: map[MachineName]bool{},
		customers: map[CustomerName]bool{},
	}
	for _, c := range changes {
		switch {
		case c.Kind == DeleteContract || c.Kind == DeleteUpstream:
			m.all = true
		case c.Service != nil:
			m.services[c.Service.Name] = true
		case c.Trim != nil:
			m.services[c.Trim.Service] = true
		case c.Contract != nil:
			m.services[c.Contract.Service] = true
		case c.Upstream != nil:
			m.services[c.Upstream.Service] = true
		case c.Customer != nil:
			m.customers[c.Customer.Name] = true
		case c.Zone != nil:
			m.zones[c.Zone.Name] = true
		case c.Machine != nil:
			m.machines[c.Machine.Name] = true
		}
	}
	return m
}

// markChanged records which services an update has touched.
func (w *World) markChanged(at Revision, changes []Change) {
	m := collectMarks(changes)
	for i := range w.services {
		s := &w.services[i]
		for name := range s.services {
			if m.all || m.services[name] {
				s.changedAt[name] = at
			}
		}
		for _, u := range s.upstreams {
			if m.zones[u.Zone] || m.machines[u.Machine] {
				s.changedAt[u.Service] = at
			}
		}
		for _, c := range s.contracts {
			if m.customers[c.Customer] {
				s.changedAt[c.Service] = at
			}
		}
	}
}
