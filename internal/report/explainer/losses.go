package explainer

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Cause is a class of reasons for which flows are lost.
type Cause string

// Causes of losses.
const (
	// CauseNoPower means that no process of the machine ran.
	CauseNoPower  Cause = "no power"
	CauseNoLeader Cause = "no leader or lease"
	// CauseCold means that the upstreams had taken as many new flows as a cold upstream may.
	CauseCold     Cause = "cold bound"
	CauseUpstream Cause = "failing or ended upstream"
	CauseNoRoom   Cause = "no room"
	// CauseNoRoute means that the configuration in force at the entry had no route for the address.
	CauseNoRoute  Cause = "no route"
	CauseSearch   Cause = "search or lookup without a result"
	CauseReturned Cause = "returned flow"
	// CauseNoAnswer means that an upstream got the request, went on running and did not answer.
	CauseNoAnswer Cause = "no answer"
	CauseUnknown  Cause = "unknown"
)

// ErrNoEvents means that the logs have no line that is a numbered event.
var ErrNoEvents = errors.New("no numbered event in these logs")

// DefaultLate is the default of LossQuery.Late.
const DefaultLate = 400 * time.Millisecond

// Zoner knows the zone of machines.
type Zoner interface {
	// ZoneOf returns the zone of a machine, or an empty name if it is not known.
	ZoneOf(machine string) registrar.ZoneName
}

// LossQuery says what counts as lost and how lost flows are grouped.
type LossQuery struct {
	// Late is the time after which an answer is late.
	Late time.Duration
	// Zones is nil if no zones are known.
	Zones Zoner
	// ColdRate is the number of new flows a second that a cold upstream may get; 0 if the limit is not asked for.
	ColdRate float64
}

// zoneOf returns the zone of a process, by the name of its machine.
func (q LossQuery) zoneOf(process string) registrar.ZoneName {
	if q.Zones == nil || process == "" {
		return ""
	}
	return q.Zones.ZoneOf(baseName(process))
}

// Counts are numbers of flows. Flows for which lines were left out are estimated from a sample.
type Counts struct {
	// Refused counts the flows whose opening packets were all refused or dropped.
	Refused int
	// Unanswered counts the flows whose last request got no answer.
	Unanswered int
	// Late counts the requests that were answered late.
	Late int
	// Delayed counts the opening packets and requests that were dropped or waited at first, and then were answered in time.
	Delayed int
	// TotalDelay is the sum of the delays of Delayed.
	TotalDelay time.Duration
}

// Lost returns the number of flows that were lost.
func (c Counts) Lost() int { return c.Refused + c.Unanswered }

func (c *Counts) add(o Counts) {
	c.Refused += o.Refused
	c.Unanswered += o.Unanswered
	c.Late += o.Late
	c.Delayed += o.Delayed
	c.TotalDelay += o.TotalDelay
}

// meanDelay returns the mean delay of the delayed flows.
func (c Counts) meanDelay() time.Duration {
	return c.TotalDelay / time.Duration(max(c.Delayed, 1))
}

// LossRow counts the flows of a route, zone and second that have the same cause.
type LossRow struct {
	// Second is the one in which the caller's first packet was seen.
	Second time.Time
	Route  netip.AddrPort
	// Zone is that of the entry, or empty if it is not known.
	Zone  registrar.ZoneName
	Cause Cause
	Counts
}

// CauseTotal counts the flows that have the same cause and detail.
type CauseTotal struct {
	Cause Cause
	// Detail is what the logs say more exactly.
	Detail string
	Counts
}

// RouteTotal counts the flows of a route.
type RouteTotal struct {
	Route netip.AddrPort
	Counts
	// Unknown is the part of the counts that has no known cause.
	Unknown Counts
}

// PowerGap is a time in which machines of a zone ran no process.
type PowerGap struct {
	Zone registrar.ZoneName
	// From is the time of the last line that one of the machines wrote before it, and To the time of the last start.
	From, To time.Time
	Machines int
}

