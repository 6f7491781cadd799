// Package faulter provides proxies that inject faults: UDP proxies that drop, delay, duplicate, reorder and corrupt
// datagrams, and TCP proxies that discard, delay and reset streams.
package faulter

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults describes the faults of a link. The numbers are probabilities between 0 and 1 that apply to each datagram.
type Faults struct {
	// Cut drops every datagram.
	Cut       bool
	Drop      float64
	Duplicate float64
	// Corrupt is the probability that one bit is flipped.
	Corrupt float64
	// Delay is the probability that a datagram is delayed by up to MaxDelay, which also reorders datagrams.
	Delay    float64
	MaxDelay time.Duration
}

// Link applies faults to the datagrams of one direction. Seed must be set before first use.
type Link struct {
	Seed uint64

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// SetFaults replaces the faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// treatment holds the faults that apply to one datagram.
type treatment struct {
	dropped, duplicated bool
	// flippedBit is the position of the bit to flip, or -1.
	flippedBit int
	delay      time.Duration
}

// draw chooses random faults for a datagram of size bytes.
func (l *Link) draw(size int) treatment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random == nil {
		l.random = rand.New(rand.NewPCG(l.Seed, l.Seed))
	}
	f := treatment{flippedBit: -1}
	f.dropped = l.random.Float64() < l.faults.Drop || l.faults.Cut
	f.duplicated = l.random.Float64() < l.faults.Duplicate
	if size > 0 && l.random.Float64() < l.faults.Corrupt {
		f.flippedBit = l.random.IntN(8 * size)
	}
	if l.faults.MaxDelay > 0 && l.random.Float64() < l.faults.Delay {
		f.delay = time.Duration(l.random.Int64N(int64(l.faults.MaxDelay)))
	}
	return f
}

// Pass applies the current faults to a datagram and calls send for each resulting copy. A delayed copy is sent from another
// goroutine, after Pass has returned.
func (l *Link) Pass(payload []byte, send func([]byte)) {
	f := l.draw(len(payload))
	if f.dropped {
		return
	}
	if f.flippedBit >= 0 {
		payload = append([]byte(nil), payload...)
		payload[f.flippedBit/8] ^= 1 << (f.flippedBit % 8)
	}
	if f.duplicated {
		send(payload)
	}
	if f.delay == 0 {
		send(payload)
		return
	}
	delayed := append([]byte(nil), payload...)
	time.AfterFunc(f.delay, func() { send(delayed) })
}
