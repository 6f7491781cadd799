package burner

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Objective says how many requests of a service may fail or be late.
type Objective struct {
	Service registrar.ServiceName
	// Customer is empty for an objective of the whole service, which also holds for each customer without one of its own.
	Customer registrar.CustomerName
	// Answered is the share of requests that must not fail.
	Answered float64
	// Fast is the share of requests that must be answered within FastWithin, which is one of Bounds.
	Fast       float64
	FastWithin time.Duration
}

// RequestCounts are requests of one service and customer in some time.
type RequestCounts struct {
	Requests uint64 `json:"requests"`
	Failed   uint64 `json:"failed"`
	// Slow counts answers later than the objective allows.
	Slow uint64 `json:"slow"`
}

func (c *RequestCounts) add(o RequestCounts) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// burn returns how many times faster than allowed bad requests use up the budget.
func burn(bad, requests uint64, objective float64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / (1 - objective)
}

// reduce turns the counts of a batch into those of an objective.
func (o Objective) reduce(c CustomerCounts) RequestCounts {
	n := RequestCounts{Requests: c.Failed, Failed: c.Failed}
	for i, count := range c.Answered {
		n.Requests += count
		if i == len(Bounds) || Bounds[i] > o.FastWithin {
			n.Slow += count
		}
	}
	return n
}

// Speed names a pair of windows.
type Speed string

// The speeds of burn.
const (
	FastBurn Speed = "fast"
	SlowBurn Speed = "slow"
)

// rule is an alert condition: the burn over both windows is at least the threshold. The short window ends the alert soon
// after the cause has gone.
type rule struct {
	speed       Speed
	short, long time.Duration
	// threshold is a burn rate, from table 5-8 of the SRE Workbook for a budget of 30 days: 14.4 uses 2% of it in 1 h, and 6
	// uses 5% in 6 h.
	threshold float64
}

var rules = [...]rule{
	{FastBurn, 5 * time.Minute, time.Hour, 14.4},
	{SlowBurn, 30 * time.Minute, 6 * time.Hour, 6},
}

// Thresholds returns the burn rates that alerts start at.
func Thresholds() map[Speed]float64 {
	all := map[Speed]float64{}
	for _, r := range rules {
		all[r.speed] = r.threshold
	}
	return all
}
