package replicator

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// heartbeatInterval is how often a leader sends an append to each peer, even without new entries.
	heartbeatInterval = 100 * time.Millisecond
	// joinInterval is how often an instance that knows no leader asks to join.
	joinInterval = 500 * time.Millisecond
	// maxBatchBytes bounds the size of the commands in one append, so that it does not delay the next heartbeat.
	maxBatchBytes = 256 << 10
	// maxInFlight bounds the entries sent to a peer that it has not acknowledged yet.
	maxInFlight = 2048
	// maxUncommitted bounds the entries that a leader appends while no majority acknowledges them.
	maxUncommitted = 16384
	// DefaultKeep is the value of Replica.Keep outside tests.
	DefaultKeep Index = 1024
	// KeepBytes bounds the commands of the entries that Replica.Keep keeps, because some commands hold a whole configuration.
	KeepBytes = 4 << 20
	// MaxAge is the largest age of the applied state at which a follower grants leases. A node that is refused a lease asks
	// another instance and still receives the newest revision within 3 s.
	MaxAge = 1 * time.Second
)

// Rand is a source of random numbers.
type Rand interface {
	elector.Rand
	Uint64() uint64
}

// State is the durable state of a member.
type State struct {
	Ballot   elector.Ballot
	Snapshot Snapshot
	// Entries are the log entries. The first ones may be covered by Snapshot.
	Entries []Entry
}

// Replica is one member of the replicated log. Start, Restart, Step and Take are called by one goroutine at a time; the other
// methods may be called concurrently with them. The exported fields are set before Start.
type Replica struct {
	Self MemberID
	Name registrar.MachineName
	// ConfiguredAddresses has the addresses of the control instances from the settings. They take precedence over addresses
	// in the log.
	ConfiguredAddresses map[registrar.MachineName]netip.AddrPort
	// Open adds every instance that asks to join as a member, and removes members that no longer answer. If it is false,
	// operators change the membership.
	Open bool
	// Joining is true if a log exists already, so that this instance does not found one.
	Joining bool
	// Volatile is true if this instance stores nothing on disk. It is used only if Open is true.
	Volatile bool
	// Address is the address that this instance listens on. It is used only if Open is true.
	Address netip.AddrPort
	Rand    Rand
	// Keep is how many entries before a snapshot are not compacted, so that a peer that was unreachable for a short time needs
	// no snapshot.
	Keep Index

	elector  elector.Elector
	log      Log
	stateAge stateAge
	peersMu  sync.RWMutex
	// peers has the progress of the other members. It is nil if this member is not the leader.
	peers map[MemberID]*Progress
	// peersChangedAt is when the set of peers last changed, at the earliest the time of the election. A removed member may have
	// answered until then.
	peersChangedAt time.Time
	// termStart is the index of the first entry of this leader's term, or 0 if this member is not the leader.
	termStart atomic.Uint64

	// now is the time of the event being handled.
	now       time.Time
	session   uint64
	startedAt time.Time
	commit    Index
	// snapshot is the newest durable snapshot.
	snapshot Snapshot
	// incoming is the part received so far of a snapshot from the leader.
	incoming        Snapshot
	nextHeartbeatAt time.Time
	nextJoinAt      time.Time
	// withoutLog has the instances whose last probe answer said that they have no log.
	withoutLog map[registrar.MachineName]probeResult
	// learned has the addresses of instances from their messages. The settings and the log may not have them.
	learned addressBook
	// unsafeSince is the time since which founding a new log could lose confirmed entries, or zero if it could not.
	unsafeSince time.Time
	effects     Effects
}

// Start initializes the member from the durable state.
func (r *Replica) Start(now time.Time, st State) error {
	r.session, r.startedAt = r.Rand.Uint64()|1, now
	r.elector = elector.Elector{Self: r.Self, Electorate: &r.log, Journal: &r.log, Rand: r.Rand}
	return r.load(now, st)
}

// Restart initializes the member again from the durable state, after a write to the disk has failed. The caller must not have
// sent messages or results of steps whose effects were not written, since the durable state does not contain them.
func (r *Replica) Restart(now time.Time, st State) error {
	r.termStart.Store(0)
	r.setPeers(nil)
	r.effects, r.incoming = Effects{}, Snapshot{}
	return r.load(now, st)
}

