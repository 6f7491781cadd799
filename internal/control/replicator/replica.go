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
	// heartbeatInterval is how often a leader sends to each peer.
	heartbeatInterval = 100 * time.Millisecond
	// joinInterval is how often an instance without a place in the log asks for one.
	joinInterval = 500 * time.Millisecond
	// maxBatch bounds the bytes of commands in one append, so that a heartbeat behind it is not late.
	maxBatch = 256 << 10
	// maxUnanswered bounds the entries sent to a peer that has not answered.
	maxUnanswered = 2048
	// maxUncommitted bounds what a leader without a majority takes in.
	maxUncommitted = 16384
	// DefaultKeep is the usual value of Replica.Keep.
	DefaultKeep Index = 1024
	// MaxAge is the age of knowledge above which a follower grants no lease. A node then asks another instance and still
	// gets the newest revision within 3 s.
	MaxAge = 1 * time.Second
)

// Rand is a source of random numbers.
type Rand interface {
	elector.Rand
	Uint64() uint64
}

// State is what a member finds on its disk.
type State struct {
	Ballot   elector.Ballot
	Snapshot Snapshot
	// Entries follow Snapshot or overlap it.
	Entries []Entry
}

// Replica is one member of the log. Start, Step and Take are called by one goroutine at a time; the other methods may run
// beside them. The exported fields are set before Start.
type Replica struct {
	Self MemberID
	Name registrar.MachineName
	// Known has the addresses of the control instances from the settings. They go before addresses in the log.
	Known map[registrar.MachineName]netip.AddrPort
	// Open lets any instance become a member that asks for it, and lets members that are gone leave. Without it operators
	// change the membership.
	Open bool
	// Joining forbids founding a log, because one exists already.
	Joining bool
	// Volatile says that this instance keeps nothing when its process ends; used with Open.
	Volatile bool
	// Address is where this instance takes calls; used with Open.
	Address netip.AddrPort
	Rand    Rand
	// Keep is how many entries are kept behind a snapshot, so that a peer that was away for a short time needs no snapshot.
	Keep Index

	elector elector.Elector
	log     Log
	voucher voucher
	peersMu sync.RWMutex
	// peers is filled at a leader only.
	peers map[MemberID]*Progress
	// peersAt is when the set of peers changed last, at the latest by the election. An identity that left may have been heard
	// until then.
	peersAt time.Time
	// termStart is the index of the first entry of this leader's term; 0 at others.
	termStart atomic.Uint64

	// now is the time of the event that is handled.
	now       time.Time
	session   uint64
	startedAt time.Time
	commit    Index
	// snapshot is the newest durable one.
	snapshot Snapshot
	incoming Snapshot
	sendAt   time.Time
	joinAt   time.Time
	empty    map[registrar.MachineName]probed
	// heard has the addresses of instances that the settings and the log need not name.
	heard addressBook
	// unsafeAt is since when the log cannot be founded again safely; zero if that is not so.
	unsafeAt time.Time
	effects  Effects
}

// Start begins with the state found on disk.
func (r *Replica) Start(now time.Time, st State) error {
	r.session, r.startedAt = r.Rand.Uint64()|1, now
	r.elector = elector.Elector{Self: r.Self, Electorate: &r.log, Journal: &r.log, Rand: r.Rand}
	return r.load(now, st)
}

// Restart begins again with the state found on disk, after a write to it has failed. Nothing that the effects of earlier
// steps said may have left the process since.
func (r *Replica) Restart(now time.Time, st State) error {
	r.termStart.Store(0)
	r.setPeers(nil)
	r.effects, r.incoming = Effects{}, Snapshot{}
	return r.load(now, st)
}

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
	r.voucher.setCommit(now, r.commit)
	r.voucher.setApplied(now, r.commit)
	r.elector.Start(now, st.Ballot)
	return nil
}

// Step decides what follows from an event. The effects add up until Take.
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
		if ev.Snapshot.Index > r.Keep {
			r.log.Compact(ev.Snapshot.Index - r.Keep)
		}
	}
}

// Take returns the effects since the last call.
func (r *Replica) Take(now time.Time) Effects {
	r.flush(now)
	e := r.effects
	r.effects = Effects{}
	return e
}

func (r *Replica) tick(now time.Time) {
	r.act(now, r.elector.Tick(now))
	role, leader := r.elector.Standing()
	switch {
	case role == elector.Leader:
		r.repair(now)
		if !now.Before(r.sendAt) {
			r.sendAt = now.Add(heartbeatInterval)
			r.eachPeer(func(m Member, p *Progress) { r.heartbeat(now, m, p) })
		}
	case leader == 0 && !now.Before(r.joinAt):
		r.seek(now)
	}
}

// act carries out a decision of the elector.
func (r *Replica) act(now time.Time, out elector.Outcome) {
	if out.Voted {
		b := r.elector.Ballot()
		r.effects.Ballot = &b
	}
	if out.Deposed {
		r.termStart.Store(0)
		r.setPeers(nil)
	}
	if out.Ask != nil {
		members, _ := r.log.Members()
		for _, m := range members {
			if m.Voter && m.ID != r.Self {
				r.send(m, VoteRequest{*out.Ask})
			}
		}
	}
	if out.Elected {
		r.setPeers(map[MemberID]*Progress{})
		r.sendAt = now
		// A leader cannot tell which older entries are committed before one of its own term is.
		r.write(Entry{})
		r.termStart.Store(uint64(r.log.Last().Index))
		r.advance(now)
	}
}

