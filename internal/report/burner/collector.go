package burner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// slotTime is the resolution of what a control instance keeps.
	slotTime = 30 * time.Second
	// history is the longest window.
	history   = 6 * time.Hour
	slotCount = int64(history/slotTime) + 1
)

// slot is the time since the Unix epoch in units of slotTime.
type slot int64

func slotOf(t time.Time) slot { return slot(t.Unix() / int64(slotTime/time.Second)) }

// series holds the counts of one service and customer for the last history. Its size is about 11 KB.
type series struct {
	slots [slotCount]struct {
		at                     slot
		requests, failed, slow uint32
	}
}

func (s *series) add(at slot, c RequestCounts) {
	e := &s.slots[int64(at)%slotCount]
	if e.at != at {
		e.at, e.requests, e.failed, e.slow = at, 0, 0, 0
	}
	e.requests += uint32(c.Requests)
	e.failed += uint32(c.Failed)
	e.slow += uint32(c.Slow)
}

// sum adds up the slots after one time and up to another.
func (s *series) sum(after, until slot) RequestCounts {
	var c RequestCounts
	for at := max(after+1, until-slot(slotCount)+1); at <= until; at++ {
		if e := &s.slots[int64(at)%slotCount]; e.at == at {
			c.add(RequestCounts{uint64(e.requests), uint64(e.failed), uint64(e.slow)})
		}
	}
	return c
}

type lineKey struct {
	service  registrar.ServiceName
	customer registrar.CustomerName
}

// agent is what a control instance knows about the batches of one agent.
type agent struct {
	incarnation        registrar.Incarnation
	number             uint64
	startedAt          time.Time
	since, lastBatchAt time.Time
	// stopped is set after a planned stop.
	stopped bool
}

type collectorShard struct {
	mu     sync.Mutex
	lines  map[lineKey]*series
	agents map[registrar.MachineName]*agent
}

// Collector adds up batches at one control instance. The exported fields are set before first use.
type Collector struct {
	Instance   registrar.MachineName
	Objectives []Objective

	// shards are selected by service name.
	shards [shardCount]collectorShard
}

func (c *Collector) shard(name registrar.ServiceName) *collectorShard {
	return &c.shards[xxhash.Sum64String(string(name))%shardCount]
}

// objective returns the objective of a service and customer.
func (c *Collector) objective(k lineKey) (Objective, bool) {
	var found Objective
	ok := false
	for _, o := range c.Objectives {
		if o.Service == k.service && (o.Customer == k.customer || o.Customer == "" && !ok) {
			found, ok = o, true
		}
	}
	found.Customer = k.customer
	return found, ok
}

// Record adds a batch of an agent. A batch that was recorded before is ignored.
func (c *Collector) Record(now time.Time, m registrar.Machine, service registrar.ServiceName, b *Batch) {
	s := c.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agents == nil {
		s.agents, s.lines = map[registrar.MachineName]*agent{}, map[lineKey]*series{}
	}
	a := s.agents[m.Name]
	if a == nil {
		a = &agent{since: now}
		s.agents[m.Name] = a
	}
	if a.incarnation == m.Incarnation && b.Number <= a.number {
		return
	}
	a.incarnation, a.number, a.startedAt, a.lastBatchAt = m.Incarnation, b.Number, b.StartedAt, now
	a.stopped = b.Final
	for _, counts := range b.Customers {
		for _, k := range []lineKey{{service, counts.Customer}, {service, ""}} {
			if o, ok := c.objective(k); ok {
				s.line(k).add(slotOf(now), o.reduce(counts))
			}
		}
	}
}

func (s *collectorShard) line(k lineKey) *series {
	if s.lines[k] == nil {
		s.lines[k] = &series{}
	}
	return s.lines[k]
}

// Report returns what this instance has collected. expected are the agents that should send batches, by service.
func (c *Collector) Report(now time.Time, expected map[registrar.ServiceName][]registrar.MachineName) Report {
	r := Report{At: now, Instances: []registrar.MachineName{c.Instance}}
	for service, machines := range expected {
		if _, ok := c.objective(lineKey{service, ""}); !ok {
			r.WithoutObjective = append(r.WithoutObjective, service)
			continue
		}
		c.reportService(now, service, machines, &r)
	}
	slices.Sort(r.WithoutObjective)
	r.sort()
	return r
}

func (c *Collector) reportService(now time.Time, service registrar.ServiceName, machines []registrar.MachineName, r *Report) {
	s := c.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range machines {
		data := AgentData{Machine: name, Service: service}
		if a := s.agents[name]; a != nil {
			data.StartedAt, data.Since, data.LastBatchAt, data.Stopped = a.startedAt, a.since, a.lastBatchAt, a.stopped
		}
		r.Agents = append(r.Agents, data)
	}
	keys := []lineKey{{service, ""}}
	for k := range s.lines {
		if k.service == service && k.customer != "" {
			keys = append(keys, k)
		}
	}
	for _, k := range keys {
		o, _ := c.objective(k)
		r.Lines = append(r.Lines, newLine(now, o, s.lines[k]))
	}
}

// newLine sums a series up over all windows.
func newLine(now time.Time, o Objective, s *series) Line {
	l := Line{
		Service: o.Service, Customer: o.Customer, Answered: o.Answered, Fast: o.Fast, FastWithin: o.FastWithin.String(),
	}
	if s == nil {
		s = &series{}
	}
	until := slotOf(now)
	for i, rule := range rules {
		l.Windows[i].Short = s.sum(until-slot(rule.short/slotTime), until)
		l.Windows[i].Long = s.sum(until-slot(rule.long/slotTime), until)
	}
	for p := range plotPoints {
		end := until - slot(plotPoints-1-p)*plotSlots
		l.History[p] = s.sum(end-plotSlots, end)
	}
	return l
}

func (r *Report) sort() {
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	slices.SortFunc(r.Agents, func(a, b AgentData) int { return cmp.Compare(a.Machine, b.Machine) })
}
