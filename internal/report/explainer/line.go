// Package explainer finds, in the logs of all processes, what happened to a request or a flow, and where requests were lost.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxLineSize is the maximum length of a log line in bytes. Lines about the membership of the control log are the longest.
const maxLineSize = 1 << 20

// RequestID is the id that a caller gave a request.
type RequestID string

// Line is one line of a log.
type Line struct {
	At time.Time
	// Machine is the machine or process that wrote the line.
	Machine string
	// Text is the JSON object as it was written.
	Text string

	fields
}

// fields are the parsed fields of a log line. Absent ones are zero.
type fields struct {
	TS       float64        `json:"ts"`
	Message  string         `json:"msg"`
	Event    int            `json:"event"`
	Request  RequestID      `json:"request"`
	Caller   netip.AddrPort `json:"caller"`
	Address  netip.AddrPort `json:"address"`
	Reason   string         `json:"reason"`
	Upstream string         `json:"upstream"`
	Sequence uint64         `json:"sequence"`
	Busy     uint32         `json:"busy"`
	Slots    uint32         `json:"slots"`
	TookUS   int64          `json:"took_us"`
	WorkUS   int64          `json:"work_us"`
	ColdMS   int64          `json:"cold_ms"`
	WaitedMS int64          `json:"waited_ms"`
	LeftOut  uint64         `json:"lines"`
	Draining bool           `json:"draining"`
}

// flow returns the flow that the line is about, or the zero value if it is not about a flow.
func (l *Line) flow() registrar.Flow { return registrar.Flow{Caller: l.Caller, Service: l.Address} }

// lineReader reads the lines of a log that are numbered events.
type lineReader struct {
	lines *bufio.Scanner
	// machine is the machine name for lines that contain none.
	machine string
}

func newLineReader(r io.Reader, machine string) *lineReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineSize)
	return &lineReader{lines: lines, machine: machine}
}

// next returns the next line that is a numbered event, or nil at the end of the log. It skips other lines, such as those of the
// Go runtime. Log collectors put the name of the machine before the JSON object, so the last word there is taken as the name.
func (r *lineReader) next() (*Line, error) {
	for r.lines.Scan() {
		start := bytes.IndexByte(r.lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		prefix, object := r.lines.Bytes()[:start], r.lines.Bytes()[start:]
		l := &Line{Machine: r.machine}
		if json.Unmarshal(object, &l.fields) != nil || l.Event == 0 {
			continue
		}
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			l.Machine = words[len(words)-1]
		}
		l.Text = string(object)
		seconds, fraction := math.Modf(l.TS)
		l.At = time.Unix(int64(seconds), int64(fraction*1e9))
		return l, nil
	}
	return nil, eris.Wrapf(r.lines.Err(), "read log of %s", r.machine)
}

// scan calls f with each line of a log that is a numbered event.
func scan(r io.Reader, machine string, f func(*Line)) error {
	lines := newLineReader(r, machine)
	for {
		l, err := lines.next()
		if l == nil || err != nil {
			return err
		}
		f(l)
	}
}
