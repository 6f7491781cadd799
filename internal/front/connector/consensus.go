package connector

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ConsensusHandler handles messages and proposals of other control instances.
type ConsensusHandler interface {
	// Admits reports whether a machine is a control instance.
	Admits(name registrar.MachineName) bool
	Deliver(messages []replicator.Message)
	ProposeHere(ctx context.Context, p replicator.Proposed) ([]byte, error)
}

// consensusService implements messenger.Consensus.
type consensusService struct {
	handler ConsensusHandler
	// isTrustedNetwork is true on a network where callers need no certificates.
	isTrustedNetwork bool
}

// authorize returns the name in the caller's certificate; empty on a trusted network. It fails for machines that are not
// control instances, which may not take part in the log.
func (s *consensusService) authorize(ctx context.Context) (registrar.MachineName, error) {
	name, ok := peerName(ctx)
	if s.isTrustedNetwork {
		return "", nil
	}
	if !ok || !s.handler.Admits(name) {
		return "", ErrPeer
	}
	return name, nil
}

// Deliver implements messenger.Consensus.
func (s *consensusService) Deliver(ctx context.Context, b *messenger.ConsensusBatch) (*messenger.ConsensusReceipt, error) {
	name, err := s.authorize(ctx)
	if err != nil {
		return nil, err
	}
	if err := encoder.CheckProtocol(b.GetProtocol()); err != nil {
		return nil, err
	}
	var address netip.AddrPort
	if s.isTrustedNetwork {
		name = registrar.MachineName(b.GetSender())
		if address, err = netip.ParseAddrPort(b.GetSenderAddress()); err != nil {
			return nil, eris.Wrapf(ErrPeer, "sender %q has address %q", name, b.GetSenderAddress())
		}
	}
	messages := make([]replicator.Message, 0, len(b.GetMessages()))
	for _, encoded := range b.GetMessages() {
		m, err := encoder.ConsensusFromMessage(encoded)
		if err != nil {
			return nil, err
		}
		m.Sender, m.Address = name, address
		messages = append(messages, m)
	}
	s.handler.Deliver(messages)
	return &messenger.ConsensusReceipt{Protocol: encoder.Protocol}, nil
}

// Propose implements messenger.Consensus for a proposal that another instance forwards.
func (s *consensusService) Propose(ctx context.Context, m *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if _, err := s.authorize(ctx); err != nil {
		return nil, err
	}
	p, timeout, err := encoder.ProposalFromMessage(m)
	if err != nil {
		return nil, err
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(timeout, maxProposeTimeout))
		defer cancel()
	}
	return encoder.ProposeReplyToMessage(s.handler.ProposeHere(ctx, p)), nil
}

// maxProposeTimeout bounds the timeout that a caller may request.
const maxProposeTimeout = 30 * time.Second
