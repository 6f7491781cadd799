package administrator

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Membership is the membership of the control log.
type Membership interface {
	Status() []replicator.MemberStatus
	ChangeMembers(ctx context.Context, c replicator.Change) error
}

// Gatherer has the sessions of all control instances and names those that did not answer.
type Gatherer interface {
	Sessions(ctx context.Context) ([]leaser.Session, []registrar.MachineName)
}

// MembersStatus is the answer to a request for the members.
type MembersStatus struct {
	Members []replicator.MemberStatus `json:"members"`
}

func (a *Administrator) sessions(ctx context.Context) []leaser.Session {
	if a.Gatherer == nil {
		return a.Leaser.Sessions()
	}
	all, _ := a.Gatherer.Sessions(ctx)
	return all
}

func (a *Administrator) members(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.operator(w, r); ok {
		writeJSON(w, http.StatusOK, MembersStatus{Members: a.Membership.Status()})
	}
}

func (a *Administrator) changeMembers(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.operator(w, r); !ok {
		return
	}
	var c replicator.Change
	if !readBody(w, r, &c) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTime)
	defer cancel()
	err := a.Membership.ChangeMembers(ctx, c)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, MembersStatus{Members: a.Membership.Status()})
	case eris.Is(err, replicator.ErrMembership):
		writeFailure(w, http.StatusConflict, &planner.Failure{Code: planner.FailureConflict, Message: err.Error()})
	default:
		a.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
		writeFailure(w, http.StatusServiceUnavailable, &planner.Failure{Code: "unavailable", Message: err.Error()})
	}
}
