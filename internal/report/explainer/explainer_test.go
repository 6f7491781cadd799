package explainer_test

import (
	"bytes"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/explainer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// recordedLog is the name of a log file in testdata. The file holds the lines of the machines that handled one request.
type recordedLog string

func (r recordedLog) Open() (io.ReadCloser, error) {
	return os.Open(filepath.Join("testdata", string(r)))
}

func (r recordedLog) Name() string { return string(r) }

// textLog is a log given as text.
type textLog string

func (l textLog) Open() (io.ReadCloser, error) {
	return io.NopCloser(strings.NewReader(string(l))), nil
}

func (textLog) Name() string { return "side-1" }

// TestExplain guards against a wrong finding for the three kinds of failed requests in docs/OPERATIONS.md, looked up by the id
// of the request, by flow and by caller.
func TestExplain(t *testing.T) {
	flow := registrar.Flow{Caller: netip.MustParseAddrPort("100.64.0.35:1072"), Service: netip.MustParseAddrPort("198.18.0.1:8443")}
	for _, tc := range []struct {
		log     string
		query   explainer.Query
		finding string
		lines   int
		// context is text of an event of a machine that was involved, or empty if no such event is expected.
		context string
	}{
		{
			log: "late.log", query: explainer.Query{Request: "7aa29c4323a55550"}, lines: 3,
			finding: "answered by the upstream at side-johor-b-1 after 154.674ms there; it reached that upstream 8.8ms after the first " +
				"line, with 6 requests at 2 slots of 7.749ms each, after 0 upstreams had returned its flow",
		},
		{
			log: "lost.log", query: explainer.Query{Request: "a345527b9e99c5a3"}, lines: 6, context: "machine started",
			finding: "reached the upstream at side-ec-sierra-a-1, with 23 requests at 3 slots, and got no answer; or its line is one " +
				"of those that this machine has left out of this second (event 3105)",
		},
		{
			log: "refused.log", query: explainer.Query{Flow: flow}, lines: 17, context: "lines about flows left out",
			finding: "refused by edge-johor-a-2: no_room, after 6 upstreams had returned its flow",
		},
		{
			log: "refused.log", query: explainer.Query{Caller: flow.Caller.Addr()}, lines: 17, context: "lines about flows left out",
			finding: "refused by edge-johor-a-2: no_room, after 6 upstreams had returned its flow",
		},
	} {
		t.Run(tc.log, func(t *testing.T) {
			p, err := explainer.Explain([]explainer.Log{recordedLog(tc.log)}, tc.query)
			require.NoError(t, err)
			require.Equal(t, tc.finding, p.Finding)
			require.Len(t, p.Lines, tc.lines)
			var b bytes.Buffer
			require.NoError(t, p.Write(&b))
			require.Contains(t, b.String(), tc.context)
		})
	}
}

// TestReusedFlow guards against showing lines of other requests on the same flow, or of an earlier flow with the same addresses
// and ports.
func TestReusedFlow(t *testing.T) {
	const flow = `"caller":"10.0.0.1:1","address":"10.0.0.2:2"`
	log := textLog(strings.Join([]string{
		`{"ts":100,"msg":"request begun","event":5302,"request":"old",` + flow + `}`,
		`{"ts":900,"msg":"request begun","event":5302,"request":"before",` + flow + `}`,
		`{"ts":901,"msg":"request answered","event":5303,"took_us":7,` + flow + `}`,
		`{"ts":902,"msg":"request begun","event":5302,"request":"it","busy":1,"slots":2,"work_us":10,` + flow + `}`,
		`a line of the runtime {`,
		`{"ts":903,"msg":"request answered","event":5303,"took_us":1000,` + flow + `}`,
		`{"ts":904,"msg":"request begun","event":5302,"request":"after",` + flow + `}`,
		`{"ts":905,"msg":"request answered","event":5303,"took_us":9,` + flow + `}`,
	}, "\n"))
	p, err := explainer.Explain([]explainer.Log{log}, explainer.Query{Request: "it"})
	require.NoError(t, err)
	require.Len(t, p.Lines, 2)
	require.Contains(t, p.Finding, "answered by the upstream at side-1 after 1ms there")
}

// TestLostWithUpstream guards against a finding for an unanswered request that does not say that its upstream was replaced.
func TestLostWithUpstream(t *testing.T) {
	const flow = `"caller":"10.0.0.1:1","address":"10.0.0.2:2"`
	log := textLog(strings.Join([]string{
		`{"ts":100,"msg":"upstream checked in","event":5304,"upstream":"i-1"}`,
		`{"ts":101,"msg":"request begun","event":5302,"request":"it","busy":1,"slots":2,` + flow + `}`,
		`{"ts":102,"msg":"upstream checked in","event":5304,"upstream":"i-2"}`,
	}, "\n"))
	p, err := explainer.Explain([]explainer.Log{log}, explainer.Query{Request: "it"})
	require.NoError(t, err)
	require.Contains(t, p.Finding, "got no answer; 1s later another upstream checked in at side-1, i-2")
}

// TestNotFound guards against reporting a request that reached no upstream as a lost one.
func TestNotFound(t *testing.T) {
	_, err := explainer.Explain([]explainer.Log{recordedLog("late.log")}, explainer.Query{Request: "none"})
	require.True(t, errors.Is(err, explainer.ErrNotFound))
	require.ErrorContains(t, err, "reached no upstream")
}
