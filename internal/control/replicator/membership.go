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
	// maxVoters is the largest number of voters: at most that many instances are set aside for control.
	maxVoters = 9
	// maxLearnerLag is how many entries a learner may lack when it becomes a voter.
	maxLearnerLag = 64
	// joinTimeout is how long a returning learner may be silent before it is removed.
	joinTimeout = 5 * time.Second
)

// MemberStatus is the state of a member as shown to operators.
type MemberStatus struct {
	Member
	Leader bool `json:"leader,omitempty"`
	// Match is the newest index known to be durable at the member. Only the leader knows it for other members.
	Match Index `json:"match,omitempty"`
}

// Status returns the state of all members as far as this member knows it.
func (r *Replica) Status() []MemberStatus {
	members, _ := r.log.Members()
	_, leader := r.elector.RoleAndLeader()
	var statuses []MemberStatus
	for _, m := range members {
		s := MemberStatus{Member: m, Leader: m.ID != 0 && m.ID == leader}
		if p := r.peer(m.ID); p != nil {
			s.Match = p.Status().Match
		} else if m.ID == r.Self {
			s.Match = r.log.Last().Index
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// checkChangeable returns an error if the membership cannot change now. Two concurrent changes, or one before the leader has
// committed an entry of its term, could lead to two majorities without a common member.
func (r *Replica) checkChangeable() error {
	_, membersIndex := r.log.Members()
	if start := Index(r.termStart.Load()); start == 0 || r.commit < start || membersIndex > r.commit {
		return eris.Wrap(ErrMembership, "another change is in progress")
	}
	return nil
}

// setMembers appends an entry with a new membership.
func (r *Replica) setMembers(next Members) Position {
	slices.SortFunc(next, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return r.appendNew(Entry{Members: next})
}

// changeMembers carries out a membership change of an operator.
func (r *Replica) changeMembers(now time.Time, c Change) (Position, error) {
	if err := r.checkChangeable(); err != nil {
		return Position{}, err
	}
	members, _ := r.log.Members()
	next := slices.Clone(members)
	hasName := func(m Member) bool { return m.Name == c.Name }
	i := slices.IndexFunc(next, hasName)
	switch {
	case c.Verb == AddMember && i >= 0:
		return Position{}, eris.Wrapf(ErrMembership, "%q is a member", c.Name)
	case c.Verb == AddMember:
		next = append(next, Member{Name: c.Name, Address: c.Address})
	case i < 0:
		return Position{}, eris.Wrapf(ErrMembership, "%q is not a member", c.Name)
	case c.Verb == RemoveMember:
		next = slices.DeleteFunc(next, hasName)
		if !slices.ContainsFunc(next, func(m Member) bool { return m.Voter }) {
			return Position{}, eris.Wrap(ErrMembership, "the last voter cannot be removed")
		}
	case c.Verb == PromoteMember:
		if err := r.checkPromotable(now, next[i]); err != nil {
			return Position{}, err
		}
		next[i].Voter, next[i].Returning = true, false
	default:
		return Position{}, eris.Wrapf(ErrMembership, "unknown verb %q", c.Verb)
	}
	return r.setMembers(next), nil
}

// checkPromotable returns an error if a member cannot become a voter now.
func (r *Replica) checkPromotable(now time.Time, m Member) error {
	if m.Voter {
		return eris.Wrapf(ErrMembership, "%q is a voter", m.Name)
	}
	if len(r.log.Voters()) >= maxVoters {
		return eris.Wrapf(ErrMembership, "there are already %d voters", maxVoters)
	}
	if r.peer(m.ID) == nil {
		return eris.Wrapf(ErrMembership, "%q has not joined", m.Name)
	}
	if !r.hasCaughtUp(now, m) {
		return eris.Wrapf(ErrMembership, "%q has not caught up", m.Name)
	}
	return nil
}

// admit adds an instance that is not a member, if an operator has added its name, or if the membership is open. An instance with
// the name of a voter becomes a returning learner, because the voter has lost its disk.
func (r *Replica) admit(m Member) {
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
	if r.checkChangeable() != nil {
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

// repairMembership makes the next automatic membership change. A returning learner that has caught up replaces the voter whose
// disk was lost: first the old member id is removed, then the new one becomes a voter. The old id can never answer, so its
// removal does not reduce the number of tolerated failures.
func (r *Replica) repairMembership(now time.Time) {
	if r.checkChangeable() != nil {
		return
	}
	members, _ := r.log.Members()
	for i, m := range members {
		if m.Returning && r.repairReturning(now, members, i) {
			return
		}
	}
	if r.Open && !r.demoteVolatile(now, members) {
		r.removeSilent(now, members)
	}
}

// repairReturning makes the next membership change for the returning learner at index i. It reports whether it made one.
func (r *Replica) repairReturning(now time.Time, members Members, i int) bool {
	next := slices.Clone(members)
	oldVoter := slices.IndexFunc(next, func(k Member) bool { return k.Voter && k.Name == members[i].Name })
	switch {
	case oldVoter >= 0 && r.learnerLost(now, members[i]):
		next = slices.Delete(next, i, i+1)
	case !r.hasCaughtUp(now, members[i]):
		return false
	case oldVoter >= 0:
		next = slices.Delete(next, oldVoter, oldVoter+1)
	case members[i].Volatile && r.summarizeVolatile(members).durable:
		return false
	case r.Open && r.replaceableVoter(now, members) == voterMayReturn:
		return false
	case r.Open && r.replaceableVoter(now, members) >= 0:
		next = slices.Delete(next, r.replaceableVoter(now, members), r.replaceableVoter(now, members)+1)
	case len(r.log.Voters()) >= maxVoters:
		return false
	default:
		next[i].Voter, next[i].Returning = true, false
	}
	r.setMembers(next)
	return true
}

// learnerLost reports whether a learner has not answered for joinTimeout, for example because it was added by a delayed request
// with a member id that no instance uses. An instance that still exists asks to join again, as long as the log has its name.
func (r *Replica) learnerLost(now time.Time, m Member) bool {
	p := r.peer(m.ID)
	if p == nil {
		return false
	}
	s := p.Status()
	return now.Sub(s.AddedAt) > joinTimeout && now.Sub(s.AnsweredAt) > joinTimeout
}

// hasCaughtUp reports whether a member answers and has the newest membership entry and all but the last maxLearnerLag entries.
func (r *Replica) hasCaughtUp(now time.Time, m Member) bool {
	p := r.peer(m.ID)
	if p == nil {
		return false
	}
	_, membersIndex := r.log.Members()
	s := p.Status()
	return s.Match >= membersIndex && s.Match+maxLearnerLag >= r.log.Last().Index && now.Sub(s.AnsweredAt) <= elector.MinElection
}

// resignIfRemoved makes a leader step down once its removal is committed.
func (r *Replica) resignIfRemoved(now time.Time) {
	_, membersIndex := r.log.Members()
	role, _ := r.elector.RoleAndLeader()
	if role == elector.Leader && membersIndex <= r.commit && !slices.Contains(r.log.Voters(), r.Self) {
		r.flush(now)
		r.applyOutcome(now, r.elector.Resign(now))
	}
}

// configuredNames returns the names of the control instances in the settings, sorted.
func (r *Replica) configuredNames() []registrar.MachineName {
	var names []registrar.MachineName
	for n := range r.ConfiguredAddresses {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
