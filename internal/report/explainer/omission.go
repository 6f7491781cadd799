package explainer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// logSecond is what a process wrote about flows in one second.
type logSecond struct {
	second int64
	lines  int
	// leftOut is the number of lines that were left out. It is known when known is true.
	leftOut uint64
	known   bool
	// fullAfter is the part of the second after which nothing about flows was written, or 0 if all of it was.
	fullAfter float64
}

// lossy reports whether lines of the second were left out, or may have been.
func (s *logSecond) lossy() bool {
	return s.leftOut > 0 || !s.known && s.lines >= recorder.RoutineLines
}

// omissionTracker knows which lines each process left out, for the seconds of the last flowMemory.
type omissionTracker struct {
	// processes holds the seconds of each process with lines about flows, oldest first.
	processes map[string][]logSecond
	lines     uint64
	seconds   uint64
}

// take counts a line. A process reports what it left out in a second in front of its first line of a later one (event 3105).
func (t *omissionTracker) take(l *Line) {
	seconds := t.processes[l.Machine]
	if l.Event == recorder.LinesLeftOut.Number {
		t.lines += l.LeftOut
		t.seconds++
		if len(seconds) > 0 {
			seconds[len(seconds)-1].leftOut = l.LeftOut
			seconds[len(seconds)-1].known = true
		}
		return
	}
	if l.flow() == (registrar.Flow{}) {
		return
	}
	second := l.At.Unix()
	if len(seconds) == 0 || seconds[len(seconds)-1].second < second {
		if len(seconds) > 0 {
			seconds[len(seconds)-1].known = true
		}
		oldest := l.At.Add(-flowMemory).Unix()
		for len(seconds) > 0 && seconds[0].second < oldest {
			seconds = seconds[1:]
		}
		seconds = append(seconds, logSecond{second: second})
		t.processes[l.Machine] = seconds
	}
	last := &seconds[len(seconds)-1]
	last.lines++
	if last.lines == recorder.FlowLines {
		last.fullAfter = l.At.Sub(time.Unix(second, 0)).Seconds()
	}
}

// lossySeconds calls f with each second from a time to another in which a process left out lines.
func (t *omissionTracker) lossySeconds(process string, from, to time.Time, f func(*logSecond)) {
	seconds := t.processes[process]
	for i := range seconds {
		if s := &seconds[i]; s.second >= from.Unix() && s.second <= to.Unix() && s.lossy() {
			f(s)
		}
	}
}

// refusalScale returns the number of refusals that a refusal in a process's second stands for. Refusals are left out only when the
// second is full. They are assumed to go on at the same rate, and to be left out like other lines at most.
func (t *omissionTracker) refusalScale(process string, at time.Time) float64 {
	scale := 1.0
	t.lossySeconds(process, at, at, func(s *logSecond) {
		if s.fullAfter > 0 {
			scale = min(1/s.fullAfter, float64(uint64(s.lines)+s.leftOut)/float64(s.lines))
		}
	})
	return scale
}
