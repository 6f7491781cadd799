// Package balancer maps flows to upstreams. All machines compute the same tables from the same configuration revision.
package balancer

import (
	"slices"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Bucket is an index into the table of a service.
type Bucket uint16

// BucketCount is the number of buckets of a service. With 32 equal members it keeps the largest share of buckets within
// about a quarter of the mean.
const BucketCount = 4096

// MaxChain bounds the upstreams in a chain.
const MaxChain = 8

// Choice holds the upstreams that take the new flows of a bucket.
type Choice struct {
	// Owner is zero if the generation has no members.
	Owner registrar.UpstreamID
	// Second takes a flow that Owner cannot take. It is zero if the generation has one member.
	Second registrar.UpstreamID
}

// BucketOf returns the bucket of a flow.
func BucketOf(f registrar.Flow) Bucket { return Bucket(f.Hash() % BucketCount) }

// Chain lists the upstreams that may hold a flow of a bucket, in the order in which they are asked. It has a fixed size so that
// Balancer.Chain does not allocate.
type Chain struct {
	ids [MaxChain]registrar.UpstreamID
	n   int
}

// Len returns the number of upstreams in the chain.
func (c *Chain) Len() int { return c.n }

// At returns the upstream at position i.
func (c *Chain) At(i int) registrar.UpstreamID { return c.ids[i] }

// Index returns the position of an upstream, or -1.
func (c *Chain) Index(id registrar.UpstreamID) int {
	for i := range c.n {
		if c.ids[i] == id {
			return i
		}
	}
	return -1
}

// add appends an upstream unless it is zero, is in the chain already, or the chain is full.
func (c *Chain) add(id registrar.UpstreamID) {
	if id == 0 || c.n == MaxChain || c.Index(id) >= 0 {
		return
	}
	c.ids[c.n] = id
	c.n++
}

// Balancer holds the tables of one service at one revision. It is immutable.
type Balancer struct {
	service registrar.ServiceID
	// tables are ordered newest first; there is at least one.
	tables []*Table
	// reachable contains the upstreams that can hold flows: those outside withdrawn zones whose agent is not silent. A chain with
	// an agent that is gone would lose every datagram that is passed along it.
	reachable map[registrar.UpstreamID]bool
}

// Depth selects the generations whose tables a machine needs.
type Depth uint8

// The possible depths.
const (
	// AllGenerations is for agents, which pass datagrams along whole chains.
	AllGenerations Depth = iota
	// NewestGeneration is for entries, which need only the first upstream of a chain. A table takes 16 KiB, so an entry
	// with hundreds of services must not hold the older ones.
	NewestGeneration
)

// New computes the tables for a service. Tables of generations that previous already holds are reused; previous may be
// nil.
func New(v registrar.ServiceView, previous *Balancer, depth Depth) *Balancer {
	b := &Balancer{service: v.ID, reachable: map[registrar.UpstreamID]bool{}}
	for _, u := range v.Upstreams {
		b.reachable[u.ID] = !u.ZoneWithdrawn && !u.Silent
	}
	generations := v.Generations
	var base *Table
	if depth == NewestGeneration {
		generations = generations[b.firstNeeded(generations):]
		base = previous.newestTable(v.ID)
	}
	for _, g := range generations {
		t := previous.tableAt(v.ID, g.Revision)
		if t == nil {
			t = NewTable(v.ID, g, base)
		}
		b.tables = append(b.tables, t)
		base = t
	}
	slices.Reverse(b.tables)
	if len(b.tables) == 0 {
		b.tables = []*Table{{}}
	}
	return b
}

// firstNeeded returns the position of the newest generation that has a reachable member, or 0.
func (b *Balancer) firstNeeded(generations []registrar.Generation) int {
	for i := len(generations) - 1; i > 0; i-- {
		if slices.ContainsFunc(generations[i].Members, func(m registrar.Member) bool { return b.reachable[m.Upstream] }) {
			return i
		}
	}
	return 0
}

// newestTable returns the newest table of a service, or nil. A table can be derived from any other table of its service.
func (b *Balancer) newestTable(service registrar.ServiceID) *Table {
	if b == nil || b.service != service {
		return nil
	}
	return b.tables[0]
}

// tableAt returns the table of a service's generation at a revision, or nil.
func (b *Balancer) tableAt(service registrar.ServiceID, revision registrar.Revision) *Table {
	if b == nil || b.service != service {
		return nil
	}
	for _, t := range b.tables {
		if t.Revision == revision {
			return t
		}
	}
	return nil
}

// Newest returns the table for new flows.
func (b *Balancer) Newest() *Table { return b.tables[0] }

// Chain returns the owner of a bucket followed by its earlier owners that may still hold flows. An owner in a withdrawn zone or
// with a silent agent is replaced by the second choice of its generation.
func (b *Balancer) Chain(bucket Bucket) Chain {
	var c Chain
	for _, t := range b.tables {
		// An owner that is gone can no longer redirect the flows that the second choice took, so the second choice is asked.
		choice := t.Choice(bucket)
		if b.reachable[choice.Owner] {
			c.add(choice.Owner)
		} else if b.reachable[choice.Second] {
			c.add(choice.Second)
		}
	}
	return c
}
