package burner

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// State is a copy of the data that a control instance has collected. It is stored as JSON and restored after a restart.
type State struct {
	Objectives []Objective
	Lines      []LineState
	Since      []SinceState
	Nodes      []NodeState
	Forwarding map[registrar.ServiceName]forwardSeries
}

// LineState holds the counts of one line by slot, without the slots that have no requests.
type LineState struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	Slots    []SlotState
}

// SlotState are the counts of one slot.
type SlotState struct {
	At                     slot
	Requests, Failed, Slow uint32
}

// SinceState is the time of the last change of objective of a line.
type SinceState struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	At       time.Time
}

// NodeState holds the starts of one node.
type NodeState struct {
	Machine registrar.MachineName
	Starts  []nodeStart
}

// State returns a copy of the collected data. It may or may not contain batches that are recorded during the call.
func (c *Collector) State() State {
	c.objectiveMu.RLock()
	defer c.objectiveMu.RUnlock()
	st := State{Objectives: slices.Clone(c.objectives), Forwarding: map[registrar.ServiceName]forwardSeries{}}
	for i := range c.lines {
		c.lines[i].copyTo(&st)
	}
	for i := range c.nodes {
		s := &c.nodes[i]
		s.mu.Lock()
		for name, starts := range s.nodes {
			n := NodeState{Machine: name}
			for _, v := range starts {
				n.Starts = append(n.Starts, v.clone())
			}
			st.Nodes = append(st.Nodes, n)
		}
		s.mu.Unlock()
	}
	return st
}

func (s *lineShard) copyTo(st *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, line := range s.lines {
		l := LineState{Service: k.service, Customer: k.customer}
		for _, e := range line.slots {
			if e.requests > 0 {
				l.Slots = append(l.Slots, SlotState{e.at, e.requests, e.failed, e.slow})
			}
		}
		st.Lines = append(st.Lines, l)
	}
	for k, at := range s.since {
		st.Since = append(st.Since, SinceState{k.service, k.customer, at})
	}
	for name, f := range s.forwarding {
		st.Forwarding[name] = *f
	}
}

// Restore loads collected data. It takes no locks, so it is called before the first batch arrives. It is called before
// SetObjectives, which drops the restored counts that the new objectives contradict.
func (c *Collector) Restore(st State) {
	c.objectives = st.Objectives
	for _, l := range st.Lines {
		line := c.lineShard(l.Service).seriesOf(lineKey{l.Service, l.Customer})
		for _, e := range l.Slots {
			line.add(e.At, RequestCounts{uint64(e.Requests), uint64(e.Failed), uint64(e.Slow)})
		}
	}
	for _, s := range st.Since {
		c.lineShard(s.Service).setJudgedSince(lineKey{s.Service, s.Customer}, s.At)
	}
	for name, f := range st.Forwarding {
		c.lineShard(name).forwardSeriesOf(name, &f)
	}
	for _, n := range st.Nodes {
		s := c.nodeShard(n.Machine)
		if s.nodes == nil {
			s.nodes = map[registrar.MachineName][]nodeStart{}
		}
		for _, v := range n.Starts {
			s.nodes[n.Machine] = append(s.nodes[n.Machine], v.clone())
		}
	}
}
