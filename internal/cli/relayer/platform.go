package relayer

import (
	"net/http"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/admitter"
	"github.com/peridotstage/peridotstage/internal/front/streamer"
)

// CheckIns receives the reports of upstreams about themselves.
type CheckIns interface {
	CheckIn(now time.Time, c admitter.CheckIn) error
	Leave(name string)
}

// Platform translates between the formats of a platform and the types of the product. It decides nothing.
type Platform interface {
	// Codec returns the codec for the packets of stream flows.
	Codec() streamer.Codec
	// CheckIns returns the handler for calls of upstreams.
	CheckIns(c CheckIns) http.Handler
}
