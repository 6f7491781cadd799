// Package administrator serves the intent API to operators over HTTPS.
package administrator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	maxBody       = 1 << 20
	headerTimeout = 5 * time.Second
	proposeTime   = 5 * time.Second
)

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, entry []byte) ([]byte, error)
}

// Administrator serves the API. The exported fields are set before Run.
type Administrator struct {
	Address netip.AddrPort
	// TLS returns the configuration for a new connection.
	TLS      func() *tls.Config
	Log      Log
	Ledger   *planner.Ledger
	Leaser   *leaser.Leaser
	Recorder *recorder.Recorder
}

// Run serves requests until ctx ends.
func (a *Administrator) Run(ctx context.Context) error {
	server := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
	ln, err := tls.Listen("tcp", a.Address.String(), &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return a.TLS(), nil },
	})
	if err != nil {
		return eris.Wrapf(err, "listen on %s", a.Address)
	}
	serve := make(chan error, 1)
	go func() { serve <- server.Serve(ln) }()
	select {
	case err := <-serve:
		return eris.Wrap(err, "serve intent API")
	case <-ctx.Done():
	}
	// Requests in progress end on their own, because a proposal is bounded by proposeTime.
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTime)
	defer cancel()
	return eris.Wrap(server.Shutdown(finish), "finish requests")
}

// Handler returns the API without its transport.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/plans", a.createPlan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", a.confirmPlan)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/customers/{name}/proof", a.proof)
	return mux
}

// operator returns the name of the operator, or answers with an error.
func (a *Administrator) operator(w http.ResponseWriter, r *http.Request) (registrar.OperatorName, bool) {
	if r.TLS != nil {
		if name, ok := loader.PeerName(*r.TLS, loader.HolderOperator); ok {
			return registrar.OperatorName(name), true
		}
	}
	writeFailure(w, http.StatusForbidden, &planner.Failure{Code: "forbidden", Message: "certificate was not issued to an operator"})
	return "", false
}

// PlanRequest is the body of a request for a plan.
type PlanRequest struct {
	Number planner.RequestNumber `json:"number"`
	Intent planner.Intent        `json:"intent"`
}

// ConfirmRequest is the body of a confirmation.
type ConfirmRequest struct {
	Number planner.RequestNumber `json:"number"`
}

func (a *Administrator) createPlan(w http.ResponseWriter, r *http.Request) {
	operator, ok := a.operator(w, r)
	if !ok {
		return
	}
	var body PlanRequest
	if !readBody(w, r, &body) {
		return
	}
	a.propose(w, r, planner.Command{
		Kind: planner.CommandPlan, Operator: operator, Number: body.Number, Intent: &body.Intent,
	})
}

func (a *Administrator) confirmPlan(w http.ResponseWriter, r *http.Request) {
	operator, ok := a.operator(w, r)
	if !ok {
		return
	}
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, &planner.Failure{Code: planner.FailureInvalid, Message: "plan id is not a number"})
		return
	}
	var body ConfirmRequest
	if !readBody(w, r, &body) {
		return
	}
	a.propose(w, r, planner.Command{
		Kind: planner.CommandConfirm, Operator: operator, Number: body.Number, Plan: planner.PlanID(id),
	})
}

func (a *Administrator) propose(w http.ResponseWriter, r *http.Request, c planner.Command) {
	c.AtMilli = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), proposeTime)
	defer cancel()
	entry, err := json.Marshal(c)
	if err != nil {
		writeFailure(w, http.StatusInternalServerError, &planner.Failure{Code: "internal", Message: err.Error()})
		return
	}
	out, err := a.Log.Propose(ctx, entry)
	if err != nil {
		a.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
		writeFailure(w, http.StatusServiceUnavailable, &planner.Failure{Code: "unavailable", Message: err.Error()})
		return
	}
	var result planner.Result
	if err := json.Unmarshal(out, &result); err != nil {
		writeFailure(w, http.StatusInternalServerError, &planner.Failure{Code: "internal", Message: err.Error()})
		return
	}
	a.Recorder.Info(recorder.RequestServed, zap.String("operator", string(c.Operator)), zap.String("kind", string(c.Kind)),
		zap.Uint64("number", uint64(c.Number)))
	if result.Failure != nil {
		writeFailure(w, statusOf(result.Failure.Code), result.Failure)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func statusOf(code planner.FailureCode) int {
	switch code {
	case planner.FailureConflict, planner.FailureStale:
		return http.StatusConflict
	case planner.FailureNotFound:
		return http.StatusNotFound
	}
	return http.StatusUnprocessableEntity
}

func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeFailure(w, http.StatusBadRequest, &planner.Failure{Code: planner.FailureInvalid, Message: err.Error()})
		return false
	}
	return true
}

func writeFailure(w http.ResponseWriter, status int, f *planner.Failure) {
	writeJSON(w, status, struct {
		Failure *planner.Failure `json:"failure"`
	}{f})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// NodeStatus is what is known about a node.
type NodeStatus struct {
	Machine  registrar.MachineName `json:"machine"`
	Role     registrar.Role        `json:"role"`
	Zone     registrar.ZoneName    `json:"zone"`
	Revision registrar.Revision    `json:"revision"`
	Leased   bool                  `json:"leased"`
}

// Status is the state of the whole deployment.
type Status struct {
	Revision registrar.Revision   `json:"revision"`
	Zones    []registrar.Zone     `json:"zones"`
	Services []registrar.Service  `json:"services"`
	Upstream []registrar.Upstream `json:"upstreams"`
	Nodes    []NodeStatus         `json:"nodes"`
}

func (a *Administrator) status(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.operator(w, r); !ok {
		return
	}
	now := time.Now()
	world := a.Ledger.World
	st := Status{Revision: world.Revision(), Zones: world.Zones(), Services: world.Services(), Upstream: world.Upstreams()}
	for _, s := range a.Leaser.Sessions() {
		st.Nodes = append(st.Nodes, NodeStatus{
			Machine: s.Machine.Name, Role: s.Machine.Role, Zone: s.Machine.Zone, Revision: s.Revision,
			Leased: now.Before(s.LeaseUntil),
		})
	}
	writeJSON(w, http.StatusOK, st)
}

func (a *Administrator) proof(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.operator(w, r); !ok {
		return
	}
	customer, ok := a.Ledger.World.Customer(registrar.CustomerName(r.PathValue("name")))
	if !ok {
		writeFailure(w, http.StatusNotFound, &planner.Failure{Code: planner.FailureNotFound, Message: "customer does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, leaser.Prove(time.Now(), customer, a.Ledger.World.Machines(), a.Leaser.Sessions()))
}
