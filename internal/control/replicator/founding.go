package replicator

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// probeInterval is how often the founder probes the other instances.
	probeInterval = 100 * time.Millisecond
	// probeValidity is how long the answer to a probe is valid.
	probeValidity = 1 * time.Second
)

// ErrFounding means that a disk was lost after the log was founded, and founding a new log could lose confirmed entries.
var ErrFounding = eris.New("the folder holds a ballot of a control log that no instance has; " +
	"if no change has ever been confirmed, empty the folder and start the instance again, " +
	"otherwise restore the folder of an instance that holds the log")

// probeResult is the answer to a probe from an instance without a log.
type probeResult struct {
	id MemberID
	// term is the term of the ballot of the instance, or 0 if its disk holds only the identity.
	term       Term
	answeredAt time.Time
	// volatile is true if the instance stores nothing on disk.
	volatile bool
}

// diskEmpty reports whether the disk holds only the identity.
func (r *Replica) diskEmpty() bool {
	return r.logEmpty() && r.elector.Ballot() == (elector.Ballot{})
}

// logEmpty reports whether the log has never had an entry. Entries can be replaced, but a log never becomes empty again.
func (r *Replica) logEmpty() bool { return r.log.Last() == (Position{}) }

// foundedAlone reports whether this instance has written the first entry and no leader has been elected since. Then no other
// instance has an entry, because only a leader sends entries, and a new leader first appends one of its own term.
func (r *Replica) foundedAlone() bool {
	members, membersIndex := r.log.Members()
	return membersIndex == 1 && r.log.Last().Index == 1 && r.log.Base() == (Position{}) && r.commit == 0 &&
		slices.ContainsFunc(members, func(m Member) bool { return m.ID == r.Self && m.Voter })
}

// joinOrFound is called while no leader is known. The founder is the instance whose name sorts first. If its disk is empty, it
// founds the log once all instances of the settings have answered that they have no log either, so an instance that has lost
// its disk cannot found a second log while another still holds the first. All instances ask to join, even if their own copy of
// the log lists them as members: an entry that added a learner can be lost with its leader. A leader ignores requests of
// members that it knows.
func (r *Replica) joinOrFound(now time.Time) {
	r.nextJoinAt = now.Add(joinInterval)
	r.broadcast(Join{Volatile: r.Volatile})
	if r.Joining || r.founder() != r.Name || !r.diskEmpty() && !r.foundedAlone() {
		return
	}
	r.nextJoinAt = now.Add(probeInterval)
	r.foundLog(now)
	r.broadcast(Probe{Unsafe: !r.unsafeSince.IsZero() && now.Sub(r.unsafeSince) > probeValidity})
}

// broadcast sends to all instances of the settings and, with open membership, to all other known instances.
func (r *Replica) broadcast(b Body) {
	for _, n := range r.configuredNames() {
		if n != r.Name {
			r.send(Member{Name: n}, b)
		}
	}
	if !r.Open {
		return
	}
	// The seeds of the settings may have been removed since the log was founded, and a seed without a disk knows only the
	// instances that have sent it a message.
	others := r.learned.names()
	members, _ := r.log.Members()
	for _, m := range members {
		r.learned.put(m.Name, m.Address)
		others = append(others, m.Name)
	}
	slices.Sort(others)
	for _, n := range slices.Compact(others) {
		if _, configured := r.ConfiguredAddresses[n]; !configured && n != r.Name {
			r.send(Member{Name: n}, b)
		}
	}
}

// founder returns the instance that founds the log: the first of the settings by name, or "" if the settings name none.
func (r *Replica) founder() registrar.MachineName {
	if names := r.configuredNames(); len(names) > 0 {
		return names[0]
	}
	return ""
}

// receiveUnaddressed handles a message whose sender does not know the member id of this instance.
func (r *Replica) receiveUnaddressed(now time.Time, m Message) {
	switch b := m.Body.(type) {
	case Join:
		r.handleJoin(m, b)
	case Probe:
		// Instances whose settings name different founders could otherwise found two logs.
		foundable := r.logEmpty() && r.founder() == m.Sender
		r.send(Member{Name: m.Sender}, ProbeAnswer{
			Empty: foundable && r.diskEmpty(), Unwritten: foundable, Volatile: r.Volatile,
		})
		if b.Unsafe && foundable && !r.diskEmpty() {
			r.effects.Failure = ErrFounding
		}
	case ProbeAnswer:
		if r.withoutLog == nil {
			r.withoutLog = map[registrar.MachineName]probeResult{}
		}
		delete(r.withoutLog, m.Sender)
		if b.Empty || b.Unwritten {
			r.withoutLog[m.Sender] = probeResult{id: m.From, term: m.Term, answeredAt: now, volatile: b.Volatile}
		}
	}
}

// foundLog writes the first entry, which lists the founding voters, or writes it again after a disk was lost.
func (r *Replica) foundLog(now time.Time) {
	founders, newestTerm, votedCount := r.founders(now)
	current, _ := r.log.Members()
	if founders == nil || slices.Equal(founders, current) {
		r.unsafeSince = time.Time{}
		return
	}
	if r.diskEmpty() && votedCount > 0 && !provenUnused(votedCount, len(founders)) {
		if r.unsafeSince.IsZero() {
			r.unsafeSince = now
		}
		return
	}
	r.unsafeSince = time.Time{}
	// The term is above the term of every earlier leader, so the position differs from that of any other entry at index 1.
	term := max(newestTerm, r.elector.Ballot().Term) + 1
	r.applyOutcome(now, r.elector.ObserveTerm(now, term))
	r.appendEntry(Entry{Position: Position{Index: 1, Term: term}, Members: founders})
}

// founders returns the founding voters, the newest term among the ballots of the other instances, and how many of these have
// voted. members is nil unless all others have answered within probeValidity that they have no log.
func (r *Replica) founders(now time.Time) (members Members, newestTerm Term, votedCount int) {
	for _, n := range r.configuredNames() {
		m := Member{ID: r.Self, Name: n, Address: r.ConfiguredAddresses[n], Voter: true, Volatile: r.Volatile}
		if n != r.Name {
			p, ok := r.withoutLog[n]
			if !ok || now.Sub(p.answeredAt) > probeValidity {
				return nil, 0, 0
			}
			m.ID, m.Volatile, newestTerm = p.id, p.volatile, max(newestTerm, p.term)
			if p.term > 0 {
				votedCount++
			}
		}
		members = append(members, m)
	}
	return members, newestTerm, votedCount
}

// provenUnused reports whether a log whose founder has lost its disk cannot have had a confirmed entry. votedCount instances
// have a ballot but an empty log: the ballot shows that they have not lost their disks since the election, so they have never
// stored an entry. If all other instances together are not a majority, no entry can have been committed. Instances with an
// empty disk are among the others, because they may have lost entries with their disks.
func provenUnused(votedCount, instanceCount int) bool {
	majority := instanceCount/2 + 1
	return instanceCount-votedCount < majority
}
