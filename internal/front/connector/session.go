package connector

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrUnknownPeer means that no address is known for a control instance.
var ErrUnknownPeer = eris.New("control instance has no known address")

// SessionSource has the nodes that this instance has heard.
type SessionSource interface {
	Sessions() []leaser.Session
}

// Sessions asks another control instance for the nodes that it has heard.
func (p *Peers) Sessions(ctx context.Context, name registrar.MachineName) ([]leaser.Session, error) {
	address, ok := p.Addresses.Address(name)
	if !ok {
		return nil, eris.Wrapf(ErrUnknownPeer, "%q", name)
	}
	c := p.idleClient(address)
	askedAt := time.Now()
	c.mu.Lock()
	conn, err := c.connect(ctx)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	reply, err := messenger.NewDRPCConsensusClient(conn).Sessions(ctx, &messenger.SessionsRequest{Protocol: encoder.Protocol})
	if err != nil {
		c.Close()
		return nil, eris.Wrapf(err, "ask %s for sessions", address)
	}
	p.keep(c)
	return encoder.SessionsFromMessage(askedAt, time.Now(), reply)
}

// Sessions returns the nodes that this instance has heard.
func (s *consensusService) Sessions(ctx context.Context, m *messenger.SessionsRequest) (*messenger.SessionsReply, error) {
	if _, err := s.peer(ctx); err != nil {
		return nil, err
	}
	if err := encoder.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	return encoder.SessionsToMessage(time.Now(), s.sessions.Sessions())
}
