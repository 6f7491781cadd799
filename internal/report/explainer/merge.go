package explainer

import (
	"container/heap"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// reorderWindow is how much later than lines with greater times a line may stand in a log. Collectors that join the logs of
// many machines write their lines in the order of arrival.
const reorderWindow = 2 * time.Second

// mergeLogs calls f with each event line of all logs in the order of their times. It holds one line of each log and the lines of
// reorderWindow in memory. A line that stands further behind is passed on out of order.
func mergeLogs(logs []Log, f func(*Line)) error {
	m := merger{emit: f}
	defer m.close()
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		m.logs = append(m.logs, r)
		if err := m.advance(newLineReader(r, log.Name())); err != nil {
			return err
		}
	}
	for len(m.heads) > 0 {
		h := heap.Pop(&m.heads).(*queuedLine)
		m.reorder(h.Line)
		if err := m.advance(h.source); err != nil {
			return err
		}
	}
	for len(m.window) > 0 {
		f(heap.Pop(&m.window).(*queuedLine).Line)
	}
	return nil
}

// queuedLine is a line that waits for its turn.
type queuedLine struct {
	*Line
	// source is the log that the line was read from. It is nil in the window.
	source *lineReader
	// number keeps lines with equal times in the order in which they were read.
	number int
}

// lineHeap is a heap of lines with the oldest one first.
type lineHeap []*queuedLine

func (h lineHeap) Len() int { return len(h) }

func (h lineHeap) Less(i, j int) bool {
	if c := h[i].At.Compare(h[j].At); c != 0 {
		return c < 0
	}
	return h[i].number < h[j].number
}

func (h lineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *lineHeap) Push(x any) { *h = append(*h, x.(*queuedLine)) }

func (h *lineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

// merger merges logs by time.
type merger struct {
	logs []io.Closer
	// heads holds the next line of each log that has not ended.
	heads lineHeap
	// window holds the lines that an older one may still follow.
	window lineHeap
	// newest is the greatest time of the lines so far.
	newest time.Time
	count  int
	emit   func(*Line)
}

// advance puts the next line of a log among the heads.
func (m *merger) advance(source *lineReader) error {
	l, err := source.next()
	if l == nil || err != nil {
		return err
	}
	m.count++
	heap.Push(&m.heads, &queuedLine{Line: l, source: source, number: m.count})
	return nil
}

// reorder puts a line into the window and emits the lines that have left it.
func (m *merger) reorder(l *Line) {
	l.Text = ""
	m.count++
	heap.Push(&m.window, &queuedLine{Line: l, number: m.count})
	if l.At.After(m.newest) {
		m.newest = l.At
	}
	for m.newest.Sub(m.window[0].At) > reorderWindow {
		m.emit(heap.Pop(&m.window).(*queuedLine).Line)
	}
}

// close closes the logs. They were only read, so an error has no consequence.
func (m *merger) close() {
	for _, log := range m.logs {
		_ = log.Close()
	}
}
