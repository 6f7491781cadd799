package runner

import (
	"context"
	"net/http"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Orders carries out the orders of operators.
type Orders interface {
	Replace(ctx context.Context, r planner.Replacement) error
	Read(ctx context.Context) ([]byte, error)
	SwitchZone(ctx context.Context, zone registrar.ZoneName, withdraw bool) error
}

// Platform translates between the formats of a platform and the types of the product. It decides nothing.
type Platform interface {
	// Operators returns the handler for calls of operators.
	Operators(o Orders) http.Handler
}
