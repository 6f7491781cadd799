package relayer

import (
	"errors"

	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
)

// exportWaits adds the metrics of opening packets that wait for room.
func exportWaits(e *exporter.Exporter, s *steerer.Steerer) error {
	outcomes := func(emit exporter.Emit) {
		s.WaitOutcomes(func(o steerer.WaitOutcome, n int64) { emit(n, attribute.String("outcome", o.String())) })
	}
	return errors.Join(
		e.Gauge("stream_openings_waiting", "Opening packets that wait for an upstream with room.",
			func(emit exporter.Emit) { emit(int64(s.Waiting())) }),
		e.Counter("stream_waits", "Ends of waits for room, by outcome.", outcomes),
	)
}
