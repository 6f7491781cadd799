// Package connector carries calls between machines over drpc and mutually authenticated TLS.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// Server takes calls of other machines. The exported fields are set before Run.
type Server struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection.
	TLS func() *tls.Config
	// Heartbeats answers the heartbeats of nodes; nil on machines that do not.
	Heartbeats HeartbeatHandler
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error)
}

// Run serves calls until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if s.Heartbeats != nil {
		if err := messenger.DRPCRegisterControl(mux, &controlService{s.Heartbeats}); err != nil {
			return eris.Wrap(err, "register control service")
		}
	}
	cfg := &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		next := s.TLS()
		next.VerifyConnection = verifyMachine
		return next, nil
	}}
	raw, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.Address)
	}
	ln := tls.NewListener(&watchedListener{Listener: raw}, cfg)
	return eris.Wrap(drpcserver.New(mux).Serve(ctx, ln), "serve calls")
}

// ErrPeer means that a peer's certificate was not issued to a machine.
var ErrPeer = eris.New("peer is not a machine of the system")

func verifyMachine(st tls.ConnectionState) error {
	if _, ok := loader.PeerName(st, loader.HolderMachine); !ok {
		return ErrPeer
	}
	return nil
}

// controlService translates calls of messenger.Control.
type controlService struct {
	handler HeartbeatHandler
}

// Heartbeat answers one heartbeat.
func (s *controlService) Heartbeat(_ context.Context, m *messenger.HeartbeatRequest) (*messenger.HeartbeatReply, error) {
	h, err := encoder.HeartbeatFromMessage(m)
	if err != nil {
		return nil, err
	}
	r, refusal := s.handler.Heartbeat(time.Now(), h)
	reply, err := encoder.ReplyToMessage(r)
	if err != nil {
		return nil, err
	}
	if refusal != nil {
		reply.Refusal = refusal.Error()
	}
	return reply, nil
}
