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

// maxIdle bounds the connections to one leader that are kept for later proposals.
const maxIdle = 4

// dialTimeout bounds the wait for a connection to the leader, so that a proposal outlives a leader that has gone silent.
const dialTimeout = 1 * time.Second

// Forward passes a proposal to the leader. A connection carries one call at a time, so concurrent proposals use several.
func (p *Peers) Forward(ctx context.Context, leader replicator.Member, prop replicator.Proposed) ([]byte, error) {
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	m, err := encoder.ProposalToMessage(prop, timeout)
	if err != nil {
		return nil, err
	}
	c := p.idleClient(leader.Address)
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.mu.Lock()
	conn, err := c.connect(dial)
	c.mu.Unlock()
	if err != nil {
		return nil, eris.Wrap(replicator.ErrNotLeader, err.Error())
	}
	reply, err := messenger.NewDRPCConsensusClient(conn).Propose(ctx, m)
	if err != nil {
		c.Close()
		return nil, eris.Wrapf(replicator.ErrUncertain, "forward to %s: %v", leader.Address, err)
	}
	p.keep(c)
	if err := encoder.CheckProtocol(reply.GetProtocol()); err != nil {
		return nil, err
	}
	return encoder.ProposeReplyFromMessage(reply)
}

func (p *Peers) idleClient(a netip.AddrPort) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[a]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[a] = list[:len(list)-1]
		return c
	}
	return &Client{Address: a, TLS: p.TLS, Total: &p.Traffic}
}

func (p *Peers) keep(c *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || len(p.idle[c.Address]) >= maxIdle {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*Client{}
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// closeIdle closes the connections that are kept and those returned later.
func (p *Peers) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}
