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
	// slotDuration is the time resolution of the counts that a control instance keeps.
	slotDuration = 30 * time.Second
	// historyDuration is how long counts are kept: as long as the longest window of the alert rules.
	historyDuration = 6 * time.Hour
	slotCount       = slot(historyDuration/slotDuration) + 1
)

// slot is the time since the Unix epoch in units of slotDuration.
type slot int32

func slotOf(t time.Time) slot { return slot(t.Unix() / int64(slotDuration/time.Second)) }

// series holds the counts of one service and customer for the last historyDuration. Its size is 11.5 KB.
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

// sum returns the sum of the counts in the slots after the first argument, up to and including until.
func (s *series) sum(after, until slot) RequestCounts {
	var c RequestCounts
	for at := max(after+1, until-slotCount+1); at <= until; at++ {
		if e := &s.slots[at%slotCount]; e.at == at {
			c.add(RequestCounts{uint64(e.requests), uint64(e.failed), uint64(e.slow)})
		}
	}
	return c
}

// nodeStart records which batches of one start of a node a control instance has received.
type nodeStart struct {
	StartData
	// Doubtful holds batches that may already be counted by another instance, because they were sent there first.
	Doubtful []doubtfulBatch
}

// doubtfulBatch is a batch that another instance may already have counted. A merged report counts it only if no other instance
// has a batch with its number.
type doubtfulBatch struct {
	Number uint64
	At     time.Time
	Counts []CustomerCounts
}

func (s nodeStart) clone() nodeStart {
	s.Batches = slices.Clone(s.Batches)
	s.Doubtful = slices.Clone(s.Doubtful)
	return s
}

func (s *nodeStart) hasDoubtful(number uint64) bool {
	return slices.ContainsFunc(s.Doubtful, func(d doubtfulBatch) bool { return d.Number == number })
}

type lineShard struct {
	mu    sync.Mutex
	lines map[lineKey]*series
	// since holds, for each line, when its objective last changed. The time under the key of a whole service applies to all lines
	// of the service.
	since map[lineKey]time.Time
	// forwarding holds the counts of entries.
	forwarding map[registrar.ServiceName]*forwardSeries
}

type nodeShard struct {
	mu sync.Mutex
	// nodes holds the starts of each node, in the order of the last batch received.
	nodes map[registrar.MachineName][]nodeStart
}

// Collector adds up batches at one control instance. The exported fields are set before first use.
type Collector struct {
	Instance registrar.MachineName

	// objectiveMu is held for reading while a batch is recorded, so that all its counts are judged by the same objectives.
	objectiveMu sync.RWMutex
	objectives  []Objective
	// The shard of a line is selected by service name, that of a node by machine name.
	lines [shardCount]lineShard
	nodes [shardCount]nodeShard
}

func (c *Collector) lineShard(name registrar.ServiceName) *lineShard {
	return &c.lines[xxhash.Sum64String(string(name))%shardCount]
}

func (c *Collector) nodeShard(name registrar.MachineName) *nodeShard {
	return &c.nodes[xxhash.Sum64String(string(name))%shardCount]
}

// Record adds the counts of a batch. It ignores a batch that was recorded before and returns false.
func (c *Collector) Record(now time.Time, m registrar.Machine, b *Batch) bool {
	if !c.nodeShard(m.Name).recordBatch(now, m, b) {
		return false
	}
	c.objectiveMu.RLock()
	defer c.objectiveMu.RUnlock()
	for _, f := range b.Forwarded {
		s := c.lineShard(f.Service)
		s.mu.Lock()
		s.forwardSeriesOf(f.Service, nil).add(now, f)
		s.mu.Unlock()
	}
	if b.Resent {
		return true
	}
	for _, counts := range b.Customers {
		s := c.lineShard(counts.Service)
		s.mu.Lock()
		for _, k := range lineKeysOf(counts) {
			if o, ok := objectiveFor(c.objectives, k); ok {
				s.seriesOf(k).add(slotOf(now), o.requestCounts(counts))
			}
		}
		s.mu.Unlock()
	}
	return true
}

// lineKeysOf returns the keys of the lines that the counts of a customer belong to.
func lineKeysOf(c CustomerCounts) []lineKey {
	return []lineKey{{c.Service, c.Customer}, {c.Service, ""}}
}

// recordBatch records that a batch has arrived. It returns false if the batch was recorded before.
func (s *nodeShard) recordBatch(now time.Time, m registrar.Machine, b *Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		s.nodes = map[registrar.MachineName][]nodeStart{}
	}
	starts := s.nodes[m.Name]
	var n nodeStart
	if i := slices.IndexFunc(starts, func(v nodeStart) bool { return v.Incarnation == m.Incarnation }); i >= 0 {
		n = starts[i]
		if n.hasBatch(b.Number) || n.hasDoubtful(b.Number) {
			return false
		}
		starts = slices.Delete(starts, i, i+1)
	}
	n.Incarnation, n.StartedAt, n.Stopped = m.Incarnation, b.StartedAt, n.Stopped || b.Final
	if b.Resent {
		n.Doubtful = append(n.Doubtful, doubtfulBatch{b.Number, now, b.Customers})
	} else {
		n.addBatch(b.Number, now)
	}
	n.Doubtful = slices.DeleteFunc(n.Doubtful, func(d doubtfulBatch) bool { return now.Sub(d.At) > historyDuration })
	starts = slices.DeleteFunc(starts, func(v nodeStart) bool { return now.Sub(v.lastReceivedAt()) > historyDuration })
	starts = starts[max(0, len(starts)+1-maxStarts):]
	s.nodes[m.Name] = append(starts, n)
	return true
}

