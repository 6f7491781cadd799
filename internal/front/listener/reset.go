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
	minResetSize   = 21
	maxResetSize   = 43
	resetTokenSize = 16
)

// sendReset sends a stateless reset to a caller whose connection was in a zone that operators have withdrawn. Without it the
// caller would wait for its idle timeout before it opens a connection to another zone. It sends no reset for any other
// drop reason, because the token of an open connection would let a third party end it (RFC 9000 section 21.11).
func (l *Listener) sendReset(reason carrier.DropReason, flow registrar.Flow, sc *scratch) {
	if reason != carrier.DropZoneWithdrawn {
		return
	}
	packetKind, connectionID := stamper.Parse(sc.datagram())
	size := min(sc.n-1, maxResetSize)
	if packetKind != stamper.ShortHeader || size < minResetSize {
		return
	}
	mac := hmac.New(sha256.New, l.ResetKey[:])
	mac.Write(connectionID)
	packet := make([]byte, size)
	if _, err := rand.Read(packet); err != nil {
		return
	}
	// A reset looks like a short-header packet: the first two bits are 01.
	packet[0] = packet[0]&0x3f | 0x40
	copy(packet[size-resetTokenSize:], mac.Sum(nil))
	if svc := (*l.services.Load())[flow.Service]; svc != nil && len(svc.sockets) > 0 {
		svc.sockets[0].Send(flow.Caller, packet)
	}
}
