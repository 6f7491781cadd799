package recorder

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of queued lines.
	queueCapacity = 4096
	// flushTimeout bounds the wait for the last lines to be written when the process ends.
	flushTimeout = 500 * time.Millisecond
)

// queue writes lines to a writer that may block, without making the caller wait. It drops and counts lines that do not fit.
type queue struct {
	// lines holds the queued lines. A nil line stops the writing goroutine.
	lines chan []byte
	// dropped counts the lines that did not fit.
	dropped atomic.Uint64
	done    chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := <-q.lines; b != nil; b = <-q.lines {
			// A write error is ignored, because it could only be reported in the log that cannot be written.
			_, _ = w.Write(b)
		}
	}()
	return q
}

// Write queues a copy of a line, or drops the line if the queue is full.
func (q *queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing, because lines are written as soon as the writer accepts them.
func (q *queue) Sync() error { return nil }

// close waits until the queued lines are written, at most for flushTimeout. Lines written after close are lost.
func (q *queue) close() {
	timer := time.NewTimer(flushTimeout)
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
