// Package driver runs one member of the control log: it owns the timer, the disk and the sends, and carries out what package
// replicator decides.
package driver

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// tickInterval is the precision of the election and heartbeat times.
	tickInterval = 20 * time.Millisecond
	// eventQueue bounds the events that wait. Messages above it are dropped, as a network may do.
	eventQueue = 4096
	// maxEvents bounds the events that share one write to the disk.
	maxEvents = 256
	// snapshotEntries is the number of entries after which a snapshot is taken. It bounds the entries that a restart applies.
	snapshotEntries = 2048
)

// StateMachine applies log entries in order. Apply and Restore are called by one goroutine at a time.
type StateMachine interface {
	Apply(index uint64, entry []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Sender sends messages to other members. It does not block.
type Sender interface {
	Send(messages []replicator.Send)
}

// Forwarder passes a proposal to the leader and returns its result, or an error of package replicator.
type Forwarder interface {
	Forward(ctx context.Context, leader replicator.Member, p replicator.Proposed) ([]byte, error)
}

// storage keeps what a member has promised.
type storage interface {
	// open loads the state and gives a member without one an identity.
	open(folder string) (replicator.State, error)
	identity() replicator.MemberID
	write(e replicator.Effects) error
	saveSnapshot(n replicator.Snapshot) error
	release(upTo replicator.Index) error
	// reload reads the state again after a failed write.
	reload() (replicator.State, error)
	close() error
}

// Driver runs a member. The exported fields are set before Open.
type Driver struct {
	Name    registrar.MachineName
	Folder  string
	Members map[registrar.MachineName]netip.AddrPort
	// OpenMembership lets any instance join that asks for it; Members then are seeds, which need not be all. Address is where this
	// instance takes calls.
	OpenMembership bool
	Address        netip.AddrPort
	// Volatile says that the member keeps nothing when its process ends; Folder is not used then.
	Volatile bool
	// Joining forbids founding a log, because one exists already.
	Joining   bool
	Machine   StateMachine
	Sender    Sender
	Forwarder Forwarder
	Recorder  *recorder.Recorder
	// Syncer makes the journal durable; nil stands for fsync.
	Syncer journaler.Syncer
	// SnapshotEntries is the number of entries after which a snapshot is taken; 0 stands for a default.
	SnapshotEntries replicator.Index

	replica replicator.Replica
	store   storage
	events  chan replicator.Event
	applier applier
	waiters waiters
	leading bool
	ended   chan struct{}
}

// Open loads the state from the disk. It must return before the other methods are called.
func (d *Driver) Open() error {
	start := time.Now()
	if d.SnapshotEntries == 0 {
		d.SnapshotEntries = snapshotEntries
	}
	d.events = make(chan replicator.Event, eventQueue)
	d.ended = make(chan struct{})
	d.store = &store{journal: journaler.Journal{Syncer: d.Syncer}}
	if d.Volatile {
		d.store = &volatileStore{}
	}
	st, err := d.store.open(d.Folder)
	if err != nil {
		return err
	}
	if st.Snapshot.Index > 0 {
		if err := d.Machine.Restore(st.Snapshot.State); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
	}
	d.replica.Self, d.replica.Name, d.replica.Known = d.store.identity(), d.Name, d.Members
	d.replica.Open, d.replica.Joining, d.replica.Address = d.OpenMembership, d.Joining, d.Address
	d.replica.Volatile = d.Volatile
	d.replica.Rand, d.replica.Keep = &source{}, replicator.DefaultKeep
	d.applier = applier{driver: d, applied: st.Snapshot.Index, saved: st.Snapshot.Index, members: st.Snapshot.Members}
	d.applier.wake = make(chan struct{}, 1)
	if err := d.replica.Start(time.Now(), st); err != nil {
		return err
	}
	d.Recorder.Info(recorder.LogOpened, zap.Uint64("member", uint64(d.store.identity())),
		zap.Uint64("snapshot", uint64(st.Snapshot.Index)), zap.Int("entries", len(st.Entries)),
		zap.Duration("duration", time.Since(start)))
	return nil
}

// source is the random source of the protocol. The runtime seeds it.
type source struct{}

// Int64N returns a random number below n.
func (*source) Int64N(n int64) int64 { return rand.Int64N(n) }

// Uint64 returns a random number.
func (*source) Uint64() uint64 { return rand.Uint64() }

// Run takes part in the log until ctx ends or the disk fails.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	wg.Go(func() {
		if err := d.applier.run(ctx); err != nil {
			failed <- err
			cancel()
		}
	})
	err := d.loop(ctx)
	cancel()
	wg.Wait()
	close(d.ended)
	select {
	case e := <-failed:
		err = e
	default:
	}
	_ = d.store.close()
	return err
}

