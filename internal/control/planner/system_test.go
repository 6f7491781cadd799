package planner_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestStaleSystemChange guards against a control instance with an old revision that undoes an operator's change, because a
// change of the system carries whole objects.
func TestStaleSystemChange(t *testing.T) {
	l := planner.NewLedger(&publisher.Publisher{})
	apply := func(c planner.Command) (r planner.Result) {
		b, err := json.Marshal(c)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(l.Apply(0, b), &r))
		return r
	}
	zone := registrar.Zone{Name: "johor-a", Region: "johor"}
	plan := apply(planner.Command{Kind: planner.CommandPlan, Number: 1, Intent: &planner.Intent{Kind: planner.AddZone, Zone: &zone}})
	require.Nil(t, plan.Failure)
	confirmed := apply(planner.Command{Kind: planner.CommandConfirm, Number: 2, Plan: plan.Plan.ID})
	require.Nil(t, confirmed.Failure)
	changed := registrar.Zone{Name: "johor-a", Region: "johor", Withdrawn: true}
	stale := planner.Command{Kind: planner.CommandSystem, Changes: []registrar.Change{{Kind: registrar.PutZone, Zone: &changed}}}
	r := apply(stale)
	require.NotNil(t, r.Failure)
	require.Equal(t, planner.FailureStale, r.Failure.Code)
	stale.Base = confirmed.Revision
	require.Nil(t, apply(stale).Failure)
}
