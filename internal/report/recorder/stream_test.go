package recorder_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestFlowLines guards against a log that grows with the load, against refusals left out in favour of routine lines, and against
// a sample that has only some lines of each flow: flows of the sampled ports keep all their lines.
func TestFlowLines(t *testing.T) {
	var b bytes.Buffer
	rec := recorder.New(&b)
	flow := func(port uint16) registrar.Flow {
		return registrar.Flow{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port),
			Service: netip.MustParseAddrPort("198.18.0.1:80"),
		}
	}
	// The lines may span two seconds, each of which has its own limit.
	for port := range uint16(300) {
		rec.Flow(recorder.FlowPlaced, flow(port))
		rec.Flow(recorder.RequestBegun, flow(port))
		rec.Flow(recorder.RequestAnswered, flow(port))
	}
	for port := range uint16(40) {
		rec.Flow(recorder.FlowReset, flow(port))
	}
	rec.Close()
	text := b.String()
	require.LessOrEqual(t, strings.Count(text, "\n"), 2*200+2)
	require.Equal(t, 40, strings.Count(text, recorder.FlowReset.Message))
	require.Equal(t, 3, strings.Count(text, `"caller":"100.64.0.1:152"`), "lines of a sampled flow are missing")
}