func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// A sole voter founds its log with the first tick and leads with the second.
	for range 2 {
		if err := d.handleOrReopen(ctx, replicator.Tick{}); err != nil {
			return err
		}
	}
	for {
		var ev replicator.Event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ev = replicator.Tick{}
		case ev = <-d.events:
		}
		if err := d.handleOrReopen(ctx, ev); err != nil {
			return err
		}
	}
}

// handleOrReopen handles an event, and starts again from the disk if that does not take a write.
func (d *Driver) handleOrReopen(ctx context.Context, ev replicator.Event) error {
	err := d.handle(ev)
	if eris.Is(err, errDisk) {
		return d.reopen(ctx, err)
	}
	return err
}

// handle takes an event and those that wait behind it, so that they share one write to the disk.
func (d *Driver) handle(ev replicator.Event) error {
	for n := 0; ; n++ {
		if err := d.step(ev); err != nil {
			return err
		}
		if n == maxEvents {
			break
		}
		select {
		case ev = <-d.events:
			continue
		default:
		}
		break
	}
	now := time.Now()
	return d.carryOut(now, d.replica.Take(now))
}

func (d *Driver) step(ev replicator.Event) error {
	d.replica.Step(time.Now(), ev)
	if s, ok := ev.(replicator.Snapshotted); ok && s.Snapshot.Index > replicator.DefaultKeep {
		return diskError(d.store.release(s.Snapshot.Index - replicator.DefaultKeep))
	}
	return nil
}

func (d *Driver) carryOut(now time.Time, e replicator.Effects) error {
	if e.Failure != nil {
		return eris.Wrapf(e.Failure, "data folder %s", d.Folder)
	}
	if e.Install != nil {
		d.Recorder.Info(recorder.SnapshotInstalled, zap.Uint64("index", uint64(e.Install.Index)),
			zap.Int("bytes", len(e.Install.State)))
	}
	if err := d.store.write(e); err != nil {
		return diskError(err)
	}
	d.Sender.Send(e.Sends)
	for _, w := range e.Written {
		d.written(w)
	}
	d.applier.add(e.Install, e.Committed)
	d.reportLead(now)
	return nil
}

func (d *Driver) written(w replicator.Written) {
	if w.Err != nil {
		d.waiters.finish(replicator.Outcome{Token: w.Token, Err: w.Err})
		return
	}
	if o, ok := d.applier.pending.Add(w); ok {
		d.waiters.finish(o)
	}
}

// reportLead logs the beginning and the end of leadership.
func (d *Driver) reportLead(now time.Time) {
	leading := d.replica.Leading(now)
	if leading == d.leading {
		return
	}
	d.leading = leading
	if leading {
		d.Recorder.Info(recorder.LeadGained)
	} else {
		d.Recorder.Info(recorder.LeadLost)
	}
}

// Deliver takes messages of other members.
func (d *Driver) Deliver(messages []replicator.Message) {
	for _, m := range messages {
		select {
		case d.events <- replicator.Received{Message: m}:
		default:
			return
		}
	}
}

// Vouch returns how old the applied state may be. ok is false if it is too old to grant leases.
func (d *Driver) Vouch(now time.Time) (age time.Duration, ok bool) { return d.replica.Vouch(now) }

// Knowledge bounds what the other instances know; nil unless this member is the leader and holds the lease.
func (d *Driver) Knowledge(now time.Time) []replicator.Knowledge { return d.replica.Knowledge(now) }

// Status returns the members as this member knows them.
func (d *Driver) Status() []replicator.MemberStatus { return d.replica.Status() }

// Admits reports whether a machine is a control instance by the settings or by the log.
func (d *Driver) Admits(name registrar.MachineName) bool {
	_, ok := d.AddressOf(name)
	return ok
}

// AddressOf returns where a control instance takes calls. Settings go before the log.
func (d *Driver) AddressOf(name registrar.MachineName) (netip.AddrPort, bool) {
	if a, ok := d.Members[name]; ok {
		return a, true
	}
	for _, m := range d.replica.Status() {
		if m.Name == name {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// Others returns the names of the other control instances in the log.
func (d *Driver) Others() []registrar.MachineName {
	var names []registrar.MachineName
	for _, m := range d.replica.Status() {
		if m.Name != d.Name && m.ID != 0 && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}