// load replaces the log, the commit index and the election state by the durable state.
func (r *Replica) load(now time.Time, st State) error {
	r.snapshot = st.Snapshot
	r.log.Reset(st.Snapshot.Position, st.Snapshot.Members)
	for _, e := range st.Entries {
		if e.Index <= st.Snapshot.Index {
			continue
		}
		if err := r.log.Append(e); err != nil {
			return eris.Wrap(err, "load log")
		}
	}
	r.commit = st.Snapshot.Index
	r.stateAge.setCommit(now, r.commit)
	r.stateAge.setApplied(now, r.commit)
	r.elector.Start(now, st.Ballot)
	return nil
}

// Step handles an event. Its effects are collected until the next call of Take.
func (r *Replica) Step(now time.Time, ev Event) {
	r.now = now
	switch ev := ev.(type) {
	case Tick:
		r.tick(now)
	case Received:
		r.receive(now, ev.Message)
	case Proposed:
		r.propose(now, ev)
	case Snapshotted:
		r.snapshot = ev.Snapshot
		r.log.CompactBefore(ev.Snapshot.Index, r.Keep, KeepBytes)
	}
}

// CompactedTo returns the index of the newest entry that the log no longer holds because a snapshot covers it.
func (r *Replica) CompactedTo() Index { return r.log.CompactedTo() }

// Take returns the effects of all steps since the last call, including appends of new entries to peers.
func (r *Replica) Take(now time.Time) Effects {
	r.flush(now)
	e := r.effects
	r.effects = Effects{}
	return e
}

// tick runs the timeouts of the elector, the heartbeats and the automatic membership changes.
func (r *Replica) tick(now time.Time) {
	r.applyOutcome(now, r.elector.Tick(now))
	role, leader := r.elector.RoleAndLeader()
	switch {
	case role == elector.Leader:
		r.repairMembership(now)
		if !now.Before(r.nextHeartbeatAt) {
			r.nextHeartbeatAt = now.Add(heartbeatInterval)
			r.forEachPeer(func(m Member, p *Progress) { r.heartbeat(now, m, p) })
		}
	case leader == 0 && !now.Before(r.nextJoinAt):
		r.joinOrFound(now)
	}
}

// applyOutcome carries out an outcome of the elector.
func (r *Replica) applyOutcome(now time.Time, out elector.Outcome) {
	if out.BallotChanged {
		b := r.elector.Ballot()
		r.effects.Ballot = &b
	}
	if out.Deposed {
		r.termStart.Store(0)
		r.setPeers(nil)
	}
	if out.VoteRequest != nil {
		members, _ := r.log.Members()
		for _, m := range members {
			if m.Voter && m.ID != r.Self {
				r.send(m, VoteRequest{*out.VoteRequest})
			}
		}
	}
	if out.Elected {
		r.setPeers(map[MemberID]*Progress{})
		r.nextHeartbeatAt = now
		// A leader knows which older entries are committed only once an entry of its own term is.
		r.appendNew(Entry{})
		r.termStart.Store(uint64(r.log.Last().Index))
		r.advanceCommit(now)
	}
}

// setPeers replaces the peers: nil at a follower, an empty map at a new leader, which is filled from the membership.
func (r *Replica) setPeers(peers map[MemberID]*Progress) {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	r.peers = peers
	if peers != nil {
		r.syncPeersLocked()
	}
}

// syncPeersLocked updates peers to the current membership. The caller holds peersMu.
func (r *Replica) syncPeersLocked() {
	members, _ := r.log.Members()
	next := map[MemberID]*Progress{}
	for _, m := range members {
		if m.ID == r.Self || m.ID == 0 {
			continue
		}
		if next[m.ID] = r.peers[m.ID]; next[m.ID] == nil {
			next[m.ID] = &Progress{name: m.Name, next: r.log.Last().Index + 1, addedAt: r.now}
		}
	}
	r.peers, r.peersChangedAt = next, r.now
}

// forEachPeer calls f for each peer while it holds the lock of the progress.
func (r *Replica) forEachPeer(f func(Member, *Progress)) {
	members, _ := r.log.Members()
	for _, m := range members {
		if p := r.peer(m.ID); p != nil {
			p.mu.Lock()
			f(m, p)
			p.mu.Unlock()
		}
	}
}

// peer returns the progress of a peer, or nil if the member is unknown or this member is not the leader.
func (r *Replica) peer(id MemberID) *Progress {
	r.peersMu.RLock()
	defer r.peersMu.RUnlock()
	return r.peers[id]
}

// appendNew appends a new entry at the leader and returns its position.
func (r *Replica) appendNew(e Entry) Position {
	e.Position = Position{Index: r.log.Last().Index + 1, Term: r.elector.Ballot().Term}
	r.appendEntry(e)
	if e.Members != nil {
		r.peersMu.Lock()
		r.syncPeersLocked()
		r.peersMu.Unlock()
	}
	return e.Position
}

