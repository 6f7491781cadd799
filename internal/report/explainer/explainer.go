package explainer

import (
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// contextMargin is how long before the first and after the last line of a request the events of its machines are shown. It
	// exceeds the longest time that the platform needs to detect a failed machine.
	contextMargin = 5 * time.Second
	// reuseInterval is the time after which a flow is assumed to be another one with the same addresses and ports: lines that are
	// further than this from the line of the request are left out.
	reuseInterval = 60 * time.Second
	// maxContextLines is the maximum number of machine events that are shown.
	maxContextLines = 50
	// maxRepeats is the maximum number of times that the same event of a machine is shown.
	maxRepeats = 2
)

// ErrNotFound means that no log has a line about the request, flow or caller of the query.
var ErrNotFound = eris.New("no line of these logs is about it")

// Log is the log of one process, or of several.
type Log interface {
	// Open opens the log at its beginning. It is called once for each pass over the log.
	Open() (io.ReadCloser, error)
	// Name returns the machine name for lines that contain none.
	Name() string
}

// Query selects what to explain: a request, a flow, or all flows of a caller's address that were refused.
type Query struct {
	Request RequestID
	Flow    registrar.Flow
	Caller  netip.Addr
}

// Path is the course of a request or flow as recorded in the logs.
type Path struct {
	// Lines are the lines about the request and its flow, oldest first.
	Lines []*Line
	// Context holds events of the machines that were involved, oldest first.
	Context []*Line
	// Finding says in one sentence how the request or flow ended, and the reason if these logs show it.
	Finding string
}

// Explain returns the path of the request or of the flows that a query selects. It returns ErrNotFound if no line is about them.
func Explain(logs []Log, q Query) (*Path, error) {
	flows, requestLine, err := findFlows(logs, q)
	if err != nil {
		return nil, err
	}
	var about []*Line
	err = forEachLine(logs, func(l *Line) {
		if flows[l.flow()] {
			about = append(about, l)
		}
	})
	if err != nil {
		return nil, err
	}
	sortByTime(about)
	if requestLine != nil {
		about = linesAround(about, requestLine)
	}
	if len(about) == 0 {
		return nil, eris.Wrap(ErrNotFound, q.hint())
	}
	p := &Path{Lines: about}
	if p.Context, err = findContext(logs, about); err != nil {
		return nil, err
	}
	p.Finding = conclude(p)
	return p, nil
}

// hint says what to look for next when no line was found.
func (q Query) hint() string {
	if q.Request == "" {
		return "the flow reached no machine that wrote about it, or its lines were left out (event 3105)"
	}
	return fmt.Sprintf("request %s reached no upstream, so nothing has seen its id, or its line was left out (event 3105); "+
		"look for refused flows of its caller with --caller", q.Request)
}

// findFlows returns the flows that a query selects, and the last line with the id of the request, or nil if there is none.
func findFlows(logs []Log, q Query) (map[registrar.Flow]bool, *Line, error) {
	flows := map[registrar.Flow]bool{}
	if q.Flow != (registrar.Flow{}) {
		flows[q.Flow] = true
		return flows, nil, nil
	}
	var requestLine *Line
	err := forEachLine(logs, func(l *Line) {
		switch {
		case q.Request != "" && l.Request == q.Request:
			flows[l.flow()], requestLine = true, l
		case q.Caller.IsValid() && l.Caller.Addr() == q.Caller && (l.Event == recorder.FlowReset.Number || l.Event == recorder.PacketDropped.Number):
			flows[l.flow()] = true
		}
	})
	return flows, requestLine, err
}

