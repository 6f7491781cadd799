package connector

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/gatherer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrUnknownPeer means that no address is known for a control instance.
var ErrUnknownPeer = eris.New("control instance has no known address")

// Reporter tells other control instances what this one knows about nodes.
type Reporter interface {
	Report(now time.Time) gatherer.Report
}

// Ask asks another control instance what it knows about nodes.
func (p *Peers) Ask(ctx context.Context, name registrar.MachineName) (r gatherer.Report, err error) {
	address, ok := p.Addresses.Address(name)
	if !ok {
		return r, eris.Wrapf(ErrUnknownPeer, "%q", name)
	}
	c := p.idleClient(address)
	askedAt := time.Now()
	c.mu.Lock()
	conn, err := c.connect(ctx)
	c.mu.Unlock()
	if err != nil {
		return r, err
	}
	reply, err := messenger.NewDRPCConsensusClient(conn).Sessions(ctx, &messenger.SessionsRequest{Protocol: encoder.Protocol})
	if err != nil {
		c.Close()
		return r, eris.Wrapf(err, "ask %s for sessions", address)
	}
	p.keep(c)
	return encoder.ReportFromMessage(askedAt, time.Now(), reply)
}

// Sessions returns the nodes that this instance has heard.
func (s *consensusService) Sessions(ctx context.Context, m *messenger.SessionsRequest) (*messenger.SessionsReply, error) {
	if _, err := s.peer(ctx); err != nil {
		return nil, err
	}
	if err := encoder.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	now := time.Now()
	return encoder.ReportToMessage(now, s.reporter.Report(now))
}
