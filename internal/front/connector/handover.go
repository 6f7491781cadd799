package connector

import (
	"context"
	"crypto/tls"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// handoverTimeout bounds a call that carries a ledger, including connection setup. The largest ledger takes about 1 s at
// 100 Mbit/s.
const handoverTimeout = 2 * time.Second

// unknownRPC is part of the error that drpc returns for a call that the peer's version does not implement.
const unknownRPC = "unknown rpc"

// LedgerHolder stores the sealed ledgers of other agents.
type LedgerHolder interface {
	// Hold stores a ledger and reports whether it was accepted.
	Hold(now time.Time, o claimer.Handover) bool
	// Fetch returns the ledger that was stored for an agent.
	Fetch(now time.Time, f claimer.Fetch) claimer.Fetched
}

// errNoHolder means that the machine stores no ledgers of other agents.
var errNoHolder = eris.New("this machine holds no ledgers")

// Hold implements messenger.Claims. It accepts only the ledger of the calling machine.
func (s *claimService) Hold(ctx context.Context, m *messenger.LedgerHandover) (*messenger.HoldReply, error) {
	o, err := encoder.HandoverFromMessage(m)
	if err != nil {
		return nil, err
	}
	if err := s.checkCaller(ctx, o.Machine); err != nil {
		return nil, err
	}
	return &messenger.HoldReply{Protocol: encoder.Protocol, Accepted: s.holder.Hold(time.Now(), o)}, nil
}

// Fetch implements messenger.Claims. It returns only the ledger of the calling machine.
func (s *claimService) Fetch(ctx context.Context, m *messenger.FetchRequest) (*messenger.FetchReply, error) {
	f, err := encoder.FetchFromMessage(m)
	if err != nil {
		return nil, err
	}
	if err := s.checkCaller(ctx, f.Machine); err != nil {
		return nil, err
	}
	return encoder.FetchedToMessage(s.holder.Fetch(time.Now(), f)), nil
}

// checkCaller returns an error unless the caller is the machine that a ledger belongs to. A call without TLS passes, because
// it has no certificate.
func (s *claimService) checkCaller(ctx context.Context, owner registrar.MachineName) error {
	if s.holder == nil {
		return errNoHolder
	}
	if name, ok := peerName(ctx); ok && name != owner {
		return eris.Wrapf(ErrPeer, "machine %q called for the ledger of %q", name, owner)
	}
	return nil
}

// dial opens a connection for one call that carries a ledger.
func (c *Claims) dial(ctx context.Context, p claimer.Peer) (*drpcconn.Conn, error) {
	dialer := tls.Dialer{Config: c.TLS()}
	raw, err := dialer.DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", p.Address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Hold asks a peer to store a ledger. The error is the reason if the verdict is not claimer.HoldAccepted.
func (c *Claims) Hold(ctx context.Context, p claimer.Peer, o claimer.Handover) (claimer.HoldVerdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	// The call uses a new connection, so that a failure to connect proves that the peer has not received the ledger.
	conn, err := c.dial(ctx, p)
	if err != nil {
		return claimer.HoldRefused, err
	}
	defer closeAsync(conn)
	reply, err := messenger.NewDRPCClaimsClient(conn).Hold(ctx, encoder.HandoverToMessage(o))
	switch {
	case err != nil && strings.Contains(err.Error(), unknownRPC):
		return claimer.HoldRefused, eris.Wrapf(err, "%s does not support ledger handover", p.Machine)
	case err != nil:
		return claimer.HoldUncertain, eris.Wrapf(err, "hand over ledger to %s", p.Machine)
	case !reply.GetAccepted():
		return claimer.HoldRefused, eris.Errorf("%s refused the ledger", p.Machine)
	}
	return claimer.HoldAccepted, nil
}

// Fetch asks a peer for the ledger of an earlier process of this agent. The result is valid even if the error is not nil.
func (c *Claims) Fetch(ctx context.Context, p claimer.Peer, f claimer.Fetch) (claimer.Fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	conn, err := c.dial(ctx, p)
	if err != nil {
		return claimer.Fetched{}, err
	}
	defer closeAsync(conn)
	reply, err := messenger.NewDRPCClaimsClient(conn).Fetch(ctx, encoder.FetchToMessage(f))
	switch {
	case err != nil && strings.Contains(err.Error(), unknownRPC):
		// A version without this call stores no ledgers.
		return claimer.Fetched{Verdict: claimer.FetchNone}, nil
	case err != nil:
		return claimer.Fetched{}, eris.Wrapf(err, "fetch ledger from %s", p.Machine)
	}
	return encoder.FetchedFromMessage(reply)
}

// closeAsync closes a connection in the background, because Close sends a TLS alert to the peer, which may take seconds if the
// connection is dead.
func closeAsync(conn *drpcconn.Conn) {
	go func() { _ = conn.Close() }()
}
