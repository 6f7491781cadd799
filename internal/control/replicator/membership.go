package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxVoters bounds the instances set aside for control.
	maxVoters = 9
	// caughtUp is how many entries a learner may lack when it becomes a voter.
	caughtUp = 64
	// joinTime is how long a returning learner may be silent before it loses its place.
	joinTime = 5 * time.Second
)

// MemberStatus describes a member for operators.
type MemberStatus struct {
	Member
	Leader bool `json:"leader,omitempty"`
	// Match is the newest index known to be durable at the member; known at the leader only.
	Match Index `json:"match,omitempty"`
}

// Status returns the members as this member knows them.
func (r *Replica) Status() []MemberStatus {
	members, _ := r.log.Members()
	_, leader := r.elector.Standing()
	var all []MemberStatus
	for _, m := range members {
		s := MemberStatus{Member: m, Leader: m.ID != 0 && m.ID == leader}
		if p := r.peer(m.ID); p != nil {
			s.Match = p.Status().Match
		} else if m.ID == r.Self {
			s.Match = r.log.Last().Index
		}
		all = append(all, s)
	}
	return all
}

// changeable returns why the membership cannot change now. Two changes at once, or one before the leader knows what is
// committed, could give two majorities without a common member.
func (r *Replica) changeable() error {
	_, at := r.log.Members()
	if start := Index(r.termStart.Load()); start == 0 || r.commit < start || at > r.commit {
		return eris.Wrap(ErrMembership, "another change is in progress")
	}
	return nil
}

func (r *Replica) setMembers(next Members) Position {
	slices.SortFunc(next, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return r.write(Entry{Members: next})
}

// change carries out an operator's change.
func (r *Replica) change(now time.Time, c Change) (Position, error) {
	if err := r.changeable(); err != nil {
		return Position{}, err
	}
	members, _ := r.log.Members()
	next := slices.Clone(members)
	named := func(m Member) bool { return m.Name == c.Name }
	at := slices.IndexFunc(next, named)
	switch {
	case c.Verb == AddMember && at >= 0:
		return Position{}, eris.Wrapf(ErrMembership, "%q is a member", c.Name)
	case c.Verb == AddMember:
		next = append(next, Member{Name: c.Name, Address: c.Address})
	case at < 0:
		return Position{}, eris.Wrapf(ErrMembership, "%q is not a member", c.Name)
	case c.Verb == RemoveMember:
		next = slices.DeleteFunc(next, named)
		if !slices.ContainsFunc(next, func(m Member) bool { return m.Voter }) {
			return Position{}, eris.Wrap(ErrMembership, "no voter would be left")
		}
	case c.Verb == PromoteMember:
		if err := r.promotable(now, next[at]); err != nil {
			return Position{}, err
		}
		next[at].Voter, next[at].Returning = true, false
	default:
		return Position{}, eris.Wrapf(ErrMembership, "verb %q", c.Verb)
	}
	return r.setMembers(next), nil
}

func (r *Replica) promotable(now time.Time, m Member) error {
	if m.Voter {
		return eris.Wrapf(ErrMembership, "%q is a voter", m.Name)
	}
	if len(r.log.Voters()) >= maxVoters {
		return eris.Wrapf(ErrMembership, "there are %d voters", maxVoters)
	}
	if r.peer(m.ID) == nil {
		return eris.Wrapf(ErrMembership, "%q has not joined", m.Name)
	}
	if !r.hasCaughtUp(now, m) {
		return eris.Wrapf(ErrMembership, "%q has not caught up", m.Name)
	}
	return nil
}

// join takes in an instance without a place in the log if an operator has added its name, or if anybody may join.
func (r *Replica) join(m Member) {
	members, _ := r.log.Members()
	learner, voter := -1, -1
	for i, k := range members {
		switch {
		case k.ID == m.ID:
			return
		case k.Name == m.Name && k.Voter:
			voter = i
		case k.Name == m.Name:
			learner = i
		}
	}
	if r.changeable() != nil {
		return
	}
	next := slices.Clone(members)
	switch {
	case learner >= 0:
		next[learner].ID, next[learner].Volatile = m.ID, m.Volatile
	case voter >= 0:
		next = append(next, Member{ID: m.ID, Name: m.Name, Address: next[voter].Address, Returning: true, Volatile: m.Volatile})
	case r.Open && len(next) < maxOpenMembers:
		next = append(next, Member{ID: m.ID, Name: m.Name, Address: m.Address, Returning: true, Volatile: m.Volatile})
	default:
		return
	}
	r.setMembers(next)
}

// repair lets a returning learner that has caught up take the place of the voter whose disk was lost: first the old
// identity leaves, then the new one becomes a voter. The old identity can never answer, so its removal does not lower the
// number of failures that are tolerated.
func (r *Replica) repair(now time.Time) {
	if r.changeable() != nil {
		return
	}
	members, _ := r.log.Members()
	for i, m := range members {
		if m.Returning && r.repairOne(now, members, i) {
			return
		}
	}
	if r.Open && !r.demote(now, members) {
		r.dropGone(now, members)
	}
}

// repairOne takes the next step for the returning learner at index i, if one is due.
func (r *Replica) repairOne(now time.Time, members Members, i int) bool {
	next := slices.Clone(members)
	lost := slices.IndexFunc(next, func(k Member) bool { return k.Voter && k.Name == members[i].Name })
	switch {
	case lost >= 0 && r.gone(now, members[i]):
		next = slices.Delete(next, i, i+1)
	case !r.hasCaughtUp(now, members[i]):
		return false
	case lost >= 0:
		next = slices.Delete(next, lost, lost+1)
	case members[i].Volatile && r.volatiles(members).durable:
		return false
	case r.Open && r.replaceable(now, members) == undecided:
		return false
	case r.Open && r.replaceable(now, members) >= 0:
		next = slices.Delete(next, r.replaceable(now, members), r.replaceable(now, members)+1)
	case len(r.log.Voters()) >= maxVoters:
		return false
	default:
		next[i].Voter, next[i].Returning = true, false
	}
	r.setMembers(next)
	return true
}

// gone reports whether a learner has not answered for joinTime, for example because a late request of an identity that is
// gone has brought it in. One that still exists asks to join again, as long as the log has its name.
func (r *Replica) gone(now time.Time, m Member) bool {
	p := r.peer(m.ID)
	if p == nil {
		return false
	}
	s := p.Status()
	return now.Sub(s.AddedAt) > joinTime && now.Sub(s.HeardAt) > joinTime
}

// hasCaughtUp reports whether a member answers and has nearly all entries, that which brought it in among them.
func (r *Replica) hasCaughtUp(now time.Time, m Member) bool {
	p := r.peer(m.ID)
	if p == nil {
		return false
	}
	_, at := r.log.Members()
	s := p.Status()
	return s.Match >= at && s.Match+caughtUp >= r.log.Last().Index && now.Sub(s.HeardAt) <= elector.MinElection
}

// leaveIfRemoved makes a leader step down once its removal is committed.
func (r *Replica) leaveIfRemoved(now time.Time) {
	_, at := r.log.Members()
	role, _ := r.elector.Standing()
	if role == elector.Leader && at <= r.commit && !slices.Contains(r.log.Voters(), r.Self) {
		r.flush(now)
		r.act(now, r.elector.Resign(now))
	}
}

// names returns the names of the settings in order.
func (r *Replica) names() []registrar.MachineName {
	var names []registrar.MachineName
	for n := range r.Known {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
