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
	slotCount = slot(history/slotTime) + 1
)

// slot is the time since the Unix epoch in units of slotTime.
type slot int32

func slotOf(t time.Time) slot { return slot(t.Unix() / int64(slotTime/time.Second)) }

// series holds the counts of one service and customer for the last history. Its size is 11.5 KB.
type series struct {
	slots [slotCount]struct {
		at                     slot
		requests, failed, slow uint32
	}
}

func (s *series) add(at slot, c RequestCounts) {
	e := &s.slots[at%slotCount]
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
	for at := max(after+1, until-slotCount+1); at <= until; at++ {
		if e := &s.slots[at%slotCount]; e.at == at {
			c.add(RequestCounts{uint64(e.requests), uint64(e.failed), uint64(e.slow)})
		}
	}
	return c
}

// node is what a control instance knows about the batches of one agent or entry.
type node struct {
	incarnation        registrar.Incarnation
	number             uint64
	startedAt          time.Time
	since, lastBatchAt time.Time
	// stopped is set after a planned stop.
	stopped bool
}

type lineShard struct {
	mu    sync.Mutex
	lines map[lineKey]*series
	// since is when the objective of a line changed; that of the whole service holds for all its lines.
	since map[lineKey]time.Time
}

type nodeShard struct {
	mu    sync.Mutex
	nodes map[registrar.MachineName]*node
}

// Collector adds up batches at one control instance. The exported fields are set before first use.
type Collector struct {
	Instance registrar.MachineName

	// objectiveMu is held for reading while a batch is recorded, so that all of its counts are reduced by the same objectives.
	objectiveMu sync.RWMutex
	objectives  []Objective
	// lines are selected by service name, nodes by machine name.
	lines [shardCount]lineShard
	nodes [shardCount]nodeShard
}

func (c *Collector) lineShard(name registrar.ServiceName) *lineShard {
	return &c.lines[xxhash.Sum64String(string(name))%shardCount]
}

func (c *Collector) nodeShard(name registrar.MachineName) *nodeShard {
	return &c.nodes[xxhash.Sum64String(string(name))%shardCount]
}

// Record adds a batch of a node. A batch that was recorded before is ignored.
func (c *Collector) Record(now time.Time, m registrar.Machine, b *Batch) {
	if !c.nodeShard(m.Name).accept(now, m, b) {
		return
	}
	c.objectiveMu.RLock()
	defer c.objectiveMu.RUnlock()
	for _, counts := range b.Customers {
		s := c.lineShard(counts.Service)
		s.mu.Lock()
		for _, k := range []lineKey{{counts.Service, counts.Customer}, {counts.Service, ""}} {
			if o, ok := objectiveFor(c.objectives, k); ok {
				s.line(k).add(slotOf(now), o.reduce(counts))
			}
		}
		s.mu.Unlock()
	}
}

// accept notes a batch. It returns false if the batch was recorded before.
func (s *nodeShard) accept(now time.Time, m registrar.Machine, b *Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		s.nodes = map[registrar.MachineName]*node{}
	}
	n := s.nodes[m.Name]
	if n == nil {
		n = &node{since: now}
		s.nodes[m.Name] = n
	}
	if n.incarnation == m.Incarnation && b.Number <= n.number {
		return false
	}
	n.incarnation, n.number, n.startedAt, n.lastBatchAt, n.stopped = m.Incarnation, b.Number, b.StartedAt, now, b.Final
	return true
}

func (s *lineShard) line(k lineKey) *series {
	if s.lines == nil {
		s.lines = map[lineKey]*series{}
	}
	if s.lines[k] == nil {
		s.lines[k] = &series{}
	}
	return s.lines[k]
}

// Expected are the services and the nodes that should send batches.
type Expected struct {
	// Agents are the agents of each service.
	Agents map[registrar.ServiceName][]registrar.MachineName
	// Entries count for all services.
	Entries []registrar.MachineName
}

// Report returns what this instance has collected.
func (c *Collector) Report(now time.Time, e Expected) Report {
	c.objectiveMu.RLock()
	defer c.objectiveMu.RUnlock()
	r := Report{At: now, Instances: []registrar.MachineName{c.Instance}}
	for _, name := range e.Entries {
		r.Nodes = append(r.Nodes, c.nodeData(name, ""))
	}
	for service, machines := range e.Agents {
		if _, ok := objectiveFor(c.objectives, lineKey{service, ""}); !ok {
			r.WithoutObjective = append(r.WithoutObjective, service)
			continue
		}
		for _, name := range machines {
			r.Nodes = append(r.Nodes, c.nodeData(name, service))
		}
		r.Lines = append(r.Lines, c.linesOf(now, service)...)
	}
	slices.Sort(r.WithoutObjective)
	r.sort()
	return r
}

func (c *Collector) nodeData(name registrar.MachineName, service registrar.ServiceName) NodeData {
	s := c.nodeShard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := NodeData{Machine: name, Service: service}
	if n := s.nodes[name]; n != nil {
		d.StartedAt, d.Since, d.LastBatchAt, d.Stopped = n.startedAt, n.since, n.lastBatchAt, n.stopped
	}
	return d
}

// linesOf returns the line of a service and one for each customer that has called it.
func (c *Collector) linesOf(now time.Time, service registrar.ServiceName) []Line {
	s := c.lineShard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []lineKey{{service, ""}}
	for k := range s.lines {
		if k.service == service && k.customer != "" {
			keys = append(keys, k)
		}
	}
	var all []Line
	for _, k := range keys {
		o, _ := objectiveFor(c.objectives, k)
		l := newLine(now, o, s.lines[k])
		l.Since = s.judgedSince(k.service, k.customer)
		all = append(all, l)
	}
	return all
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
	slices.SortFunc(r.Nodes, func(a, b NodeData) int { return cmp.Compare(a.Machine, b.Machine) })
}