// Omissions says what the logs left out, and how it was estimated.
type Omissions struct {
	// Lines is the number of lines that event 3105 reports, and Seconds the number of seconds of processes in which they fell.
	Lines, Seconds uint64
	// Scaled counts the flows that stand for others in the counts, and ScaledTo what they stand for.
	Scaled, ScaledTo int
	// Unsampled counts the flows that seemed lost or late but were not counted, because the lines that would show the opposite may
	// be among those left out. Flows of the sample stand for them.
	Unsampled int
}

// Losses is the account of lost and late flows.
type Losses struct {
	// Rows are ordered by second, route, zone and cause.
	Rows []LossRow
	// Causes and Routes are totals, with the greatest losses first.
	Causes []CauseTotal
	Routes []RouteTotal
	Total  Counts
	// Unknown is the part of Total that has no known cause.
	Unknown   Counts
	Gaps      []PowerGap
	Omissions Omissions
	// Limit is nil if it was not asked for.
	Limit *Limit
	// Open counts the flows whose outcome was not certain at the end of the logs.
	Open int
	// Unseen counts the flows that were placed at upstreams whose agents have no line in these logs.
	Unseen int
	// From and To are the times of the first and last line.
	From, To time.Time
	Late     time.Duration
}

// AccountLosses returns where the logs show that flows were lost or late. It reads the logs in one pass and keeps only flows with
// lines of the last flowMemory. It returns ErrNoEvents if the logs have no events.
func AccountLosses(logs []Log, q LossQuery) (*Losses, error) {
	a := newAccount(q)
	if err := mergeLogs(logs, a.take); err != nil {
		return nil, err
	}
	if a.from.IsZero() {
		return nil, ErrNoEvents
	}
	return a.close(), nil
}

// rowKey identifies a row.
type rowKey struct {
	second int64
	route  netip.AddrPort
	zone   registrar.ZoneName
	cause  Cause
}

// causeKey identifies a total by cause.
type causeKey struct {
	cause  Cause
	detail string
}

// lossTable adds up outcomes.
type lossTable struct {
	rows   map[rowKey]Counts
	causes map[causeKey]Counts
}

func (t *lossTable) add(k rowKey, detail string, c Counts) {
	row := t.rows[k]
	row.add(c)
	t.rows[k] = row
	total := t.causes[causeKey{k.cause, detail}]
	total.add(c)
	t.causes[causeKey{k.cause, detail}] = total
}

// fill sets the rows and totals of an account.
func (t *lossTable) fill(l *Losses) {
	routes := map[netip.AddrPort]*RouteTotal{}
	for k, c := range t.rows {
		l.Rows = append(l.Rows, LossRow{Second: time.Unix(k.second, 0).UTC(), Route: k.route, Zone: k.zone, Cause: k.cause, Counts: c})
		route := routes[k.route]
		if route == nil {
			route = &RouteTotal{Route: k.route}
			routes[k.route] = route
		}
		route.add(c)
		l.Total.add(c)
		if k.cause == CauseUnknown {
			route.Unknown.add(c)
			l.Unknown.add(c)
		}
	}
	for k, c := range t.causes {
		l.Causes = append(l.Causes, CauseTotal{k.cause, k.detail, c})
	}
	for _, route := range routes {
		l.Routes = append(l.Routes, *route)
	}
	slices.SortFunc(l.Rows, func(a, b LossRow) int {
		return cmp.Or(a.Second.Compare(b.Second), a.Route.Compare(b.Route), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cause, b.Cause))
	})
	slices.SortFunc(l.Causes, func(a, b CauseTotal) int {
		return cmp.Or(compareLosses(a.Counts, b.Counts), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Detail, b.Detail))
	})
	slices.SortFunc(l.Routes, func(a, b RouteTotal) int {
		return cmp.Or(compareLosses(a.Counts, b.Counts), a.Route.Compare(b.Route))
	})
}

// compareLosses orders counts by lost, late and delayed flows, the greatest first.
func compareLosses(a, b Counts) int {
	return cmp.Or(cmp.Compare(b.Lost(), a.Lost()), cmp.Compare(b.Late, a.Late), cmp.Compare(b.Delayed, a.Delayed))
}
