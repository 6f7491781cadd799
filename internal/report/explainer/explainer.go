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
	// contextTime is how long before and after a request the events of its machines are shown. It is above the longest time
	// in which the platform notices that a machine is gone.
	contextTime = 5 * time.Second
	// reuseTime is the shortest time after which a caller is taken to have used the ends of a flow again for another one.
	reuseTime = 60 * time.Second
	// maxContext bounds the events of machines that are shown.
	maxContext = 50
	// maxRepeated bounds how often the same event of a machine is shown.
	maxRepeated = 2
)

// ErrNotFound means that no log has a line about what was asked for.
var ErrNotFound = eris.New("no line of these logs is about it")

// Log is the log of one process, or of several.
type Log interface {
	// Open opens the log from its start. It is called more than once.
	Open() (io.ReadCloser, error)
	// Name names the machine of lines that do not name one themselves.
	Name() string
}

// Query says what to explain: a request, a flow, or all flows of a caller's address that were refused.
type Query struct {
	Request RequestID
	Flow    registrar.Flow
	Caller  netip.Addr
}

// Path is what the logs say of a request.
type Path struct {
	// Lines are about the request and its flow, oldest first.
	Lines []*Line
	// Context are events of the machines that took part, oldest first.
	Context []*Line
	// Finding says in one sentence how it ended, and why as far as these logs tell.
	Finding string
}

