package listener

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Sizes in bytes of a stateless reset (RFC 9000 section 10.3). A reset is shorter than the datagram that it answers, so that
// two endpoints cannot keep resetting each other.
const (
	resetMin   = 21
	resetMax   = 43
	resetToken = 16
)

// reset tells a caller that its connection is gone because operators have withdrawn the zone that held it. Without it the
// caller would wait for its idle timeout before it opens a connection to another zone. It is not sent for any other
// reason, since the token of a connection that lives would let a third party end it (RFC 9000 section 21.11).
func (l *Listener) reset(reason carrier.DropReason, flow registrar.Flow, sc *scratch) {
	if reason != carrier.DropZoneWithdrawn {
		return
	}
	kind, id := stamper.Parse(sc.datagram())
	size := min(sc.n-1, resetMax)
	if kind != stamper.ShortHeader || size < resetMin {
		return
	}
	mac := hmac.New(sha256.New, l.ResetKey[:])
	mac.Write(id)
	b := make([]byte, size)
	if _, err := rand.Read(b); err != nil {
		return
	}
	// A reset looks like a short-header packet: the first two bits are 01.
	b[0] = b[0]&0x3f | 0x40
	copy(b[size-resetToken:], mac.Sum(nil))
	if v := (*l.services.Load())[flow.Service]; v != nil && len(v.sockets) > 0 {
		v.sockets[0].Send(flow.Caller, b)
	}
}
