// Package faulter carries datagrams over links that lose, delay, duplicate, reorder, corrupt or cut them.
package faulter

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are probabilities between 0 and 1 that apply to each datagram.
type Faults struct {
	// Cut loses every datagram.
	Cut       bool
	Drop      float64
	Duplicate float64
	// Corrupt is the probability that one bit is changed.
	Corrupt float64
	// Delay is the probability that a datagram is held for up to MaxDelay, which also reorders it.
	Delay    float64
	MaxDelay time.Duration
}

// Link applies faults to the datagrams of one direction. The exported field is set before first use.
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

// fate is what happens to one datagram.
type fate struct {
	lost, twice bool
	// flip is the position of the bit to change, or -1.
	flip int
	wait time.Duration
}

func (l *Link) draw(size int) fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random == nil {
		l.random = rand.New(rand.NewPCG(l.Seed, l.Seed))
	}
	f := fate{flip: -1}
	f.lost = l.random.Float64() < l.faults.Drop || l.faults.Cut
	f.twice = l.random.Float64() < l.faults.Duplicate
	if size > 0 && l.random.Float64() < l.faults.Corrupt {
		f.flip = l.random.IntN(8 * size)
	}
	if l.faults.MaxDelay > 0 && l.random.Float64() < l.faults.Delay {
		f.wait = time.Duration(l.random.Int64N(int64(l.faults.MaxDelay)))
	}
	return f
}

// Pass hands a datagram to send with the present faults. send may be called later, from another goroutine.
func (l *Link) Pass(payload []byte, send func([]byte)) {
	f := l.draw(len(payload))
	if f.lost {
		return
	}
	if f.flip >= 0 {
		payload = append([]byte(nil), payload...)
		payload[f.flip/8] ^= 1 << (f.flip % 8)
	}
	if f.twice {
		send(payload)
	}
	if f.wait == 0 {
		send(payload)
		return
	}
	held := append([]byte(nil), payload...)
	time.AfterFunc(f.wait, func() { send(held) })
}
