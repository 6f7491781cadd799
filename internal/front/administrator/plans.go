package administrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/tracer"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// PlanRequest is the body of a request for a plan.
type PlanRequest struct {
	Number planner.RequestNumber `json:"number"`
	Intent planner.Intent        `json:"intent"`
}

// ConfirmRequest is the body of a confirmation.
type ConfirmRequest struct {
	Number planner.RequestNumber `json:"number"`
}

func (a *Administrator) createPlan(c *call) {
	var body PlanRequest
	if !c.body(&body) {
		return
	}
	// The plan shows the estimated traffic shares that it affects. They are omitted if no sessions are known.
	instances := a.Collector.Collect(c.request.Context(), connector.SessionQuery{})
	a.propose(c, planner.Command{
		Kind: planner.CommandPlan, Operator: c.operator, Number: body.Number, Intent: &body.Intent,
		Traffic: tracer.Shares(body.Intent, a.Ledger.World, instances),
	})
}

func (a *Administrator) confirmPlan(c *call) {
	id, ok := c.planID()
	if !ok {
		return
	}
	var body ConfirmRequest
	if !c.body(&body) {
		return
	}
	a.propose(c, planner.Command{Kind: planner.CommandConfirm, Operator: c.operator, Number: body.Number, Plan: id})
}

func (c *call) planID() (planner.PlanID, bool) {
	s := c.request.PathValue("id")
	id, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		c.fail(http.StatusBadRequest, badRequest("id", s, "the number of a plan"))
	}
	return planner.PlanID(id), err == nil
}

func (a *Administrator) propose(c *call, command planner.Command) {
	command.AtMilli = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(c.request.Context(), proposeTimeout)
	defer cancel()
	var result planner.Result
	encoded, err := json.Marshal(command)
	if err == nil {
		encoded, err = a.Log.Propose(ctx, encoded)
	}
	if err == nil {
		err = json.Unmarshal(encoded, &result)
	}
	if err != nil {
		a.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
		c.fail(http.StatusServiceUnavailable, &planner.Failure{
			Code: planner.FailureUnavailable, Message: fmt.Sprintf("the outcome is unknown: %v; resend the request with the same number", err),
		})
		return
	}
	a.recordAction(command, result)
	if result.Failure != nil {
		c.fail(statusOf(result.Failure.Code), result.Failure)
		return
	}
	c.ok(result)
}

func (a *Administrator) recordAction(c planner.Command, r planner.Result) {
	outcome := "done"
	if r.Failure != nil {
		outcome = string(r.Failure.Code)
	}
	fields := []zap.Field{
		zap.String("operator", string(c.Operator)), zap.Uint64("number", uint64(c.Number)), zap.String("action", string(c.Kind)),
		zap.Uint64("revision", uint64(r.Revision)), zap.String("outcome", outcome),
	}
	if r.Plan != nil {
		fields = append(fields, zap.Uint64("plan", uint64(r.Plan.ID)), zap.String("intent", string(r.Plan.Intent.Kind)),
			zap.String("object", r.Plan.Intent.Object()))
	}
	a.Recorder.Info(recorder.OperatorActed, fields...)
}

func statusOf(code planner.FailureCode) int {
	switch code {
	case planner.FailureConflict, planner.FailureStale:
		return http.StatusConflict
	case planner.FailureNotFound:
		return http.StatusNotFound
	case planner.FailureExpired:
		return http.StatusGone
	}
	return http.StatusUnprocessableEntity
}

func (a *Administrator) listPlans(c *call) {
	limit, after, ok := c.pageRange()
	if !ok {
		return
	}
	plans := a.Ledger.PlansAfter(planner.PlanID(after), limit+1)
	c.ok(page(plans, limit, func(p planner.Plan) string { return fmt.Sprint(p.ID) }))
}

func (a *Administrator) showPlan(c *call) {
	id, ok := c.planID()
	if !ok {
		return
	}
	p, ok := a.Ledger.Plan(id)
	if !ok {
		c.fail(http.StatusNotFound, &planner.Failure{
			Code: planner.FailureNotFound, Message: fmt.Sprintf("plan %d does not exist or is no longer remembered", id),
			Field: "id", Value: fmt.Sprint(id), Allowed: "the number of a plan in /v1/plans",
		})
		return
	}
	c.ok(p)
}

func (a *Administrator) listAudit(c *call) {
	limit, after, ok := c.pageRange()
	if !ok {
		return
	}
	entries := a.Ledger.Audit(planner.AuditSequence(after), limit+1)
	c.ok(page(entries, limit, func(e planner.AuditEntry) string { return fmt.Sprint(e.Sequence) }))
}