func (s *nodeStart) lastReceivedAt() time.Time {
	at := s.lastBatchAt()
	for _, d := range s.Doubtful {
		if d.At.After(at) {
			at = d.At
		}
	}
	return at
}

// forwardSeriesOf returns the series of a service and creates it at the first call. If initial is not nil, it replaces the
// series.
func (s *lineShard) forwardSeriesOf(name registrar.ServiceName, initial *forwardSeries) *forwardSeries {
	if s.forwarding == nil {
		s.forwarding = map[registrar.ServiceName]*forwardSeries{}
	}
	if initial != nil {
		s.forwarding[name] = initial
	}
	if s.forwarding[name] == nil {
		s.forwarding[name] = &forwardSeries{}
	}
	return s.forwarding[name]
}

func (s *lineShard) seriesOf(k lineKey) *series {
	if s.lines == nil {
		s.lines = map[lineKey]*series{}
	}
	if s.lines[k] == nil {
		s.lines[k] = &series{}
	}
	return s.lines[k]
}

// Expected lists the services and the nodes that are expected to send batches.
type Expected struct {
	// Agents are the agents of each service.
	Agents map[registrar.ServiceName][]registrar.MachineName
	// Entries are the entries, which send batches for all services.
	Entries []registrar.MachineName
}

// Report returns the data that this instance has collected.
func (c *Collector) Report(now time.Time, e Expected) Report {
	c.objectiveMu.RLock()
	defer c.objectiveMu.RUnlock()
	r := Report{At: now, Instances: []registrar.MachineName{c.Instance}}
	for _, name := range e.Entries {
		c.addNode(&r, name, "")
	}
	for service, machines := range e.Agents {
		r.mergeForwarding(c.forwardCountsOf(now, service))
		if _, ok := objectiveFor(c.objectives, lineKey{service, ""}); !ok {
			r.WithoutObjective = append(r.WithoutObjective, service)
			continue
		}
		for _, name := range machines {
			c.addNode(&r, name, service)
		}
		r.Lines = append(r.Lines, c.serviceLines(now, service)...)
	}
	slices.Sort(r.WithoutObjective)
	r.sort()
	return r
}

// addNode adds the batches received from a node to a report. The caller holds objectiveMu.
func (c *Collector) addNode(r *Report, name registrar.MachineName, service registrar.ServiceName) {
	s := c.nodeShard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := NodeData{Machine: name, Service: service}
	for _, v := range s.nodes[name] {
		v = v.clone()
		if len(v.Batches) > 0 {
			n.mergeStart(v.StartData)
		}
		for _, d := range v.Doubtful {
			r.Doubtful = append(r.Doubtful, c.judgeDoubtful(name, v.StartData, d))
		}
	}
	r.Nodes = append(r.Nodes, n)
}

// judgeDoubtful converts a doubtful batch for a report, with its counts judged by the objectives.
func (c *Collector) judgeDoubtful(name registrar.MachineName, s StartData, d doubtfulBatch) Doubtful {
	all := Doubtful{Machine: name, StartData: s, Number: d.Number, At: d.At}
	all.Batches = []BatchRange{{d.Number, d.Number, d.At, d.At}}
	for _, counts := range d.Counts {
		for _, k := range lineKeysOf(counts) {
			if o, ok := objectiveFor(c.objectives, k); ok {
				all.Lines = append(all.Lines, DoubtfulAt{k.service, k.customer, o.requestCounts(counts)})
			}
		}
	}
	return all
}

func (c *Collector) forwardCountsOf(now time.Time, service registrar.ServiceName) []ForwardCounts {
	s := c.lineShard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarding[service] == nil {
		return nil
	}
	return []ForwardCounts{s.forwarding[service].sum(now, service)}
}

// serviceLines returns the line of a service and one for each customer that has called it.
func (c *Collector) serviceLines(now time.Time, service registrar.ServiceName) []Line {
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

// newLine returns a line with the sums of a series over all windows. A nil series has no counts.
func newLine(now time.Time, o Objective, s *series) Line {
	l := Line{
		Service: o.Service, Customer: o.Customer, Answered: o.Answered, Fast: o.Fast, FastWithin: o.FastWithin.String(),
	}
	if s == nil {
		s = &series{}
	}
	until := slotOf(now)
	for i, rule := range alertRules {
		l.Windows[i].Short = s.sum(until-slot(rule.shortWindow/slotDuration), until)
		l.Windows[i].Long = s.sum(until-slot(rule.longWindow/slotDuration), until)
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
