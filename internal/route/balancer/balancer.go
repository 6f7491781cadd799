// Package balancer maps flows to upstreams. Each machine computes the same table from the same configuration revision.
package balancer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

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

// Table maps the buckets of one generation to upstreams. It is immutable.
type Table struct {
	Revision registrar.Revision
	// members are those of the generation, sorted by upstream id.
	members []registrar.Member
	// picks hold positions in members rather than upstream ids, which halves the largest part of an entry's memory.
	picks [BucketCount]pick
}

// pick is a Choice as positions in the members of a table, counted from 1; 0 stands for none.
type pick struct {
	owner, second uint16
}

// maxMembers bounds the members of a generation that a table can hold.
const maxMembers = math.MaxUint16

// NewTable computes the table of a generation by weighted rendezvous hashing: a change of one member's weight moves
// buckets only to or from that member (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005). With a
// previous table, which may be nil, only the buckets that the difference can touch are computed again; the result is the
// same. Without it, a zone withdrawal at 650 services took 2.6 s of processor time.
func NewTable(service registrar.ServiceID, g registrar.Generation, previous *Table) *Table {
	t := &Table{Revision: g.Revision, members: g.Members[:min(len(g.Members), maxMembers)]}
	positions := make(map[registrar.UpstreamID]uint16, len(t.members))
	for i, m := range t.members {
		positions[m.Upstream] = uint16(i + 1)
	}
	var d difference
	if previous != nil {
		d = compare(previous.members, t.members)
	}
	for b := range Bucket(BucketCount) {
		var c Choice
		if previous == nil {
			c = choose(service, b, t.members)
		} else {
			c = d.adjust(service, b, previous.Choice(b), t.members)
		}
		t.picks[b] = pick{owner: positions[c.Owner], second: positions[c.Second]}
	}
	return t
}

// difference says how two sets of members differ. A member whose weight differs counts as gone and as added.
type difference struct {
	gone  map[registrar.UpstreamID]bool
	added []registrar.Member
	// weights are those of the new set.
	weights map[registrar.UpstreamID]registrar.Weight
}

func compare(old, next []registrar.Member) difference {
	d := difference{gone: map[registrar.UpstreamID]bool{}, weights: map[registrar.UpstreamID]registrar.Weight{}}
	for _, m := range old {
		d.gone[m.Upstream] = !slices.Contains(next, m)
	}
	for _, m := range next {
		d.weights[m.Upstream] = m.Weight
		if !slices.Contains(old, m) {
			d.added = append(d.added, m)
		}
	}
	return d
}

// adjust derives the choice of a bucket from the choice for the old members.
func (d difference) adjust(service registrar.ServiceID, b Bucket, c Choice, members []registrar.Member) Choice {
	if c.Second == 0 || d.gone[c.Owner] || d.gone[c.Second] {
		return choose(service, b, members)
	}
	if len(d.added) == 0 {
		return c
	}
	return choose(service, b, append(
		[]registrar.Member{{Upstream: c.Owner, Weight: d.weights[c.Owner]}, {Upstream: c.Second, Weight: d.weights[c.Second]}},
		d.added...,
	))
}

func choose(service registrar.ServiceID, b Bucket, members []registrar.Member) Choice {
	var c Choice
	var first, second float64
	for _, m := range members {
		switch s := score(service, b, m); {
		case wins(s, m.Upstream, first, c.Owner):
			c.Second, second = c.Owner, first
			c.Owner, first = m.Upstream, s
		case wins(s, m.Upstream, second, c.Second):
			c.Second, second = m.Upstream, s
		}
	}
	return c
}

// wins orders members by score. The lower id wins a tie, so that the order of the members does not matter.
func wins(s float64, id registrar.UpstreamID, other float64, otherID registrar.UpstreamID) bool {
	if otherID == 0 || s != other {
		return otherID == 0 || s > other
	}
	return id < otherID
}

func score(service registrar.ServiceID, b Bucket, m registrar.Member) float64 {
	var key [10]byte
	binary.LittleEndian.PutUint32(key[0:], uint32(service))
	binary.LittleEndian.PutUint16(key[4:], uint16(b))
	binary.LittleEndian.PutUint32(key[6:], uint32(m.Upstream))
	// The hash is mapped to the open interval (0, 1), where the logarithm is finite and negative.
	u := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
	return float64(m.Weight) / -math.Log(u)
}

// Choice returns the upstreams for new flows of a bucket.
func (t *Table) Choice(b Bucket) Choice {
	p := t.picks[b]
	return Choice{Owner: t.at(p.owner), Second: t.at(p.second)}
}

func (t *Table) at(position uint16) registrar.UpstreamID {
	if position == 0 {
		return 0
	}
	return t.members[position-1].Upstream
}

// BucketOf returns the bucket of a flow.
func BucketOf(f registrar.Flow) Bucket {
	var key [36]byte
	putAddrPort(key[0:], f.Caller)
	putAddrPort(key[18:], f.Service)
	return Bucket(xxhash.Sum64(key[:]) % BucketCount)
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.LittleEndian.PutUint16(b[16:], a.Port())
}

// Chain lists the upstreams that may hold a flow of a bucket, in the order in which they are asked. It is a fixed-size
// value so that looking one up does not allocate.
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
	// reachable holds the upstreams that can hold flows: those outside withdrawn zones whose agent is heard. An agent
	// that is gone would swallow every datagram that is passed along the chain.
	reachable map[registrar.UpstreamID]bool
}

// Depth says which generations a machine needs.
type Depth uint8

// The depths.
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
	var older *Table
	if depth == NewestGeneration {
		generations = generations[b.firstNeeded(generations):]
		older = previous.newest(v.ID)
	}
	for _, g := range generations {
		t := previous.table(v.ID, g.Revision)
		if t == nil {
			t = NewTable(v.ID, g, older)
		}
		b.tables = append(b.tables, t)
		older = t
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

// newest returns the newest table of a service, or nil. Tables can be derived from any other table of the service.
func (b *Balancer) newest(service registrar.ServiceID) *Table {
	if b == nil || b.service != service {
		return nil
	}
	return b.tables[0]
}

func (b *Balancer) table(service registrar.ServiceID, at registrar.Revision) *Table {
	if b == nil || b.service != service {
		return nil
	}
	for _, t := range b.tables {
		if t.Revision == at {
			return t
		}
	}
	return nil
}

// Newest returns the table for new flows.
func (b *Balancer) Newest() *Table { return b.tables[0] }

// Chain returns the owner of a bucket followed by its earlier owners that may still hold flows. Upstreams in withdrawn
// zones and upstreams whose agent is not heard any more are left out, and their second choices take their places.
func (b *Balancer) Chain(bucket Bucket) Chain {
	var c Chain
	for _, t := range b.tables {
		// An owner that is gone has taken with it what it knew about the flows that the second choice took.
		choice := t.Choice(bucket)
		if b.reachable[choice.Owner] {
			c.add(choice.Owner)
		} else if b.reachable[choice.Second] {
			c.add(choice.Second)
		}
	}
	return c
}
