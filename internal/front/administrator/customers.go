package administrator

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/tracer"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func (c *call) failNoCustomer(name registrar.CustomerName) {
	c.fail(http.StatusNotFound, &planner.Failure{
		Code: planner.FailureNotFound, Message: fmt.Sprintf("customer %q does not exist", name), Field: "name",
		Value: string(name), Allowed: "the name of a customer in /v1/customers",
	})
}

func (a *Administrator) trace(c *call) {
	name := registrar.CustomerName(c.request.PathValue("name"))
	customer, ok := a.Ledger.World.Customer(name)
	if !ok {
		c.failNoCustomer(name)
		return
	}
	instances := a.Collector.Collect(c.request.Context(), connector.SessionQuery{Customer: name})
	c.ok(tracer.New(time.Now(), a.Ledger.World, customer, instances))
}

// Values of the query parameter nodes.
const (
	allNodes         = "all"
	unconfirmedNodes = "unconfirmed"
)

func (a *Administrator) proof(c *call) {
	name := registrar.CustomerName(c.request.PathValue("name"))
	nodes := c.request.URL.Query().Get("nodes")
	if nodes != "" && nodes != allNodes && nodes != unconfirmedNodes {
		c.fail(http.StatusBadRequest, badRequest("nodes", nodes, allNodes+" or "+unconfirmedNodes))
		return
	}
	// The proof is made for the time before the instances are queried, because their answers include every lease granted and
	// every report received until then. With a later clock reading, a lease that was renewed while this process was suspended
	// would be judged expired.
	customerBefore, _ := a.Ledger.World.Customer(name)
	provenAt := time.Now()
	instances := a.Collector.Collect(c.request.Context(), connector.SessionQuery{Customer: name})
	// The configuration is read after the call of StateAge, so it has every change that was confirmed until currentAt.
	now := time.Now()
	age, isCurrent := a.StateAger.StateAge(now)
	if currentAt := now.Add(-age); isCurrent && currentAt.Before(provenAt) {
		provenAt = currentAt
	}
	// Customer and machines are read from one snapshot of the configuration, so they belong to the same revision.
	st := a.Ledger.World.State()
	for _, customer := range st.Customers {
		if customer.Name != name {
			continue
		}
		p := leaser.Prove(provenAt, leaser.ProofInput{
			Customer: customer, CustomerChanged: customer != customerBefore, Revision: st.Revision, ConfigurationCurrent: isCurrent, Machines: st.Machines, Instances: instances,
		})
		a.Recorder.Info(recorder.ProofMade, zap.String("customer", string(name)), zap.String("verdict", string(p.Verdict)),
			zap.Uint64("revision", uint64(p.Revision)))
		if nodes == unconfirmedNodes {
			p.OmitConfirmed()
		}
		c.ok(p)
		return
	}
	c.failNoCustomer(name)
}