// appendEntry appends an entry to the log and to the effects. It panics if the entry would replace a committed one: stopping the
// process is better than losing a confirmed entry.
func (r *Replica) appendEntry(e Entry) {
	if e.Index <= r.commit {
		panic(fmt.Sprintf("entry %d would replace a committed one; commit index is %d", e.Index, r.commit))
	}
	if err := r.log.Append(e); err != nil {
		panic(err)
	}
	r.effects.Append = append(r.effects.Append, e)
}

// propose appends a proposed entry if this member is the leader and can commit it durably.
func (r *Replica) propose(now time.Time, p Proposed) {
	w := Written{Token: p.Token}
	role, _ := r.elector.RoleAndLeader()
	switch {
	case role != elector.Leader:
		w.Err = ErrNotLeader
	case r.log.Last().Index-r.commit >= maxUncommitted:
		w.Err = eris.Wrap(ErrNotLeader, "no majority of voters acknowledges entries")
	case p.Change == nil && !r.confirmsDurably(now):
		w.Err = eris.Wrap(ErrNotLeader, "a voter without a disk would lose confirmed entries when its process ends")
	case p.Change != nil:
		w.Position, w.Err = r.changeMembers(now, *p.Change)
	default:
		w.Position = r.appendNew(Entry{Command: p.Command})
	}
	r.effects.Written = append(r.effects.Written, w)
	r.advanceCommit(now)
}

// advanceCommit advances the commit index of a leader to the newest entry that is durable at a majority of voters, if that entry
// is of the leader's own term.
func (r *Replica) advanceCommit(now time.Time) {
	if role, _ := r.elector.RoleAndLeader(); role != elector.Leader {
		return
	}
	match := r.majorityMatch()
	if t, ok := r.log.Term(match); !ok || t != r.elector.Ballot().Term {
		return
	}
	r.commitTo(now, match)
}

// commitTo advances the commit index and adds the newly committed entries to the effects.
func (r *Replica) commitTo(now time.Time, to Index) {
	to = min(to, r.log.Last().Index)
	for r.commit < to {
		entries := r.log.Slice(r.commit+1, maxBatchBytes)
		entries = entries[:min(len(entries), int(to-r.commit))]
		r.effects.Committed = append(r.effects.Committed, entries...)
		r.commit = entries[len(entries)-1].Index
	}
	r.stateAge.setCommit(now, r.commit)
	r.resignIfRemoved(now)
}

// Applied records that the state machine has applied the entries up to an index.
func (r *Replica) Applied(now time.Time, to Index) { r.stateAge.setApplied(now, to) }

// StateAge returns an upper bound on the age of the applied state: the state holds every entry that was confirmed longer ago than
// age. ok is false if the bound is unknown or the state is too old to grant leases.
func (r *Replica) StateAge(now time.Time) (age time.Duration, ok bool) {
	if r.elector.HoldsLease(now) {
		return r.stateAge.leaderAge(now, Index(r.termStart.Load()))
	}
	age, ok = r.stateAge.followerAge(now.Sub(r.startedAt))
	return age, ok && age <= MaxAge
}

// Leading reports whether this member is the leader and holds the leader lease.
func (r *Replica) Leading(now time.Time) bool { return r.elector.HoldsLease(now) }

// Leader returns the known leader; ok is false if there is none.
func (r *Replica) Leader() (m Member, ok bool) {
	_, id := r.elector.RoleAndLeader()
	if id == 0 {
		return Member{}, false
	}
	members, _ := r.log.Members()
	for _, m := range members {
		if m.ID == id {
			return r.resolveAddress(m), true
		}
	}
	return Member{}, false
}

// resolveAddress returns m with the address from the settings, else from the log, else from the messages of the instance.
func (r *Replica) resolveAddress(m Member) Member {
	if a, ok := r.ConfiguredAddresses[m.Name]; ok {
		m.Address = a
	}
	if !m.Address.IsValid() {
		m.Address = r.learned.address(m.Name)
	}
	return m
}

// send adds a message to the effects.
func (r *Replica) send(m Member, b Body) {
	m = r.resolveAddress(m)
	r.effects.Sends = append(r.effects.Sends, Send{Name: m.Name, Address: m.Address, Message: Message{
		From: r.Self, To: m.ID, Sender: r.Name, Address: r.Address, Term: r.elector.Ballot().Term, Body: b,
	}})
}

// readClock returns the clock reading of this process at now.
func (r *Replica) readClock(now time.Time) ClockReading {
	return ClockReading{Session: r.session, At: now.Sub(r.startedAt)}
}
