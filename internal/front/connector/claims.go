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
	// claimTimeout bounds a call to a claim owner, with its connection. A call takes about 1 ms between zones.
	claimTimeout = 1 * time.Second
	// maxIdleConns bounds the open connections to a peer that are not in use.
	maxIdleConns = 16
	// maxCalls bounds the calls to one peer in progress, so that a silent peer holds few resources.
	maxCalls = 256
)

// ErrBusy means that too many calls to a peer are in progress.
var ErrBusy = eris.New("too many calls to the peer")

// ClaimHandler answers calls to a claim owner.
type ClaimHandler interface {
	Handle(now time.Time, c claimer.Call) claimer.Reply
}

// claimService translates calls of messenger.Claims.
type claimService struct {
	handler ClaimHandler
	holder  LedgerHolder
}

// Ask answers one call.
func (s *claimService) Ask(_ context.Context, m *messenger.ClaimCall) (*messenger.ClaimReply, error) {
	c, err := encoder.CallFromMessage(m)
	if err != nil {
		return nil, err
	}
	return encoder.ClaimReplyToMessage(s.handler.Handle(time.Now(), c)), nil
}

// Claims calls claim owners. The exported fields are set before first use.
type Claims struct {
	// TLS returns the configuration for a new connection.
	TLS func() *tls.Config
	// Machine is this agent; its calls to itself go to Local.
	Machine registrar.MachineName
	Local   ClaimHandler

	mu    sync.Mutex
	peers map[claimer.Peer]*claimPeer
}

// claimPeer holds the connections to one owner. A drpc connection carries one call at a time.
type claimPeer struct {
	mu    sync.Mutex
	idle  []*drpcconn.Conn
	calls int
}

// Ask calls all peers at once.
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
			if r, err := c.peer(p).ask(ctx, p, c.TLS(), call); err == nil {
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

func (c *Claims) peer(p claimer.Peer) *claimPeer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[claimer.Peer]*claimPeer{}
	}
	if c.peers[p] == nil {
		c.peers[p] = &claimPeer{}
	}
	return c.peers[p]
}

func (p *claimPeer) ask(ctx context.Context, peer claimer.Peer, cfg *tls.Config, call claimer.Call) (claimer.Reply, error) {
	conn, err := p.take(ctx, peer, cfg)
	if err != nil {
		return claimer.Reply{}, err
	}
	m, err := messenger.NewDRPCClaimsClient(conn).Ask(ctx, encoder.CallToMessage(call))
	// A connection with a failed call may have gone silent, so the next call opens a new one.
	p.put(conn, err == nil)
	if err != nil {
		return claimer.Reply{}, eris.Wrapf(err, "ask %s", peer.Machine)
	}
	return encoder.ClaimReplyFromMessage(m)
}

func (p *claimPeer) take(ctx context.Context, peer claimer.Peer, cfg *tls.Config) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if p.calls >= maxCalls {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.calls++
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
	d := tls.Dialer{Config: cfg}
	raw, err := d.DialContext(ctx, "tcp", peer.Address.String())
	if err != nil {
		p.put(nil, false)
		return nil, eris.Wrapf(err, "connect to %s", peer.Address)
	}
	return drpcconn.New(raw), nil
}

// put gives a connection back.
func (p *claimPeer) put(conn *drpcconn.Conn, usable bool) {
	p.mu.Lock()
	p.calls--
	if usable && len(p.idle) < maxIdleConns {
		p.idle = append(p.idle, conn)
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		closeLater(conn)
	}
}

// Close closes the connections that are not in use.
func (c *Claims) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.mu.Lock()
		for _, conn := range p.idle {
			_ = conn.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}