// Explain reads the logs. It returns ErrNotFound if no line is about what was asked for.
func Explain(logs []Log, q Query) (*Path, error) {
	flows, found, err := findFlows(logs, q)
	if err != nil {
		return nil, err
	}
	var about []*Line
	err = each(logs, func(l *Line) {
		if flows[l.flow()] {
			about = append(about, l)
		}
	})
	if err != nil {
		return nil, err
	}
	sortByTime(about)
	if found != nil {
		about = around(about, found)
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

// hint says where to look when nothing was found.
func (q Query) hint() string {
	if q.Request == "" {
		return "the flow reached no machine that wrote about it, or its lines were left out (event 3105)"
	}
	return fmt.Sprintf("request %s reached no upstream, so nothing has seen its id, or its line was left out (event 3105); "+
		"look for refused flows of its caller with --caller", q.Request)
}

// findFlows returns the flows that a query is about, and the line that names the request if there is one.
func findFlows(logs []Log, q Query) (map[registrar.Flow]bool, *Line, error) {
	flows := map[registrar.Flow]bool{}
	if q.Flow != (registrar.Flow{}) {
		flows[q.Flow] = true
		return flows, nil, nil
	}
	var found *Line
	err := each(logs, func(l *Line) {
		switch {
		case q.Request != "" && l.Request == q.Request:
			flows[l.flow()], found = true, l
		case q.Caller.IsValid() && l.Caller.Addr() == q.Caller && (l.Event == recorder.FlowReset.Number || l.Event == recorder.PacketDropped.Number):
			flows[l.flow()] = true
		}
	})
	return flows, found, err
}

// each calls f with the events of all logs.
func each(logs []Log, f func(*Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		err = scan(r, log.Name(), f)
		if cerr := r.Close(); err == nil {
			err = eris.Wrap(cerr, "close log")
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

// around returns the lines about the use of a flow that carried a request, without the requests that followed it there.
func around(lines []*Line, request *Line) []*Line {
	var kept []*Line
	for _, l := range lines {
		switch {
		case request.At.Sub(l.At) > reuseTime || l.At.Sub(request.At) > reuseTime:
		case l.Event == recorder.RequestBegun.Number && l.Request != request.Request:
			if l.At.After(request.At) {
				return kept
			}
		case l.Event == recorder.RequestAnswered.Number && l.At.Before(request.At):
		default:
			kept = append(kept, l)
		}
	}
	return kept
}

// findContext returns events that are about no flow, of the machines that wrote lines and of the upstreams named in them.
func findContext(logs []Log, about []*Line) ([]*Line, error) {
	machines := map[string]bool{}
	for _, l := range about {
		machines[baseName(l.Machine)] = true
		machines[l.Upstream] = true
	}
	last := about[len(about)-1].At
	from, to := about[0].At.Add(-contextTime), last.Add(contextTime)
	var found []*Line
	standing := map[string]checkIn{}
	err := each(logs, func(l *Line) {
		if l.flow() != (registrar.Flow{}) || !machines[baseName(l.Machine)] || l.Event == recorder.TrustedNetwork.Number {
			return
		}
		if l.Event == recorder.UpstreamHeard.Number {
			now := checkIn{upstream: l.Upstream, draining: l.Draining, cold: l.ColdMS > 0}
			if standing[l.Machine] == now {
				return
			}
			standing[l.Machine] = now
		}
		if l.Event == recorder.LinesLeftOut.Number && (l.At.Before(last) || l.At.Sub(last) > leftOutTime) {
			return
		}
		if l.At.After(from) && l.At.Before(to) {
			found = append(found, l)
		}
	})
	// The events that are closest in time say most.
	slices.SortStableFunc(found, func(a, b *Line) int { return cmp.Compare(a.At.Sub(last).Abs(), b.At.Sub(last).Abs()) })
	found = fewOfEach(found)
	found = found[:min(len(found), maxContext)]
	sortByTime(found)
	return found, err
}

// fewOfEach drops the events that a machine has repeated more than maxRepeated times, the later ones in the slice.
func fewOfEach(lines []*Line) []*Line {
	type kind struct {
		machine string
		event   int
	}
	seen := map[kind]int{}
	return slices.DeleteFunc(lines, func(l *Line) bool {
		k := kind{l.Machine, l.Event}
		seen[k]++
		return seen[k] > maxRepeated
	})
}

// checkIn is what an upstream said of itself. A check-in that repeats it is routine.
type checkIn struct {
	upstream       string
	draining, cold bool
}

// baseName is a machine without the role that a log collector may add after a slash.
func baseName(machine string) string {
	name, _, _ := strings.Cut(machine, "/")
	return name
}

// conclude says how a request or flow ended.
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
			begun.Busy, begun.Slots, p.lossAt(baseName(begun.Machine)))
	case refused != nil:
		return fmt.Sprintf("refused by %s: %s, after %d upstreams had returned its flow", baseName(refused.Machine), refused.Reason, returned)
	}
	return "placed, but no request of the flow was seen at the upstream" + p.lossAt(p.Lines[len(p.Lines)-1].Upstream)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// leftOutTime is how long after a line of a flow a machine says that it has left out others of that second.
const leftOutTime = 2 * time.Second

// lossAt names the events of a machine that explain a lost request, or the lack of a line about it.
func (p *Path) lossAt(machine string) string {
	last := p.Lines[len(p.Lines)-1].At
	upstream := ""
	for _, l := range p.Context {
		if baseName(l.Machine) != machine {
			continue
		}
		another := l.Event == recorder.UpstreamHeard.Number && upstream != "" && l.Upstream != upstream
		upstream = cmp.Or(l.Upstream, upstream)
		if l.At.Before(last) {
			continue
		}
		switch l.Event {
		case recorder.LinesLeftOut.Number:
			if l.At.Sub(last) < leftOutTime {
				return "; or its line is one of those that this machine has left out of this second (event 3105)"
			}
		case recorder.MachineStarted.Number, recorder.StopBegun.Number, recorder.UpstreamLeaves.Number:
			return fmt.Sprintf("; %v later at %s: %s", l.At.Sub(last).Round(time.Millisecond), machine, l.Message)
		case recorder.UpstreamHeard.Number:
			if another {
				return fmt.Sprintf("; %v later another upstream checked in at %s, %s", l.At.Sub(last).Round(time.Millisecond), machine, l.Upstream)
			}
		}
	}
	return ""
}

// Write writes the path for a reader, times in seconds after the first line.
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
