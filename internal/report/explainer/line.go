// Package explainer finds, in the logs of all processes, what happened to a request or a flow.
package explainer

import (
	"bufio"
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
	Busy     uint32         `json:"busy"`
	Slots    uint32         `json:"slots"`
	TookUS   int64          `json:"took_us"`
	WorkUS   int64          `json:"work_us"`
	ColdMS   int64          `json:"cold_ms"`
	Draining bool           `json:"draining"`
}

// flow returns the flow that the line is about, or the zero value if it is not about a flow.
func (l *Line) flow() registrar.Flow { return registrar.Flow{Caller: l.Caller, Service: l.Address} }

// scan calls f with each line of a log that is a numbered event. It skips other lines, such as those of the Go runtime. Log
// collectors put the name of the machine before the JSON object, so the last word there is taken as the name. The argument
// machine is used if there is no such word.
func scan(r io.Reader, machine string, f func(*Line)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		prefix, _, found := strings.Cut(lines.Text(), "{")
		if !found {
			continue
		}
		l := &Line{Machine: machine, Text: lines.Text()[len(prefix):]}
		if json.Unmarshal([]byte(l.Text), &l.fields) != nil || l.Event == 0 {
			continue
		}
		if words := strings.Fields(prefix); len(words) > 0 {
			l.Machine = words[len(words)-1]
		}
		seconds, fraction := math.Modf(l.TS)
		l.At = time.Unix(int64(seconds), int64(fraction*1e9))
		f(l)
	}
	return eris.Wrapf(lines.Err(), "read log of %s", machine)
}
