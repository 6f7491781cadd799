package connector

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// claimTimeout bounds a call to a claim owner, including connection setup. A call takes about 1 ms between zones.
	claimTimeout = 1 * time.Second
	// maxIdleConns bounds the idle connections to a peer.
	maxIdleConns = 16
	// maxCallsInFlight bounds the calls in flight to one peer, so that a peer that does not answer ties up few resources.
	maxCallsInFlight = 256
)

// ErrBusy means that too many calls to a peer are in flight.
var ErrBusy = eris.New("too many calls in flight to the peer")

// ClaimHandler answers calls to a claim owner.
type ClaimHandler interface {
	Handle(now time.Time, c claimer.Call) claimer.Reply
}

// claimService implements messenger.Claims.
type claimService struct {
	handler ClaimHandler
	holder  LedgerHolder
}

// Ask implements messenger.Claims.
func (s *claimService) Ask(_ context.Context, m *messenger.ClaimCall) (*messenger.ClaimReply, error) {
	c, err := encoder.CallFromMessage(m)
	if err != nil {
		return nil, err
	}
	return encoder.ClaimReplyToMessage(s.handler.Handle(time.Now(), c)), nil
}

// Claims is a client of claim owners. The exported fields are set before first use.
type Claims struct {
	// TLS returns the configuration for a new connection.
	TLS func() *tls.Config
	// Machine is the name of this agent. Local answers the calls that the agent would send to itself.
	Machine registrar.MachineName
	Local   ClaimHandler

	mu    sync.Mutex
	pools map[claimer.Peer]*connPool
}

// connPool holds the connections to one claim owner. A drpc connection carries one call at a time.
type connPool struct {
	mu   sync.Mutex
	idle []*drpcconn.Conn
	// inFlight is the number of calls that hold a connection or wait for one.
	inFlight int
}

// Ask calls all peers concurrently. The channel receives the reply of each peer that answers, and is closed after the last reply.
func (c *Claims) Ask(ctx context.Context, peers []claimer.Peer, call claimer.Call) <-chan claimer.OwnerReply {
	replies := make(chan claimer.OwnerReply, len(peers))
	var wg sync.WaitGroup
	for _, p := range peers {
		if p.Machine == c.Machine {
			replies <- claimer.OwnerReply{Peer: p, Reply: c.Local.Handle(time.Now(), call)}
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
			defer cancel()
			if r, err := c.pool(p).ask(ctx, p, c.TLS(), call); err == nil {
				replies <- claimer.OwnerReply{Peer: p, Reply: r}
			}
		})
	}
	go func() {
		wg.Wait()
		close(replies)
	}()
	return replies
}

func (c *Claims) pool(p claimer.Peer) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[claimer.Peer]*connPool{}
	}
	if c.pools[p] == nil {
		c.pools[p] = &connPool{}
	}
	return c.pools[p]
}

func (p *connPool) ask(ctx context.Context, peer claimer.Peer, cfg *tls.Config, call claimer.Call) (claimer.Reply, error) {
	conn, err := p.acquire(ctx, peer, cfg)
	if err != nil {
		return claimer.Reply{}, err
	}
	m, err := messenger.NewDRPCClaimsClient(conn).Ask(ctx, encoder.CallToMessage(call))
	// A connection on which a call failed may be dead, so it is not used again.
	p.release(conn, err == nil)
	if err != nil {
		return claimer.Reply{}, eris.Wrapf(err, "call claim owner %s", peer.Machine)
	}
	return encoder.ClaimReplyFromMessage(m)
}

// acquire returns an idle connection, or a new one if none is idle.
func (p *connPool) acquire(ctx context.Context, peer claimer.Peer, cfg *tls.Config) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if p.inFlight >= maxCallsInFlight {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.inFlight++
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
		}
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	dialer := tls.Dialer{Config: cfg}
	raw, err := dialer.DialContext(ctx, "tcp", peer.Address.String())
	if err != nil {
		p.release(nil, false)
		return nil, eris.Wrapf(err, "connect to %s", peer.Address)
	}
	return drpcconn.New(raw), nil
}

// release returns a connection to the pool, or closes it if it is not usable or the pool is full. conn is nil after a failed
// dial.
func (p *connPool) release(conn *drpcconn.Conn, usable bool) {
	p.mu.Lock()
	p.inFlight--
	if usable && len(p.idle) < maxIdleConns {
		p.idle = append(p.idle, conn)
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		closeAsync(conn)
	}
}

// Close closes the idle connections.
func (c *Claims) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.mu.Lock()
		for _, conn := range p.idle {
			_ = conn.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}