func (r *Replica) setPeers(peers map[MemberID]*Progress) {
	r.peersMu.Lock()
	defer r.peersMu.Unlock()
	r.peers = peers
	if peers != nil {
		r.syncPeersLocked()
	}
}

// syncPeersLocked follows the membership.
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
	r.peers, r.peersAt = next, r.now
}

// eachPeer calls f with each peer, its progress locked.
func (r *Replica) eachPeer(f func(Member, *Progress)) {
	members, _ := r.log.Members()
	for _, m := range members {
		if p := r.peer(m.ID); p != nil {
			p.mu.Lock()
			f(m, p)
			p.mu.Unlock()
		}
	}
}

func (r *Replica) peer(id MemberID) *Progress {
	r.peersMu.RLock()
	defer r.peersMu.RUnlock()
	return r.peers[id]
}

// write appends an entry at a leader.
func (r *Replica) write(e Entry) Position {
	e.Position = Position{Index: r.log.Last().Index + 1, Term: r.elector.Ballot().Term}
	r.store(e)
	if e.Members != nil {
		r.peersMu.Lock()
		r.syncPeersLocked()
		r.peersMu.Unlock()
	}
	return e.Position
}

// store appends an entry. A committed entry is never replaced: to stop is better than to break that promise.
func (r *Replica) store(e Entry) {
	if e.Index <= r.commit {
		panic(fmt.Sprintf("entry %d would replace a committed one; commit index is %d", e.Index, r.commit))
	}
	if err := r.log.Append(e); err != nil {
		panic(err)
	}
	r.effects.Append = append(r.effects.Append, e)
}

func (r *Replica) propose(now time.Time, p Proposed) {
	w := Written{Token: p.Token}
	role, _ := r.elector.Standing()
	switch {
	case role != elector.Leader:
		w.Err = ErrNotLeader
	case r.log.Last().Index-r.commit >= maxUncommitted:
		w.Err = eris.Wrap(ErrNotLeader, "no majority takes in entries")
	case p.Change == nil && !r.durable(now):
		w.Err = eris.Wrap(ErrNotLeader, "a voter would lose what it confirms when its process ends")
	case p.Change != nil:
		w.Position, w.Err = r.change(now, *p.Change)
	default:
		w.Position = r.write(Entry{Command: p.Command})
	}
	r.effects.Written = append(r.effects.Written, w)
	r.advance(now)
}

// advance moves the commit index of a leader to what a majority has made durable. Only entries of its own term count.
func (r *Replica) advance(now time.Time) {
	if role, _ := r.elector.Standing(); role != elector.Leader {
		return
	}
	at := r.majority()
	if t, ok := r.log.Term(at); !ok || t != r.elector.Ballot().Term {
		return
	}
	r.commitTo(now, at)
}

func (r *Replica) commitTo(now time.Time, to Index) {
	to = min(to, r.log.Last().Index)
	for r.commit < to {
		entries := r.log.Slice(r.commit+1, maxBatch)
		entries = entries[:min(len(entries), int(to-r.commit))]
		r.effects.Committed = append(r.effects.Committed, entries...)
		r.commit = entries[len(entries)-1].Index
	}
	r.voucher.setCommit(now, r.commit)
	r.leaveIfRemoved(now)
}

// Applied says that the state machine has applied entries up to an index.
func (r *Replica) Applied(now time.Time, to Index) { r.voucher.setApplied(now, to) }

// Vouch returns how old the applied state may be. ok is false if it is too old to grant leases.
func (r *Replica) Vouch(now time.Time) (age time.Duration, ok bool) {
	if r.elector.Leased(now) {
		return r.voucher.lead(now, Index(r.termStart.Load()))
	}
	age, ok = r.voucher.follow(now.Sub(r.startedAt))
	return age, ok && age <= MaxAge
}

// Leading reports whether this member is the leader and holds the lease.
func (r *Replica) Leading(now time.Time) bool { return r.elector.Leased(now) }

// Leader returns the known leader; ok is false if there is none.
func (r *Replica) Leader() (m Member, ok bool) {
	_, id := r.elector.Standing()
	if id == 0 {
		return Member{}, false
	}
	members, _ := r.log.Members()
	for _, m := range members {
		if m.ID == id {
			return r.resolve(m), true
		}
	}
	return Member{}, false
}

// resolve puts in the address from the settings, or else the one that the instance has named, if the log has none.
func (r *Replica) resolve(m Member) Member {
	if a, ok := r.Known[m.Name]; ok {
		m.Address = a
	}
	if !m.Address.IsValid() {
		m.Address = r.heard.address(m.Name)
	}
	return m
}

func (r *Replica) send(m Member, b Body) {
	m = r.resolve(m)
	r.effects.Sends = append(r.effects.Sends, Send{Name: m.Name, Address: m.Address, Message: Message{
		From: r.Self, To: m.ID, Sender: r.Name, Address: r.Address, Term: r.elector.Ballot().Term, Body: b,
	}})
}

func (r *Replica) reading(now time.Time) Reading {
	return Reading{Session: r.session, At: now.Sub(r.startedAt)}
}
