package replicator

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	probeInterval = 100 * time.Millisecond
	// probeTime is how long the answer to a probe counts.
	probeTime = 1 * time.Second
)

// ErrFounding means that the founding of the log cannot be repeated safely.
var ErrFounding = eris.New("the folder remembers the election of a control log that no instance has any more; " +
	"if no change has ever been confirmed, empty the folder and start the instance again, " +
	"otherwise restore the folder of an instance that holds the log")

// probed is the answer of an instance without a log.
type probed struct {
	id MemberID
	// term is the term of its ballot; 0 if the disk holds nothing but the identity.
	term Term
	at   time.Time
	// volatile is true if the instance keeps nothing when its process ends.
	volatile bool
}

// blank reports whether the disk holds nothing but the identity.
func (r *Replica) blank() bool {
	return r.unwritten() && r.elector.Ballot() == (elector.Ballot{})
}

// unwritten reports whether the log has never had an entry. Entries are replaced but never taken back.
func (r *Replica) unwritten() bool { return r.log.Last() == (Position{}) }

// foundedAlone reports whether this instance has written the first entry and nobody has led since. Then no other instance has
// an entry, because only a leader sends entries, and a leader begins with one of its own.
func (r *Replica) foundedAlone() bool {
	members, at := r.log.Members()
	return at == 1 && r.log.Last().Index == 1 && r.log.Base() == (Position{}) && r.commit == 0 &&
		slices.ContainsFunc(members, func(m Member) bool { return m.ID == r.Self && m.Voter })
}

// seek is called while no leader is known. On empty disks the instance whose name comes first founds the log once all
// instances of the settings have said that they have no log either. So no instance that has lost its disk can found a second
// log while another still holds the first. All instances ask for a place in the log, even if they have one in their own copy:
// an entry that took in a learner can be lost with its leader. A leader ignores members that it knows.
func (r *Replica) seek(now time.Time) {
	r.joinAt = now.Add(joinInterval)
	r.broadcast(Join{Volatile: r.Volatile})
	if r.Joining || r.founder() != r.Name || !r.blank() && !r.foundedAlone() {
		return
	}
	r.joinAt = now.Add(probeInterval)
	r.found(now)
	r.broadcast(Probe{Unsafe: !r.unsafeAt.IsZero() && now.Sub(r.unsafeAt) > probeTime})
}

func (r *Replica) broadcast(b Body) {
	for _, n := range r.names() {
		if n != r.Name {
			r.send(Member{Name: n}, b)
		}
	}
	if !r.Open {
		return
	}
	// The seeds of the settings may be gone since the log was founded, and seeds without a disk know only who calls them.
	others := r.heard.names()
	members, _ := r.log.Members()
	for _, m := range members {
		r.heard.put(m.Name, m.Address)
		others = append(others, m.Name)
	}
	slices.Sort(others)
	for _, n := range slices.Compact(others) {
		if _, known := r.Known[n]; !known && n != r.Name {
			r.send(Member{Name: n}, b)
		}
	}
}

func (r *Replica) founder() registrar.MachineName {
	if names := r.names(); len(names) > 0 {
		return names[0]
	}
	return ""
}

// receiveUnaddressed handles messages to an instance whose identity the sender does not know.
func (r *Replica) receiveUnaddressed(now time.Time, m Message) {
	switch b := m.Body.(type) {
	case Join:
		r.takeJoin(m, b)
	case Probe:
		// Settings that name another founder must not lead to a second log.
		unwritten := r.unwritten() && r.founder() == m.Sender
		r.send(Member{Name: m.Sender}, ProbeAnswer{
			Empty: unwritten && r.blank(), Unwritten: unwritten, Volatile: r.Volatile,
		})
		if b.Unsafe && unwritten && !r.blank() {
			r.effects.Failure = ErrFounding
		}
	case ProbeAnswer:
		if r.empty == nil {
			r.empty = map[registrar.MachineName]probed{}
		}
		delete(r.empty, m.Sender)
		if b.Empty || b.Unwritten {
			r.empty[m.Sender] = probed{id: m.From, term: m.Term, at: now, volatile: b.Volatile}
		}
	}
}

// found writes the first entry, which names the founding voters, or writes it again after a disk was lost.
func (r *Replica) found(now time.Time) {
	members, newest, voted := r.founders(now)
	known, _ := r.log.Members()
	if members == nil || slices.Equal(members, known) {
		r.unsafeAt = time.Time{}
		return
	}
	if r.blank() && voted > 0 && !provenUnused(voted, len(members)) {
		if r.unsafeAt.IsZero() {
			r.unsafeAt = now
		}
		return
	}
	r.unsafeAt = time.Time{}
	// The term is above that of every leader that there may have been, so the entry is distinct from any other at its index.
	term := max(newest, r.elector.Ballot().Term) + 1
	r.act(now, r.elector.Observe(now, term))
	r.store(Entry{Position: Position{Index: 1, Term: term}, Members: members})
}

// founders returns the founding voters, the newest term among their ballots and how many of the others have voted; nil unless
// all have said lately that they have no log.
func (r *Replica) founders(now time.Time) (members Members, newest Term, voted int) {
	for _, n := range r.names() {
		m := Member{ID: r.Self, Name: n, Address: r.Known[n], Voter: true, Volatile: r.Volatile}
		if n != r.Name {
			p, ok := r.empty[n]
			if !ok || now.Sub(p.at) > probeTime {
				return nil, 0, 0
			}
			m.ID, m.Volatile, newest = p.id, p.volatile, max(newest, p.term)
			if p.term > 0 {
				voted++
			}
		}
		members = append(members, m)
	}
	return members, newest, voted
}

// provenUnused reports whether a log whose founder has lost its disk cannot have had a confirmed entry. An instance with a
// ballot and no log has kept its disk since the election and has never stored an entry. If so many have done so that the
// others are no majority, no entry was ever committed. An instance with an empty disk proves nothing, since it may have lost
// it.
func provenUnused(voted, instances int) bool {
	majority := instances/2 + 1
	return instances-voted < majority
}
