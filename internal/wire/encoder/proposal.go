package encoder

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// ProposalToMessage translates a proposal that is forwarded to the leader. timeout is how long the sender waits for the result.
func ProposalToMessage(p replicator.Proposed, timeout time.Duration) (*messenger.ProposeRequest, error) {
	m := &messenger.ProposeRequest{Protocol: Protocol, Command: p.Command, TimeoutMicros: uint64(timeout.Microseconds())}
	if p.Change == nil {
		return m, nil
	}
	b, err := json.Marshal(p.Change)
	m.Change = b
	return m, eris.Wrap(err, "encode membership change")
}

// ProposalFromMessage translates a received proposal.
func ProposalFromMessage(m *messenger.ProposeRequest) (p replicator.Proposed, timeout time.Duration, err error) {
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return p, 0, err
	}
	p.Command = m.GetCommand()
	if b := m.GetChange(); len(b) > 0 {
		p.Change = &replicator.Change{}
		err = eris.Wrap(json.Unmarshal(b, p.Change), "decode membership change")
	}
	return p, time.Duration(m.GetTimeoutMicros()) * time.Microsecond, err
}

// ProposeReplyToMessage translates the result of a proposal or its error.
func ProposeReplyToMessage(result []byte, err error) *messenger.ProposeReply {
	m := &messenger.ProposeReply{Protocol: Protocol, Result: result, Status: messenger.ProposeStatus_PROPOSE_STATUS_APPLIED}
	if err == nil {
		return m
	}
	m.Message = err.Error()
	switch {
	case eris.Is(err, replicator.ErrNotLeader), eris.Is(err, replicator.ErrDropped):
		m.Status = messenger.ProposeStatus_PROPOSE_STATUS_NOT_LEADER
	case eris.Is(err, replicator.ErrMembership):
		m.Status = messenger.ProposeStatus_PROPOSE_STATUS_REFUSED
	default:
		m.Status = messenger.ProposeStatus_PROPOSE_STATUS_UNCERTAIN
	}
	return m
}

// ProposeReplyFromMessage translates the received result of a proposal. It returns replicator.ErrUncertain for an unknown status,
// because the proposal may still be applied.
func ProposeReplyFromMessage(m *messenger.ProposeReply) ([]byte, error) {
	switch m.GetStatus() {
	case messenger.ProposeStatus_PROPOSE_STATUS_APPLIED:
		return m.GetResult(), nil
	case messenger.ProposeStatus_PROPOSE_STATUS_NOT_LEADER:
		return nil, eris.Wrap(replicator.ErrNotLeader, m.GetMessage())
	case messenger.ProposeStatus_PROPOSE_STATUS_REFUSED:
		return nil, eris.Wrap(replicator.ErrMembership, m.GetMessage())
	}
	return nil, eris.Wrap(replicator.ErrUncertain, m.GetMessage())
}
