package replicator

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	probeInterval = 100 * time.Millisecond
	// probeTime is how long the answer to a probe counts.
	probeTime = 1 * time.Second
)

// probed is the answer of an instance with an empty disk.
type probed struct {
	id MemberID
	at time.Time
}

// blank reports whether the disk holds nothing but the identity.
func (r *Replica) blank() bool {
	return r.log.Last() == (Position{}) && r.elector.Ballot() == (elector.Ballot{})
}

// seek is called while no leader is known. On empty disks the instance whose name comes first founds the log once all
// instances of the settings have said that their disks are empty too. So no instance that has lost its disk can found a
// second log while another still holds the first. All instances ask for a place in the log, even if they have one in their
// own copy: an entry that took in a learner can be lost with its leader. A leader ignores members that it knows.
func (r *Replica) seek(now time.Time) {
	r.joinAt = now.Add(joinInterval)
	r.broadcast(Join{})
	if !r.blank() || r.founder() != r.Name {
		return
	}
	r.joinAt = now.Add(probeInterval)
	r.broadcast(Probe{})
	r.found(now)
}

func (r *Replica) broadcast(b Body) {
	for _, n := range r.names() {
		if n != r.Name {
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
		if role, _ := r.elector.Standing(); role == elector.Leader {
			r.join(m)
		}
	case Probe:
		// Settings that name another founder must not lead to a second log.
		empty := r.blank() && r.founder() == m.Sender
		r.send(Member{Name: m.Sender}, ProbeAnswer{Empty: empty})
	case ProbeAnswer:
		if r.empty == nil {
			r.empty = map[registrar.MachineName]probed{}
		}
		delete(r.empty, m.Sender)
		if b.Empty {
			r.empty[m.Sender] = probed{id: m.From, at: now}
		}
	}
}

// found writes the first entry, which names the founding voters.
func (r *Replica) found(now time.Time) {
	var members Members
	for _, n := range r.names() {
		m := Member{ID: r.Self, Name: n, Address: r.Known[n], Voter: true}
		if n != r.Name {
			p, ok := r.empty[n]
			if !ok || now.Sub(p.at) > probeTime {
				return
			}
			m.ID = p.id
		}
		members = append(members, m)
	}
	r.act(now, r.elector.Observe(now, 1))
	r.store(Entry{Position: Position{Index: 1, Term: 1}, Members: members})
}
