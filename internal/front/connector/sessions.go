package connector

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// askTime bounds the question to one control instance. An instance that does not answer by then counts as out of reach.
const askTime = time.Second

// Question selects the evidence of sessions.
type Question struct {
	// Customer limits the evidence to one customer; empty for all.
	Customer registrar.CustomerName
	// Brief leaves all evidence out.
	Brief bool
}

// apply removes the evidence that is not asked for.
func (q Question) apply(sessions []leaser.Session) []leaser.Session {
	if q.Customer == "" && !q.Brief {
		return sessions
	}
	for i := range sessions {
		e := sessions[i].Evidence
		at := slices.IndexFunc(e, func(v counter.Evidence) bool { return v.Customer == q.Customer })
		sessions[i].Evidence = nil
		if at >= 0 && !q.Brief {
			sessions[i].Evidence = e[at : at+1 : at+1]
		}
	}
	return sessions
}

// Sessions asks a control instance for its sessions.
func (c *Client) Sessions(ctx context.Context, q Question) (encoder.Sessions, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return encoder.Sessions{}, err
	}
	askedAt := time.Now()
	reply, err := messenger.NewDRPCControlClient(conn).Sessions(ctx, &messenger.SessionsRequest{
		Protocol: encoder.Protocol, Customer: string(q.Customer), Brief: q.Brief,
	})
	if err != nil {
		c.closeLocked()
		return encoder.Sessions{}, eris.Wrapf(err, "ask %s for sessions", c.Address)
	}
	return encoder.SessionsFromMessage(askedAt, time.Now(), reply)
}

// Sessions answers another control instance.
func (s *controlService) Sessions(_ context.Context, m *messenger.SessionsRequest) (*messenger.SessionsReply, error) {
	if err := encoder.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	if s.collector == nil {
		return nil, eris.New("this machine keeps no sessions")
	}
	q := Question{Customer: registrar.CustomerName(m.GetCustomer()), Brief: m.GetBrief()}
	sessions := q.apply(s.collector.Leaser.Sessions())
	now := time.Now()
	return encoder.SessionsToMessage(now, encoder.Sessions{
		Running: now.Sub(s.collector.StartedAt), Sessions: sessions, Peers: s.collector.peerBounds(now),
	})
}

// Collector gathers the sessions of all control instances. The exported fields are set before first use.
type Collector struct {
	Name      registrar.MachineName
	StartedAt time.Time
	Leaser    *leaser.Leaser
	Directory Directory
	TLS       func() *tls.Config
	// Traffic counts the bytes of calls to other instances; nil for no count.
	Traffic *Traffic

	// mu guards the fields below.
	mu sync.Mutex
	// peers keeps a connection to each instance that has been asked.
	peers map[registrar.MachineName]*Client
	// seenAt is when each instance was last a member.
	seenAt map[registrar.MachineName]time.Time
}

// removedGrace is how long an instance counts after its removal. It may vouch for replicator.MaxAge more, and the leases that
// it grants meanwhile run for subscriber.LeaseTime.
const removedGrace = replicator.MaxAge + subscriber.LeaseTime

// Observe records the present members, and returns the other instances and those that were removed so recently that leases
// of theirs may be valid. It has to be called more often than removedGrace.
func (c *Collector) Observe(now time.Time) []registrar.MachineName {
	others := c.Directory.Others()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seenAt == nil {
		c.seenAt = map[registrar.MachineName]time.Time{}
	}
	for _, name := range others {
		c.seenAt[name] = now
	}
	for name, at := range c.seenAt {
		switch {
		case now.Sub(at) > removedGrace:
			delete(c.seenAt, name)
		case at != now:
			others = append(others, name)
		}
	}
	return others
}

// Directory knows the other control instances.
type Directory interface {
	Others() []registrar.MachineName
	AddressOf(name registrar.MachineName) (netip.AddrPort, bool)
	// Knowledge bounds what the other instances know; nil unless this instance is the leader.
	Knowledge(now time.Time) []replicator.Knowledge
}

// peerBounds returns until when leases can last that other instances have granted; nil unless this instance is the leader. A
// lease is shorter by the age of its instance's knowledge, so it ends a lease time after the moment of that knowledge.
func (c *Collector) peerBounds(now time.Time) []leaser.PeerBound {
	var all []leaser.PeerBound
	for _, k := range c.Directory.Knowledge(now) {
		all = append(all, leaser.PeerBound{Name: k.Name, LeaseUntil: k.Until.Add(subscriber.LeaseBound)})
	}
	return all
}

// client returns the connection to an instance, or nil if its address is not known.
func (c *Collector) client(name registrar.MachineName) *Client {
	address, ok := c.Directory.AddressOf(name)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[registrar.MachineName]*Client{}
	}
	if old := c.peers[name]; old == nil || old.Address != address {
		c.peers[name] = &Client{Address: address, TLS: c.TLS, Total: c.Traffic}
	}
	return c.peers[name]
}

// Collect asks all instances at the same time and returns their answers sorted by name.
func (c *Collector) Collect(ctx context.Context, q Question) []leaser.Instance {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	all := []leaser.Instance{{
		Name: c.Name, Answered: true, StartedAt: c.StartedAt, Sessions: q.apply(c.Leaser.Sessions()),
		Peers: c.peerBounds(time.Now()),
	}}
	for _, name := range c.Observe(time.Now()) {
		wg.Go(func() {
			i := leaser.Instance{Name: name}
			if peer := c.client(name); peer != nil {
				if s, err := peer.Sessions(ctx, q); err == nil {
					i.Answered, i.StartedAt, i.Sessions = true, time.Now().Add(-s.Running), s.Sessions
					i.Peers = s.Peers
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, i)
		})
	}
	wg.Wait()
	slices.SortFunc(all, func(a, b leaser.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}
