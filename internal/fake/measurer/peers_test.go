package measurer

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/driver"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() {
	register("control_bytes", measurePeerBytes)
	register("control_slow_disk", measureSlowDisk)
}

// measurePeerBytes measures the traffic between all control instances while idle and for each confirmed change.
func measurePeerBytes(t *testing.T, _ uint64) {
	const rest, changes = 20 * time.Second, 500
	g := newControlGroup(t, 2)
	time.Sleep(2 * time.Second)
	before, start := g.peerBytes(), time.Now()
	time.Sleep(rest)
	atRest := (g.peerBytes() - before) / time.Since(start).Seconds()
	t.Logf("at rest: %.0f bytes a second over 3 instances", atRest)
	l := g.leader()
	for what, i := range map[string]int{"leader": l, "follower": (l + 1) % 3} {
		before, start = g.peerBytes(), time.Now()
		for range changes {
			_, _, err := g.planAndConfirm(i)
			require.NoError(t, err)
		}
		sum := g.peerBytes() - before
		t.Logf("changes at the %s: %.0f bytes each (%.0f without those at rest)", what, sum/changes,
			(sum-atRest*time.Since(start).Seconds())/changes)
	}
}

// peerBytes returns the bytes of all calls between control instances. Each call is counted by its caller only.
func (g *controlGroup) peerBytes() float64 {
	var sum float64
	for i := range g.Controls {
		sum += g.Metrics(g.ControlAddr(i))["peridotstage_peer_bytes_total"]
	}
	return sum
}

// slowDisk simulates a slow disk. Its value is the delay that is added to each sync of a file.
type slowDisk time.Duration

// Sync implements journaler.Syncer.
func (d slowDisk) Sync(f *os.File) error {
	time.Sleep(time.Duration(d))
	return f.Sync()
}

// nullMachine is a state machine that ignores all entries.
type nullMachine struct{}

// Apply implements driver.StateMachine.
func (nullMachine) Apply(uint64, []byte) []byte { return nil }

// Snapshot implements driver.StateMachine.
func (nullMachine) Snapshot() ([]byte, error) { return nil, nil }

// Restore implements driver.StateMachine.
func (nullMachine) Restore([]byte) error { return nil }

// drivers holds the members of a control log in one process and passes their messages by method calls.
type drivers map[registrar.MachineName]*driver.Driver

// Send implements driver.Sender.
func (h drivers) Send(messages []replicator.Send) {
	for _, s := range messages {
		h[s.Name].Deliver([]replicator.Message{s.Message})
	}
}

// Forward implements driver.Forwarder.
func (h drivers) Forward(ctx context.Context, m replicator.Member, p replicator.Proposed) ([]byte, error) {
	return h[m.Name].ProposeHere(ctx, p)
}

// startDrivers runs three members on slow disks until the test ends.
func startDrivers(t *testing.T, disk slowDisk) drivers {
	h, folder := drivers{}, t.TempDir()
	members := map[registrar.MachineName]netip.AddrPort{}
	for i := range 3 {
		members[registrar.MachineName(fmt.Sprint("control-", i))] = netip.AddrPort{}
	}
	for n := range members {
		h[n] = &driver.Driver{
			Name: n, Folder: filepath.Join(folder, string(n)), Members: members, StateMachine: nullMachine{}, Sender: h, Forwarder: h,
			Recorder: recorder.Discard(), Syncer: disk,
		}
		require.NoError(t, h[n].Open())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, d := range h {
		wg.Go(func() { _ = d.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// measureSlowDisk measures the time to commit a log entry with slow disks, with one writer and with many, and how often the
// leader lease lapsed meanwhile.
func measureSlowDisk(t *testing.T, _ uint64) {
	const entries, entrySize = 100, 400
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		for _, writers := range []int{1, 32} {
			h := startDrivers(t, slowDisk(delay))
			first := h["control-0"]
			propose := func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_, err := first.Propose(ctx, make([]byte, entrySize))
				return err
			}
			require.NoError(t, propose())
			stop, lapses := h.countLeaseLapses()
			latency, failed := newHistogram(), 0
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range writers {
				wg.Go(func() {
					for range entries {
						start := time.Now()
						err := propose()
						mu.Lock()
						_ = latency.RecordValue(int64(time.Since(start)))
						if err != nil {
							failed++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			stop()
			report(t, fmt.Sprintf("sync delayed by %s, %d writers, %d failed, leader lease lapsed %d times", delay, writers, failed,
				*lapses), latency)
		}
	}
}

// countLeaseLapses counts how often the holder of the leader lease loses it, until stop is called.
func (h drivers) countLeaseLapses() (stop func(), lapses *int) {
	const interval = 5 * time.Millisecond
	lapses = new(int)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		last := h.leaseHolder()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			next := h.leaseHolder()
			if next != last && last != "" {
				*lapses++
			}
			last = next
		}
	}()
	return func() {
		close(done)
		<-ended
	}, lapses
}

// leaseHolder returns the member that holds the leader lease, or an empty name.
func (h drivers) leaseHolder() registrar.MachineName {
	for n, d := range h {
		if d.PeerBounds(time.Now()) != nil {
			return n
		}
	}
	return ""
}
