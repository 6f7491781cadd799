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

// collectTimeout bounds the calls of Collect. A control instance that does not answer in time counts as unreachable.
const collectTimeout = time.Second

// SessionQuery selects the evidence that is returned with sessions.
type SessionQuery struct {
	// Customer limits the evidence to one customer; empty for all.
	Customer registrar.CustomerName
	// Brief omits all evidence.
	Brief bool
}

// filterEvidence removes the evidence that q does not select from the sessions, and returns them.
func (q SessionQuery) filterEvidence(sessions []leaser.Session) []leaser.Session {
	if q.Customer == "" && !q.Brief {
		return sessions
	}
	for i := range sessions {
		evidence := sessions[i].Evidence
		index := slices.IndexFunc(evidence, func(e counter.Evidence) bool { return e.Customer == q.Customer })
		sessions[i].Evidence = nil
		if index >= 0 && !q.Brief {
			sessions[i].Evidence = evidence[index : index+1 : index+1]
		}
	}
	return sessions
}

// Sessions requests the sessions of a control instance.
func (c *Client) Sessions(ctx context.Context, q SessionQuery) (encoder.Sessions, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return encoder.Sessions{}, err
	}
	sentAt := time.Now()
	reply, err := messenger.NewDRPCControlClient(conn).Sessions(ctx, &messenger.SessionsRequest{
		Protocol: encoder.Protocol, Customer: string(q.Customer), Brief: q.Brief,
	})
	if err != nil {
		c.closeLocked()
		return encoder.Sessions{}, eris.Wrapf(err, "request sessions of %s", c.Address)
	}
	return encoder.SessionsFromMessage(sentAt, time.Now(), reply)
}

// Sessions implements messenger.Control for other control instances.
func (s *controlService) Sessions(_ context.Context, m *messenger.SessionsRequest) (*messenger.SessionsReply, error) {
	if err := encoder.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	if s.collector == nil {
		return nil, eris.New("this machine keeps no sessions")
	}
	q := SessionQuery{Customer: registrar.CustomerName(m.GetCustomer()), Brief: m.GetBrief()}
	sessions := q.filterEvidence(s.collector.Leaser.Sessions())
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
	// Traffic counts the bytes of calls to other instances; nil to count nothing.
	Traffic *Traffic

	// mu guards the fields below.
	mu sync.Mutex
	// clients holds a client of each instance that has been called.
	clients map[registrar.MachineName]*Client
	// lastMemberAt is the time of the newest call of Observe at which each instance was a member.
	lastMemberAt map[registrar.MachineName]time.Time
}

// removedGracePeriod is how long Observe returns an instance after its removal. The instance may grant leases for
// replicator.MaxAge after the removal, and each of them lasts subscriber.LeaseTime.
const removedGracePeriod = replicator.MaxAge + subscriber.LeaseTime

// Observe records the present members, and returns the other instances and those that were removed so recently that
// leases granted by them may be valid. Calls are less than removedGracePeriod apart; otherwise an instance that was removed
// between two calls would be left out although leases granted by it are valid.
func (c *Collector) Observe(now time.Time) []registrar.MachineName {
	others := c.Directory.Others()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastMemberAt == nil {
		c.lastMemberAt = map[registrar.MachineName]time.Time{}
	}
	for _, name := range others {
		c.lastMemberAt[name] = now
	}
	for name, memberAt := range c.lastMemberAt {
		switch {
		case now.Sub(memberAt) > removedGracePeriod:
			delete(c.lastMemberAt, name)
		case memberAt != now:
			others = append(others, name)
		}
	}
	return others
}

// Directory lists the other control instances.
type Directory interface {
	Others() []registrar.MachineName
	AddressOf(name registrar.MachineName) (netip.AddrPort, bool)
	// PeerBounds returns, for each other instance, an upper bound on how recent its state can be; nil unless this instance is
	// the leader.
	PeerBounds(now time.Time) []replicator.PeerBound
}

// peerBounds returns the latest time at which leases granted by each other instance can end; nil unless this instance is the
// leader. An instance shortens the leases that it grants by the age of its state, so a lease ends one lease time after the
// time of that state.
func (c *Collector) peerBounds(now time.Time) []leaser.PeerBound {
	var bounds []leaser.PeerBound
	for _, k := range c.Directory.PeerBounds(now) {
		bounds = append(bounds, leaser.PeerBound{Name: k.Name, LeaseUntil: k.Until.Add(subscriber.LeaseBound)})
	}
	return bounds
}

// client returns the client of an instance, or nil if the address of the instance is not known.
func (c *Collector) client(name registrar.MachineName) *Client {
	address, ok := c.Directory.AddressOf(name)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[registrar.MachineName]*Client{}
	}
	if old := c.clients[name]; old == nil || old.Address != address {
		c.clients[name] = &Client{Address: address, TLS: c.TLS, Total: c.Traffic}
	}
	return c.clients[name]
}

// Collect requests the sessions of all instances concurrently and returns them sorted by name. An instance that does not answer
// is returned without sessions.
func (c *Collector) Collect(ctx context.Context, q SessionQuery) []leaser.Instance {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	instances := []leaser.Instance{{
		Name: c.Name, Answered: true, StartedAt: c.StartedAt, Sessions: q.filterEvidence(c.Leaser.Sessions()),
		Peers: c.peerBounds(time.Now()),
	}}
	for _, name := range c.Observe(time.Now()) {
		wg.Go(func() {
			instance := leaser.Instance{Name: name}
			if peer := c.client(name); peer != nil {
				if s, err := peer.Sessions(ctx, q); err == nil {
					instance.Answered, instance.StartedAt, instance.Sessions = true, time.Now().Add(-s.Running), s.Sessions
					instance.Peers = s.Peers
				}
			}
			mu.Lock()
			defer mu.Unlock()
			instances = append(instances, instance)
		})
	}
	wg.Wait()
	slices.SortFunc(instances, func(a, b leaser.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return instances
}
