package connector

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// ErrRefused means that the control instance did not accept the machine or its announcement.
var ErrRefused = eris.New("refused by control")

// Client calls one machine and keeps its connection open between calls. The exported fields are set before first use.
type Client struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection; nil on a trusted network, where connections are plain.
	TLS func() *tls.Config
	// Traffic counts the bytes of all connections of the client.
	Traffic Traffic
	// Total counts the bytes of this client and of other clients together; nil to keep no total.
	Total *Traffic

	// mu is held during a call, because a drpc connection carries one call at a time.
	mu   sync.Mutex
	conn *drpcconn.Conn
}

// connect returns the open connection, or a new one if there is none. The caller holds mu.
func (c *Client) connect(ctx context.Context) (*drpcconn.Conn, error) {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	transport, err := c.dial(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", c.Address)
	}
	c.conn = drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
	return c.conn, nil
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Client) closeLocked() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Heartbeat sends a heartbeat. The reply is valid even if the error is ErrRefused. sentAt is a clock reading from before the
// heartbeat was sent.
func (c *Client) Heartbeat(ctx context.Context, h leaser.Heartbeat) (r subscriber.Reply, sentAt time.Time, err error) {
	m, err := encoder.HeartbeatToMessage(h)
	if err != nil {
		return r, sentAt, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connect(ctx)
	if err != nil {
		return r, sentAt, err
	}
	sentAt = time.Now()
	reply, err := messenger.NewDRPCControlClient(conn).Heartbeat(ctx, m)
	if err != nil {
		// The connection may be dead, so the next call opens a new one.
		c.closeLocked()
		return r, sentAt, eris.Wrapf(err, "heartbeat to %s", c.Address)
	}
	if r, err = encoder.ReplyFromMessage(reply); err != nil {
		return r, sentAt, err
	}
	if reply.GetRefusal() != "" {
		err = eris.Wrap(ErrRefused, reply.GetRefusal())
	}
	return r, sentAt, err
}
