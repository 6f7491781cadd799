package burner

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Objective is a service-level objective: the shares of requests that may fail or be slow.
type Objective struct {
	Service registrar.ServiceName
	// Customer is empty for an objective of the whole service, which also applies to each customer without one of its own.
	Customer registrar.CustomerName
	// Answered is the share of requests that must not fail.
	Answered float64
	// Fast is the share of requests that must be answered within FastWithin, which is one of Bounds.
	Fast       float64
	FastWithin time.Duration
}

// RequestCounts are the request counts of one service and customer in a period.
type RequestCounts struct {
	Requests uint64 `json:"requests"`
	Failed   uint64 `json:"failed"`
	// Slow counts answers that took longer than FastWithin of the objective.
	Slow uint64 `json:"slow"`
}

func (c *RequestCounts) add(o RequestCounts) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// burnRate returns how many times faster than the objective allows bad requests use up the error budget.
func burnRate(bad, requests uint64, objective float64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / (1 - objective)
}

// requestCounts returns the counts of a customer as judged by the objective.
func (o Objective) requestCounts(c CustomerCounts) RequestCounts {
	n := RequestCounts{Requests: c.Failed, Failed: c.Failed}
	for i, count := range c.Answered {
		n.Requests += count
		if i == len(Bounds) || Bounds[i] > o.FastWithin {
			n.Slow += count
		}
	}
	return n
}

// Speed identifies an alert rule by the speed of the burn that it detects.
type Speed string

// Speeds of burn.
const (
	FastBurn Speed = "fast"
	SlowBurn Speed = "slow"
)

// alertRule is an alert condition: the burn rate over both windows is at least the threshold. The short window ends the alert
// soon after its cause is gone.
type alertRule struct {
	speed                   Speed
	shortWindow, longWindow time.Duration
	// threshold is a burn rate, from table 5-8 of the SRE Workbook for a budget of 30 days: 14.4 uses 2% of it in 1 h, and 6
	// uses 5% in 6 h.
	threshold float64
}

var alertRules = [...]alertRule{
	{FastBurn, 5 * time.Minute, time.Hour, 14.4},
	{SlowBurn, 30 * time.Minute, 6 * time.Hour, 6},
}

// Thresholds returns the burn rates at which alerts start.
func Thresholds() map[Speed]float64 {
	all := map[Speed]float64{}
	for _, r := range alertRules {
		all[r.speed] = r.threshold
	}
	return all
}
