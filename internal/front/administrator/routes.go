package administrator

import (
	"net/http"
	"reflect"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/tracer"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// route is one operation of the API. The routes and the OpenAPI document are built from the same table.
type route struct {
	Method, Path, Summary string
	// Query are the names of the query parameters.
	Query []string
	// Body and Answer are the types of the bodies; Body is nil for operations without one.
	Body, Answer reflect.Type
	freshness    freshness
	serve        func(*call)
}

// freshness is what a GET operation does if the configuration may lack the newest confirmed changes.
type freshness uint8

const (
	// freshnessRequired refuses to answer without the newest confirmed changes.
	freshnessRequired freshness = iota
	// freshnessDeclared answers in any case. A field of the answer says whether it contains the newest confirmed changes.
	freshnessDeclared
	// freshnessIgnored is for operations that do not show the configuration.
	freshnessIgnored
)

func typeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

var pageParameters = []string{"limit", "after"}

// routes returns all operations of the API.
func (a *Administrator) routes() []route {
	return append([]route{
		{
			Method: http.MethodPost, Path: "/v1/plans", Summary: "Ask for the plan of an intent. Nothing takes effect yet.",
			Body: typeOf[PlanRequest](), Answer: typeOf[planner.Result](), serve: a.createPlan,
		},
		{
			Method: http.MethodGet, Path: "/v1/plans", Summary: "List the remembered plans.", Query: pageParameters,
			Answer: typeOf[Page[planner.Plan]](), serve: a.listPlans,
		},
		{
			Method: http.MethodGet, Path: "/v1/plans/{id}", Summary: "Show a plan.", Answer: typeOf[planner.Plan](),
			serve: a.showPlan,
		},
		{
			Method: http.MethodPost, Path: "/v1/plans/{id}/confirm", Body: typeOf[ConfirmRequest](),
			Summary: "Confirm a plan: exactly that plan is applied, or it is stale.", Answer: typeOf[planner.Result](),
			serve: a.confirmPlan,
		},
		{
			Method: http.MethodGet, Path: "/v1/audit", Summary: "List who did what and when.", Query: pageParameters,
			Answer: typeOf[Page[planner.AuditEntry]](), serve: a.listAudit,
		},
		{
			Method: http.MethodGet, Path: "/v1/status", Summary: "Show the configuration and the nodes that enforce it.",
			Answer: typeOf[Status](), freshness: freshnessDeclared, serve: a.status,
		},
		{
			Method: http.MethodGet, Path: "/v1/customers/{name}/trace", Summary: "Show where a customer's traffic goes now.",
			Answer: typeOf[tracer.Trace](), serve: a.trace,
		},
		{
			Method: http.MethodGet, Path: "/v1/customers/{name}/proof", Answer: typeOf[leaser.Proof](), freshness: freshnessDeclared, serve: a.proof,
			Query:   []string{"nodes"},
			Summary: "Show whether a customer's traffic has stopped, with the evidence of every node.",
		},
		{
			Method: http.MethodGet, Path: "/v1/burn", Answer: typeOf[burner.Report](),
			Summary:   "Show the requests that agents reported to this instance, for the report on service-level burn.",
			freshness: freshnessIgnored, serve: func(c *call) { c.ok(a.Burn(time.Now())) },
		},
		{
			Method: http.MethodGet, Path: "/v1/openapi.json", Summary: "Return this document.", Answer: typeOf[map[string]any](),
			freshness: freshnessIgnored, serve: func(c *call) { c.ok(a.Document()) },
		},
	}, append(a.memberRoutes(), a.listRoutes()...)...)
}

// listRoutes returns the operations that list the objects of the configuration.
func (a *Administrator) listRoutes() []route {
	w := a.world()
	get := func(path, summary string, answer reflect.Type, serve func(*call)) route {
		return route{Method: http.MethodGet, Path: path, Summary: summary, Query: pageParameters, Answer: answer, serve: serve}
	}
	return []route{
		get("/v1/zones", "List zones.", typeOf[Page[registrar.Zone]](), list(func(*call) []registrar.Zone { return w.Zones() },
			func(v registrar.Zone) string { return string(v.Name) })),
		get("/v1/services", "List services.", typeOf[Page[registrar.Service]](),
			list(func(*call) []registrar.Service { return w.Services() },
				func(v registrar.Service) string { return string(v.Name) })),
		get("/v1/upstreams", "List upstreams.", typeOf[Page[registrar.Upstream]](),
			list(func(*call) []registrar.Upstream { return w.Upstreams() },
				func(v registrar.Upstream) string { return string(v.Name) })),
		get("/v1/customers", "List customers.", typeOf[Page[registrar.Customer]](),
			list(func(*call) []registrar.Customer { return w.Customers() },
				func(v registrar.Customer) string { return string(v.Name) })),
		get("/v1/contracts", "List contracts.", typeOf[Page[registrar.Contract]](),
			list(func(*call) []registrar.Contract { return w.Contracts() },
				func(v registrar.Contract) string { return string(v.Name) })),
		get("/v1/nodes", "List entries and agents.", typeOf[Page[NodeStatus]](), a.listNodes()),
	}
}

// world returns the configuration, or nil if the Administrator has no ledger because it only generates the OpenAPI document.
func (a *Administrator) world() *registrar.World {
	if a.Ledger == nil {
		return nil
	}
	return a.Ledger.World
}
