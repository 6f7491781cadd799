package connector

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// maxIdleClients bounds the open connections to one leader that are kept for later proposals.
const maxIdleClients = 4

// dialTimeout bounds the wait for a connection to the leader, so that a proposal has time left if the leader does not answer.
const dialTimeout = 1 * time.Second

// Forward sends a proposal to the leader and returns the result. A connection carries one call at a time, so concurrent
// proposals use several connections.
func (p *Peers) Forward(ctx context.Context, leader replicator.Member, prop replicator.Proposed) ([]byte, error) {
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	m, err := encoder.ProposalToMessage(prop, timeout)
	if err != nil {
		return nil, err
	}
	c := p.acquireClient(leader.Address)
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.mu.Lock()
	conn, err := c.connect(dialCtx)
	c.mu.Unlock()
	if err != nil {
		return nil, eris.Wrap(replicator.ErrNotLeader, err.Error())
	}
	reply, err := messenger.NewDRPCConsensusClient(conn).Propose(ctx, m)
	if err != nil {
		c.Close()
		return nil, eris.Wrapf(replicator.ErrUncertain, "forward to %s: %v", leader.Address, err)
	}
	p.releaseClient(c)
	if err := encoder.CheckProtocol(reply.GetProtocol()); err != nil {
		return nil, err
	}
	return encoder.ProposeReplyFromMessage(reply)
}

// acquireClient returns an idle client for an address, or a new one if no client for the address is idle.
func (p *Peers) acquireClient(address netip.AddrPort) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clients := p.idle[address]; len(clients) > 0 {
		c := clients[len(clients)-1]
		p.idle[address] = clients[:len(clients)-1]
		return c
	}
	return &Client{Address: address, TLS: p.TLS, Total: &p.Traffic}
}

// releaseClient keeps a client for later proposals, or closes it if enough are kept or Run has ended.
func (p *Peers) releaseClient(c *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle[c.Address]) >= maxIdleClients {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*Client{}
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// closeIdle closes the idle clients. A client that is released later is closed too.
func (p *Peers) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, clients := range p.idle {
		for _, c := range clients {
			c.Close()
		}
	}
	p.idle = nil
}
