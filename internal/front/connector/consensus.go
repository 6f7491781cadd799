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

// ConsensusHandler takes messages and proposals of other control instances.
type ConsensusHandler interface {
	// Admits reports whether a machine is a control instance.
	Admits(name registrar.MachineName) bool
	Deliver(messages []replicator.Message)
	ProposeHere(ctx context.Context, p replicator.Proposed) ([]byte, error)
}

// consensusService translates calls of messenger.Consensus.
type consensusService struct {
	handler ConsensusHandler
	// trusted is true on a network where callers need no certificates.
	trusted bool
}

// peer returns the name in the caller's certificate. Other machines of the system may not take part in the log.
func (s *consensusService) peer(ctx context.Context) (registrar.MachineName, error) {
	name, ok := peerName(ctx)
	if s.trusted {
		return "", nil
	}
	if !ok || !s.handler.Admits(name) {
		return "", ErrPeer
	}
	return name, nil
}

// Deliver takes a batch of messages.
func (s *consensusService) Deliver(ctx context.Context, b *messenger.ConsensusBatch) (*messenger.ConsensusReceipt, error) {
	name, err := s.peer(ctx)
	if err != nil {
		return nil, err
	}
	if err := encoder.CheckProtocol(b.GetProtocol()); err != nil {
		return nil, err
	}
	var address netip.AddrPort
	if s.trusted {
		name = registrar.MachineName(b.GetSender())
		if address, err = netip.ParseAddrPort(b.GetSenderAddress()); err != nil {
			return nil, eris.Wrapf(ErrPeer, "sender %q has address %q", name, b.GetSenderAddress())
		}
	}
	messages := make([]replicator.Message, 0, len(b.GetMessages()))
	for _, m := range b.GetMessages() {
		msg, err := encoder.ConsensusFromMessage(m)
		if err != nil {
			return nil, err
		}
		msg.Sender, msg.Address = name, address
		messages = append(messages, msg)
	}
	s.handler.Deliver(messages)
	return &messenger.ConsensusReceipt{Protocol: encoder.Protocol}, nil
}

// Propose takes a proposal that another instance passes on.
func (s *consensusService) Propose(ctx context.Context, m *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if _, err := s.peer(ctx); err != nil {
		return nil, err
	}
	p, timeout, err := encoder.ProposalFromMessage(m)
	if err != nil {
		return nil, err
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(timeout, maxPropose))
		defer cancel()
	}
	return encoder.ProposeReplyToMessage(s.handler.ProposeHere(ctx, p)), nil
}

// maxPropose bounds the wait that a caller may ask for.
const maxPropose = 30 * time.Second