// forEachLine calls f with each event line of all logs.
func forEachLine(logs []Log, f func(*Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		err = scan(r, log.Name(), f)
		if closeErr := r.Close(); err == nil {
			err = eris.Wrap(closeErr, "close log")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func sortByTime(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
}

// linesAround returns the lines about the flow that carried a request, without those of earlier and later requests and of other
// flows with the same addresses and ports. requestLine is the line with the id of the request.
func linesAround(lines []*Line, requestLine *Line) []*Line {
	var kept []*Line
	for _, l := range lines {
		switch {
		case requestLine.At.Sub(l.At) > reuseInterval || l.At.Sub(requestLine.At) > reuseInterval:
		case l.Event == recorder.RequestBegun.Number && l.Request != requestLine.Request:
			if l.At.After(requestLine.At) {
				return kept
			}
		case l.Event == recorder.RequestAnswered.Number && l.At.Before(requestLine.At):
		default:
			kept = append(kept, l)
		}
	}
	return kept
}

// findContext returns events that do not concern a flow, from the machines that wrote the lines and from their upstreams.
func findContext(logs []Log, about []*Line) ([]*Line, error) {
	machines := map[string]bool{}
	for _, l := range about {
		machines[baseName(l.Machine)] = true
		machines[l.Upstream] = true
	}
	lastTime := about[len(about)-1].At
	from, to := about[0].At.Add(-contextMargin), lastTime.Add(contextMargin)
	var events []*Line
	lastCheckIns := map[string]checkIn{}
	err := forEachLine(logs, func(l *Line) {
		if l.flow() != (registrar.Flow{}) || !machines[baseName(l.Machine)] || l.Event == recorder.TrustedNetwork.Number {
			return
		}
		if l.Event == recorder.UpstreamCheckedIn.Number {
			current := checkIn{upstream: l.Upstream, draining: l.Draining, cold: l.ColdMS > 0}
			if lastCheckIns[l.Machine] == current {
				return
			}
			lastCheckIns[l.Machine] = current
		}
		if l.Event == recorder.LinesLeftOut.Number && (l.At.Before(lastTime) || l.At.Sub(lastTime) > omissionReportDelay) {
			return
		}
		if l.At.After(from) && l.At.Before(to) {
			events = append(events, l)
		}
	})
	// Keeps the events closest in time to the last line, because they are the most likely causes.
	slices.SortStableFunc(events, func(a, b *Line) int { return cmp.Compare(a.At.Sub(lastTime).Abs(), b.At.Sub(lastTime).Abs()) })
	events = dropRepeats(events)
	events = events[:min(len(events), maxContextLines)]
	sortByTime(events)
	return events, err
}

// dropRepeats keeps the first maxRepeats lines of each event of a machine and drops the others.
func dropRepeats(lines []*Line) []*Line {
	type machineEvent struct {
		machine string
		event   int
	}
	counts := map[machineEvent]int{}
	return slices.DeleteFunc(lines, func(l *Line) bool {
		k := machineEvent{l.Machine, l.Event}
		counts[k]++
		return counts[k] > maxRepeats
	})
}

// checkIn is the state that an upstream reports when it checks in. A check-in without a change of state is not shown.
type checkIn struct {
	upstream       string
	draining, cold bool
}

// baseName returns the name of a machine without the role that a log collector may append after a slash.
func baseName(machine string) string {
	name, _, _ := strings.Cut(machine, "/")
	return name
}

// conclude returns the finding: how the request or flow ended.
func conclude(p *Path) string {
	var begun, answered, refused *Line
	returned := 0
	for _, l := range p.Lines {
		switch l.Event {
		case recorder.RequestBegun.Number:
			begun, answered = l, nil
		case recorder.RequestAnswered.Number:
			answered = l
		case recorder.FlowReset.Number, recorder.PacketDropped.Number:
			refused = l
		case recorder.FlowReturned.Number:
			returned++
		}
	}
	first := p.Lines[0].At
	switch {
	case answered != nil && begun != nil:
		return fmt.Sprintf("answered by the upstream at %s after %v there; it reached that upstream %v after the first line, with %d "+
			"requests at %d slots of %v each, after %d upstreams had returned its flow", baseName(answered.Machine),
			micros(answered.TookUS), begun.At.Sub(first).Round(100*time.Microsecond), begun.Busy, begun.Slots, micros(begun.WorkUS), returned)
	case begun != nil:
		return fmt.Sprintf("reached the upstream at %s, with %d requests at %d slots, and got no answer%s", baseName(begun.Machine),
			begun.Busy, begun.Slots, p.lossCause(baseName(begun.Machine)))
	case refused != nil:
		return fmt.Sprintf("refused by %s: %s, after %d upstreams had returned its flow", baseName(refused.Machine), refused.Reason, returned)
	}
	return "placed, but no request of the flow was seen at the upstream" + p.lossCause(p.Lines[len(p.Lines)-1].Upstream)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// omissionReportDelay is the maximum time between a line of a flow and the event that reports lines omitted in the same second.
const omissionReportDelay = 2 * time.Second

// lossCause returns the event of a machine that explains a lost request or a missing line, or an empty string.
func (p *Path) lossCause(machine string) string {
	lastTime := p.Lines[len(p.Lines)-1].At
	upstream := ""
	for _, l := range p.Context {
		if baseName(l.Machine) != machine {
			continue
		}
		isReplaced := l.Event == recorder.UpstreamCheckedIn.Number && upstream != "" && l.Upstream != upstream
		upstream = cmp.Or(l.Upstream, upstream)
		if l.At.Before(lastTime) {
			continue
		}
		switch l.Event {
		case recorder.LinesLeftOut.Number:
			if l.At.Sub(lastTime) < omissionReportDelay {
				return "; or its line is one of those that this machine has left out of this second (event 3105)"
			}
		case recorder.MachineStarted.Number, recorder.StopBegun.Number, recorder.UpstreamLeaves.Number:
			return fmt.Sprintf("; %v later at %s: %s", l.At.Sub(lastTime).Round(time.Millisecond), machine, l.Message)
		case recorder.UpstreamCheckedIn.Number:
			if isReplaced {
				return fmt.Sprintf("; %v later another upstream checked in at %s, %s", l.At.Sub(lastTime).Round(time.Millisecond), machine, l.Upstream)
			}
		}
	}
	return ""
}

// Write writes the path as text for operators, with times in seconds after the first line.
func (p *Path) Write(w io.Writer) error {
	start := p.Lines[0].At
	if _, err := fmt.Fprintf(w, "%s\n\nfrom %s:\n", p.Finding, start.UTC().Format("2006-01-02 15:04:05.000000")); err != nil {
		return eris.Wrap(err, "write path")
	}
	if err := writeLines(w, start, p.Lines); err != nil || len(p.Context) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(w, "\nat these machines meanwhile:"); err != nil {
		return eris.Wrap(err, "write path")
	}
	return writeLines(w, start, p.Context)
}

func writeLines(w io.Writer, start time.Time, lines []*Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+10.4f  %-24s %s\n", l.At.Sub(start).Seconds(), l.Machine, l.Text); err != nil {
			return eris.Wrap(err, "write path")
		}
	}
	return nil
}
