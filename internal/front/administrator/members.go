package administrator

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// Membership shows and changes the members of the control log.
type Membership interface {
	Status() []replicator.MemberStatus
	ChangeMembers(ctx context.Context, c replicator.Change) error
}

// MembersStatus is the body of an answer that lists the members.
type MembersStatus struct {
	Members []replicator.MemberStatus `json:"members"`
}

// memberRoutes returns the operations on the members of the control log.
func (a *Administrator) memberRoutes() []route {
	return []route{
		{
			Method: http.MethodGet, Path: "/v1/members", Summary: "Show the members of the control log.",
			Answer: typeOf[MembersStatus](), freshness: freshnessIgnored,
			serve: func(c *call) { c.ok(MembersStatus{Members: a.Membership.Status()}) },
		},
		{
			Method: http.MethodPost, Path: "/v1/members", Summary: "Add, promote or remove one member of the control log.",
			Body: typeOf[replicator.Change](), Answer: typeOf[MembersStatus](), serve: a.changeMembers,
		},
	}
}

func (a *Administrator) changeMembers(c *call) {
	var change replicator.Change
	if !c.body(&change) {
		return
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), proposeTimeout)
	defer cancel()
	err := a.Membership.ChangeMembers(ctx, change)
	switch {
	case err == nil:
		c.ok(MembersStatus{Members: a.Membership.Status()})
	case eris.Is(err, replicator.ErrMembership):
		c.fail(http.StatusConflict, &planner.Failure{Code: planner.FailureConflict, Message: err.Error()})
	default:
		a.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
		c.fail(http.StatusServiceUnavailable, &planner.Failure{Code: planner.FailureUnavailable, Message: err.Error()})
	}
}
