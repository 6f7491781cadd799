package recorder

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for a reader of the log.
	queueLines = 4096
	// flushTime bounds the wait for the last lines at the end of a process.
	flushTime = 500 * time.Millisecond
)

// queue passes lines on to a writer that may block, without waiting for it. Lines that do not fit are lost and counted.
type queue struct {
	// lines ends with nil.
	lines chan []byte
	// lost counts the lines that did not fit.
	lost atomic.Uint64
	done chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := <-q.lines; b != nil; b = <-q.lines {
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(b)
		}
	}()
	return q
}

// Write queues a line.
func (q *queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.lost.Add(1)
	}
	return len(b), nil
}

// Sync does nothing, because lines are written as soon as the writer takes them.
func (q *queue) Sync() error { return nil }

// close writes the lines that wait. Later ones are lost.
func (q *queue) close() {
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case q.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-q.done:
	case <-timer.C:
	}
}
