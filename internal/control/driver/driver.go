// Package driver runs one member of the control log. It does the input and output of package replicator, which holds the
// protocol: timer ticks, disk writes and messages to other members.
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
	// tickInterval is the resolution of the election and heartbeat timers.
	tickInterval = 20 * time.Millisecond
	// eventQueueSize bounds the queued events. Messages that do not fit are dropped; the protocol tolerates lost messages.
	eventQueueSize = 4096
	// maxEventsPerWrite bounds the events handled before their effects are written to disk together.
	maxEventsPerWrite = 256
	// defaultSnapshotEntries is the default of Driver.SnapshotEntries. It bounds the entries that a restart has to apply.
	defaultSnapshotEntries = 2048
	// maxLogBytes is the size of the commands after a snapshot that causes the next one. It bounds the memory and the disk of the log, whose
	// commands may hold whole configurations.
	maxLogBytes = 8 << 20
)

// StateMachine applies log entries in order. Apply and Restore are called by one goroutine at a time.
type StateMachine interface {
	Apply(index uint64, entry []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Sender sends messages to other members. Send does not block.
type Sender interface {
	Send(messages []replicator.Send)
}

// Forwarder sends a proposal to the leader and returns the result, or an error of package replicator.
type Forwarder interface {
	Forward(ctx context.Context, leader replicator.Member, p replicator.Proposed) ([]byte, error)
}

// storage persists the identity, ballot, log entries and snapshot of a member.
type storage interface {
	// open loads the state, and creates an identity if there is none.
	open(folder string) (replicator.State, error)
	identity() replicator.MemberID
	write(e replicator.Effects) error
	saveSnapshot(snapshot replicator.Snapshot) error
	// release removes journal segments whose entries all have indexes up to upTo.
	release(upTo replicator.Index) error
	// reload loads the state again after a failed write.
	reload() (replicator.State, error)
	close() error
}

// Driver runs one member of the control log. The exported fields are set before Open.
type Driver struct {
	Name    registrar.MachineName
	Folder  string
	Members map[registrar.MachineName]netip.AddrPort
	// OpenMembership admits every instance that asks to join. Members is then a list of seeds, which may be incomplete. Address is
	// the address on which this instance accepts calls.
	OpenMembership bool
	Address        netip.AddrPort
	// Volatile keeps the state in memory only, so that it is lost when the process ends. Folder is then unused.
	Volatile bool
	// Joining prevents the member from founding a new log, because a log exists already.
	Joining      bool
	StateMachine StateMachine
	Sender       Sender
	Forwarder    Forwarder
	Recorder     *recorder.Recorder
	// Syncer flushes journal files to disk; nil means fsync.
	Syncer journaler.Syncer
	// SnapshotEntries is the number of entries between snapshots; 0 means the default.
	SnapshotEntries replicator.Index

	replica       replicator.Replica
	store         storage
	events        chan replicator.Event
	applier       applier
	proposals     pendingProposals
	loggedLeading bool
	stopped       chan struct{}
}

// Open loads the state from disk. No other method may be called before it has returned.
func (d *Driver) Open() error {
	start := time.Now()
	if d.SnapshotEntries == 0 {
		d.SnapshotEntries = defaultSnapshotEntries
	}
	d.events = make(chan replicator.Event, eventQueueSize)
	d.stopped = make(chan struct{})
	d.store = &store{journal: journaler.Journal{Syncer: d.Syncer}}
	if d.Volatile {
		d.store = &volatileStore{}
	}
	state, err := d.store.open(d.Folder)
	if err != nil {
		return err
	}
	if state.Snapshot.Index > 0 {
		if err := d.StateMachine.Restore(state.Snapshot.State); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
	}
	d.replica.Self, d.replica.Name, d.replica.ConfiguredAddresses = d.store.identity(), d.Name, d.Members
	d.replica.Open, d.replica.Joining, d.replica.Address = d.OpenMembership, d.Joining, d.Address
	d.replica.Volatile = d.Volatile
	d.replica.Rand, d.replica.Keep = &runtimeRand{}, replicator.DefaultKeep
	d.applier = applier{
		driver: d, appliedIndex: state.Snapshot.Index, savedIndex: state.Snapshot.Index, members: state.Snapshot.Members,
	}
	d.applier.wake = make(chan struct{}, 1)
	if err := d.replica.Start(time.Now(), state); err != nil {
		return err
	}
	d.Recorder.Info(recorder.LogOpened, zap.Uint64("member", uint64(d.store.identity())),
		zap.Uint64("snapshot", uint64(state.Snapshot.Index)), zap.Int("entries", len(state.Entries)),
		zap.Duration("duration", time.Since(start)))
	return nil
}

// runtimeRand is the random source of the protocol, seeded by the Go runtime.
type runtimeRand struct{}

// Int64N returns a random number below n.
func (*runtimeRand) Int64N(n int64) int64 { return rand.Int64N(n) }

// Uint64 returns a random number.
func (*runtimeRand) Uint64() uint64 { return rand.Uint64() }

// Run participates in the log until ctx is done or an error occurs from which the member cannot recover. After a failed write it
// reopens the data folder and continues.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	applierFailed := make(chan error, 1)
	wg.Go(func() {
		if err := d.applier.run(ctx); err != nil {
			applierFailed <- err
			cancel()
		}
	})
	err := d.loop(ctx)
	cancel()
	wg.Wait()
	close(d.stopped)
	select {
	case applierErr := <-applierFailed:
		err = applierErr
	default:
	}
	_ = d.store.close()
	return err
}

func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// A single voter founds its log on the first tick and becomes leader on the second.
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

// handleOrReopen handles an event, and reopens the data folder if a write fails.
func (d *Driver) handleOrReopen(ctx context.Context, ev replicator.Event) error {
	err := d.handle(ev)
	if eris.Is(err, errDiskWrite) {
		return d.reopen(ctx, err)
	}
	return err
}

// handle processes an event and those queued behind it, so that they share one disk write.
func (d *Driver) handle(ev replicator.Event) error {
	for n := 0; ; n++ {
		if err := d.step(ev); err != nil {
			return err
		}
		if n == maxEventsPerWrite {
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
	return d.applyEffects(now, d.replica.Take(now))
}

func (d *Driver) step(ev replicator.Event) error {
	d.replica.Step(time.Now(), ev)
	if s, ok := ev.(replicator.Snapshotted); ok {
		// The log may already start after a received snapshot that is not stored yet.
		return wrapDiskError(d.store.release(min(d.replica.CompactedTo(), s.Snapshot.Index)))
	}
	return nil
}

func (d *Driver) applyEffects(now time.Time, e replicator.Effects) error {
	if e.Failure != nil {
		return eris.Wrapf(e.Failure, "data folder %s", d.Folder)
	}
	if e.Install != nil {
		d.Recorder.Info(recorder.SnapshotInstalled, zap.Uint64("index", uint64(e.Install.Index)),
			zap.Int("bytes", len(e.Install.State)))
	}
	if err := d.store.write(e); err != nil {
		return wrapDiskError(err)
	}
	d.Sender.Send(e.Sends)
	for _, written := range e.Written {
		d.handleWritten(written)
	}
	d.applier.enqueue(e.Install, e.Committed)
	d.logLeadership(now)
	return nil
}

// handleWritten records where a proposal of this member was written, or fails it if it was rejected.
func (d *Driver) handleWritten(written replicator.Written) {
	if written.Err != nil {
		d.proposals.complete(replicator.Outcome{Token: written.Token, Err: written.Err})
		return
	}
	if outcome, ok := d.applier.pending.Add(written); ok {
		d.proposals.complete(outcome)
	}
}

// logLeadership logs when this member gains or loses leadership.
func (d *Driver) logLeadership(now time.Time) {
	leading := d.replica.Leading(now)
	if leading == d.loggedLeading {
		return
	}
	d.loggedLeading = leading
	if leading {
		d.Recorder.Info(recorder.LeadershipGained)
	} else {
		d.Recorder.Info(recorder.LeadershipLost)
	}
}

// Deliver queues messages received from other members. It drops those that do not fit into the queue.
func (d *Driver) Deliver(messages []replicator.Message) {
	for _, m := range messages {
		select {
		case d.events <- replicator.Received{Message: m}:
		default:
			return
		}
	}
}

// StateAge returns an upper bound on the age of the applied state. ok is false if the state is too old to grant leases.
func (d *Driver) StateAge(now time.Time) (age time.Duration, ok bool) { return d.replica.StateAge(now) }

// PeerBounds returns an upper bound on how recent the state of each other instance can be; nil unless this member is the
// leader and holds the leader lease.
func (d *Driver) PeerBounds(now time.Time) []replicator.PeerBound { return d.replica.PeerBounds(now) }

// Status returns the members as this member knows them.
func (d *Driver) Status() []replicator.MemberStatus { return d.replica.Status() }

// Admits reports whether a machine is a control instance according to the settings or the log.
func (d *Driver) Admits(name registrar.MachineName) bool {
	_, ok := d.AddressOf(name)
	return ok
}

// AddressOf returns the address of a control instance. An address in the settings takes precedence over one in the log.
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
