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

// handoverTimeout bounds a call that carries a ledger, with its connection. The largest ledger takes about 1 s at 100 Mbit/s.
const handoverTimeout = 2 * time.Second

// unknownCall is in the answer of drpc to a call that the peer's version does not have.
const unknownCall = "unknown rpc"

// LedgerHolder holds the sealed ledgers of other agents.
type LedgerHolder interface {
	Hold(now time.Time, o claimer.Handover) bool
	Fetch(now time.Time, f claimer.Fetch) claimer.Fetched
}

// errNoHolder means that the machine holds no ledgers of other agents.
var errNoHolder = eris.New("this machine holds no ledgers")

// Hold takes the ledger of the calling machine.
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

// Fetch gives the ledger of the calling machine away.
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

func (s *claimService) checkCaller(ctx context.Context, m registrar.MachineName) error {
	if s.holder == nil {
		return errNoHolder
	}
	if name, ok := peerName(ctx); ok && name != m {
		return eris.Wrapf(ErrPeer, "machine %q asks for the ledger of %q", name, m)
	}
	return nil
}

// dial opens a connection for one call that carries a ledger.
func (c *Claims) dial(ctx context.Context, p claimer.Peer) (*drpcconn.Conn, error) {
	d := tls.Dialer{Config: c.TLS()}
	raw, err := d.DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", p.Address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Hold asks a peer to hold a ledger. The error says why it was not accepted.
func (c *Claims) Hold(ctx context.Context, p claimer.Peer, o claimer.Handover) (claimer.HoldVerdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	// The connection is a new one, so that an error before the call proves that the peer has not got the ledger.
	conn, err := c.dial(ctx, p)
	if err != nil {
		return claimer.HoldRefused, err
	}
	defer closeLater(conn)
	reply, err := messenger.NewDRPCClaimsClient(conn).Hold(ctx, encoder.HandoverToMessage(o))
	switch {
	case err != nil && strings.Contains(err.Error(), unknownCall):
		return claimer.HoldRefused, eris.Wrapf(err, "version of %s", p.Machine)
	case err != nil:
		return claimer.HoldUncertain, eris.Wrapf(err, "hand over to %s", p.Machine)
	case !reply.GetAccepted():
		return claimer.HoldRefused, eris.Errorf("%s refused", p.Machine)
	}
	return claimer.HoldAccepted, nil
}

// Fetch asks a peer for the ledger of an earlier process. The result is valid even if the error is not nil.
func (c *Claims) Fetch(ctx context.Context, p claimer.Peer, f claimer.Fetch) (claimer.Fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	conn, err := c.dial(ctx, p)
	if err != nil {
		return claimer.Fetched{}, err
	}
	defer closeLater(conn)
	reply, err := messenger.NewDRPCClaimsClient(conn).Fetch(ctx, encoder.FetchToMessage(f))
	switch {
	case err != nil && strings.Contains(err.Error(), unknownCall):
		// A version without this call holds no ledgers.
		return claimer.Fetched{Verdict: claimer.FetchNone}, nil
	case err != nil:
		return claimer.Fetched{}, eris.Wrapf(err, "fetch from %s", p.Machine)
	}
	return encoder.FetchedFromMessage(reply)
}

// closeLater closes a connection in the background, because the end of a TLS connection is announced to the peer, which may
// take seconds if the connection is silent.
func closeLater(conn *drpcconn.Conn) {
	go func() { _ = conn.Close() }()
}
