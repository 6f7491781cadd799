// Package connector carries calls between machines over drpc and mutually authenticated TLS.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Server answers calls of other machines. The exported fields are set before Run.
type Server struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection; nil on a trusted network, where connections are plain.
	TLS func() *tls.Config
	// Heartbeats answers the heartbeats of nodes; nil on machines that answer none.
	Heartbeats HeartbeatHandler
	// Collector holds the sessions that other control instances request; nil on machines that keep none.
	Collector *Collector
	// Consensus handles messages of other control instances; nil on machines that are not control instances.
	Consensus ConsensusHandler
	// Claims answers the claims of other agents; nil on machines that answer none.
	Claims ClaimHandler
	// Ledgers stores the sealed ledgers of other agents; nil on machines that store none.
	Ledgers LedgerHolder
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error)
}

// Run serves calls until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if s.Heartbeats != nil {
		if err := messenger.DRPCRegisterControl(mux, &controlService{handler: s.Heartbeats, collector: s.Collector}); err != nil {
			return eris.Wrap(err, "register control service")
		}
	}
	if s.Consensus != nil {
		if err := messenger.DRPCRegisterConsensus(mux, &consensusService{s.Consensus, s.TLS == nil}); err != nil {
			return eris.Wrap(err, "register consensus service")
		}
	}
	if s.Claims != nil {
		if err := messenger.DRPCRegisterClaims(mux, &claimService{s.Claims, s.Ledgers}); err != nil {
			return eris.Wrap(err, "register claims service")
		}
	}
	raw, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.Address)
	}
	ln := net.Listener(&timeoutListener{Listener: raw})
	if s.TLS != nil {
		ln = tls.NewListener(ln, s.tlsConfig())
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return serve(ctx, server, ln)
}

// tlsConfig returns a configuration that calls s.TLS for each connection, so that renewed certificates take effect.
func (s *Server) tlsConfig() *tls.Config {
	return &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cfg := s.TLS()
		cfg.VerifyConnection = verifyMachine
		return cfg, nil
	}}
}

// serve accepts connections until ctx ends. Unlike drpcserver's Serve it passes the connection to the handlers, which read the
// peer's certificate from it.
func serve(ctx context.Context, server *drpcserver.Server, ln net.Listener) error {
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case eris.Is(err, net.ErrClosed):
			return eris.Wrap(err, "serve calls")
		case err != nil:
			// The error may be temporary, for example a lack of file descriptors.
			time.Sleep(acceptRetryDelay)
			continue
		}
		tracker.Run(func(ctx context.Context) {
			// An error ends only this connection, and the peer receives it.
			_ = server.ServeOne(drpcctx.WithTransport(ctx, conn), conn)
		})
	}
}

// acceptRetryDelay is the delay after a connection could not be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// ErrPeer means that a peer's certificate was not issued to a machine that may make the call.
var ErrPeer = eris.New("peer is not a machine of the system")

// verifyMachine refuses a peer whose certificate was not issued to a machine.
func verifyMachine(st tls.ConnectionState) error {
	if _, ok := loader.PeerName(st, loader.HolderMachine); !ok {
		return ErrPeer
	}
	return nil
}

// maxMessageSize is the largest size in bytes of a message between machines. The full state at the design size takes several
// megabytes.
const maxMessageSize = 64 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// peerName returns the machine that the certificate of a call's sender was issued to. It returns false for a call without TLS,
// for example in tests of handlers.
func peerName(ctx context.Context) (registrar.MachineName, bool) {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return "", false
	}
	name, _ := loader.PeerName(conn.ConnectionState(), loader.HolderMachine)
	return registrar.MachineName(name), true
}

// controlService implements messenger.Control.
type controlService struct {
	handler   HeartbeatHandler
	collector *Collector
	replies   encoder.ReplyEncoder
}

// Heartbeat implements messenger.Control.
func (s *controlService) Heartbeat(ctx context.Context, m *messenger.HeartbeatRequest) (*messenger.HeartbeatReply, error) {
	h, err := encoder.HeartbeatFromMessage(m)
	if err != nil {
		return nil, err
	}
	if name, ok := peerName(ctx); ok && name != h.Machine.Name {
		return nil, eris.Wrapf(ErrPeer, "machine %q sent a heartbeat of %q", name, h.Machine.Name)
	}
	r, refusal := s.handler.Heartbeat(time.Now(), h)
	reply, err := s.replies.ToMessage(r, m.GetReadsPacked())
	if err != nil {
		return nil, err
	}
	if refusal != nil {
		reply.Refusal = refusal.Error()
	}
	return reply, nil
}
