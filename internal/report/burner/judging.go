package burner

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// objectiveFor returns the objective of a service and customer, which is that of the whole service unless the customer has its
// own.
func objectiveFor(all []Objective, k lineKey) (Objective, bool) {
	var found Objective
	ok := false
	for _, o := range all {
		if o.Service == k.service && (o.Customer == k.customer || o.Customer == "" && !ok) {
			found, ok = o, true
		}
	}
	found.Customer = k.customer
	return found, ok
}

// SetObjectives replaces the objectives. Slow requests are counted by the fast_within in force at the time, so a change of
// fast_within drops the earlier counts, and reports say since when a line is judged.
func (c *Collector) SetObjectives(now time.Time, next []Objective) {
	c.objectiveMu.Lock()
	defer c.objectiveMu.Unlock()
	old := c.objectives
	c.objectives = next
	for i := range c.lines {
		c.lines[i].replaceObjectives(now, old, next)
	}
	for _, o := range next {
		k := lineKey{o.Service, ""}
		if _, ok := objectiveFor(old, lineKey{o.Service, o.Customer}); ok {
			continue
		}
		s := c.lineShard(o.Service)
		s.mu.Lock()
		s.setJudgedSince(k, now)
		s.mu.Unlock()
	}
}

// replaceObjectives drops the lines whose slow requests were counted by a different fast_within, and those that no longer have an
// objective.
func (s *lineShard) replaceObjectives(now time.Time, old, next []Objective) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.lines {
		before, _ := objectiveFor(old, k)
		after, ok := objectiveFor(next, k)
		if !ok || before.FastWithin != after.FastWithin {
			delete(s.lines, k)
			s.setJudgedSince(k, now)
		}
	}
}

func (s *lineShard) setJudgedSince(k lineKey, at time.Time) {
	if s.since == nil {
		s.since = map[lineKey]time.Time{}
	}
	s.since[k] = at
}

// judgedSince returns the time of the last change of objective that dropped the earlier counts of a line, or the zero time.
func (s *lineShard) judgedSince(service registrar.ServiceName, customer registrar.CustomerName) time.Time {
	at := s.since[lineKey{service, ""}]
	if own := s.since[lineKey{service, customer}]; own.After(at) {
		return own
	}
	return at
}
