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

func (c *call) noCustomer(name registrar.CustomerName) {
	c.fail(http.StatusNotFound, &planner.Failure{
		Code: planner.FailureNotFound, Message: fmt.Sprintf("customer %q does not exist", name), Field: "name",
		Value: string(name), Allowed: "the name of a customer in /v1/customers",
	})
}

func (a *Administrator) trace(c *call) {
	name := registrar.CustomerName(c.request.PathValue("name"))
	customer, ok := a.Ledger.World.Customer(name)
	if !ok {
		c.noCustomer(name)
		return
	}
	instances := a.Collector.Collect(c.request.Context(), connector.Question{Customer: name})
	c.ok(tracer.New(time.Now(), a.Ledger.World, customer, instances))
}

// The values of the parameter nodes.
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
	// The proof holds for the moment before the question: whatever was granted or reported until then is in the answers. A later
	// clock reading would take leases for expired that were renewed while this process did not run.
	before, _ := a.Ledger.World.Customer(name)
	at := time.Now()
	instances := a.Collector.Collect(c.request.Context(), connector.Question{Customer: name})
	// The configuration is read after the instance has vouched for it, so it has all that was confirmed until known.
	now := time.Now()
	age, vouched := a.Authority.Vouch(now)
	if known := now.Add(-age); vouched && known.Before(at) {
		at = known
	}
	// Customer and machines come from one copy of the configuration.
	st := a.Ledger.World.State()
	for _, customer := range st.Customers {
		if customer.Name != name {
			continue
		}
		p := leaser.Prove(at, leaser.Case{
			Customer: customer, Changed: customer != before, Revision: st.Revision, Vouched: vouched, Machines: st.Machines, Instances: instances,
		})
		a.Recorder.Info(recorder.ProofMade, zap.String("customer", string(name)), zap.String("verdict", string(p.Verdict)),
			zap.Uint64("revision", uint64(p.Revision)))
		if nodes == unconfirmedNodes {
			p.OmitConfirmed()
		}
		c.ok(p)
		return
	}
	c.noCustomer(name)
}
