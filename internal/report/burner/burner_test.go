package burner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var start = time.Unix(1_700_000_000, 0)

func newCollector(all ...Objective) *Collector {
	c := &Collector{}
	c.SetObjectives(time.Time{}, all)
	return c
}

// TestNoRequestLost guards against requests that are lost or counted twice when heartbeats or their replies are lost.
func TestNoRequestLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCollector([]Objective{{Service: "s", Answered: 0.9, Fast: 0.9, FastWithin: 10 * time.Millisecond}}...)
		m := &Meter{StartedAt: start}
		agent := registrar.Machine{Name: "a", Incarnation: 1}
		now := start
		var want RequestCounts
		send := func() {
			b := m.Batch(now)
			if b == nil || rapid.Bool().Draw(t, "heartbeat lost") {
				return
			}
			c.Record(now, agent, b)
			if rapid.Bool().Draw(t, "reply arrives") {
				m.Confirm(b.Number)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d := time.Duration(rapid.SampledFrom([]int64{1, 9_900, 10_000, 10_200, 90_000_000}).Draw(t, "latency")) * time.Microsecond
			failed := rapid.Bool().Draw(t, "failed")
			m.Record("s", registrar.CustomerName(rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "customer")), d, failed)
			want.Requests++
			switch {
			case failed:
				want.Failed++
			case d > 10*time.Millisecond:
				want.Slow++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			send()
		}
		m.Finish()
		for !m.Finished() {
			send()
		}
		r := c.Report(now, Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}})
		require.Equal(t, want, r.Lines[0].Windows[0].Long)
		var perCustomer RequestCounts
		for _, l := range r.Lines[1:] {
			perCustomer.add(l.Windows[0].Long)
		}
		require.Equal(t, want, perCustomer)
	})
}

// TestVerdicts guards against an alert from one window alone, an alert that stays after its cause has gone, and a green line
// although data is missing.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		// badFrom and badUntil bound the minutes before the report in which every second request fails.
		badFrom, badUntil int
		// since is how many minutes ago the agent was first heard; last is how long ago its newest batch came.
		since, last int
		stopped     bool
		fast, slow  Verdict
	}{
		"good": {0, 0, 400, 0, false, OK, OK},
		// 11 bad minutes use 2.96 times the budget of 6 h, which is below 6.
		"bad for 10 minutes":      {10, 0, 400, 0, false, Burning, OK},
		"bad for 1 minute":        {1, 0, 400, 0, false, OK, OK},
		"bad until 10 minutes":    {40, 10, 400, 0, false, OK, Burning},
		"bad until 1 hour ago":    {300, 60, 400, 0, false, OK, OK},
		"instance started late":   {0, 0, 30, 0, false, Unknown, Unknown},
		"agent lost":              {0, 0, 400, 2, false, Unknown, Unknown},
		"agent stopped":           {0, 0, 400, 2, true, OK, OK},
		"bad and agent lost":      {20, 0, 400, 2, false, Burning, Unknown},
		"instance covers an hour": {0, 0, 120, 0, false, OK, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			col := newCollector([]Objective{{Service: "s", Answered: 0.99, Fast: 0.99, FastWithin: time.Second}}...)
			var number uint64
			for minute := c.since; minute >= c.last; minute-- {
				counts := CustomerCounts{Service: "s", Customer: "estate"}
				counts.Answered[0] = 100
				if minute <= c.badFrom && minute >= c.badUntil && c.badFrom > 0 {
					counts.Failed = 100
				}
				number++
				col.Record(start.Add(-time.Duration(minute)*time.Minute), registrar.Machine{Name: "a"}, &Batch{
					Number: number, StartedAt: start.Add(-24 * time.Hour), Customers: []CustomerCounts{counts},
					Final: c.stopped && minute == c.last,
				})
			}
			r := col.Report(start, Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}, "other": nil}})
			require.Equal(t, []registrar.ServiceName{"other"}, r.WithoutObjective)
			for _, f := range r.Judge() {
				want := map[Speed]Verdict{FastBurn: c.fast, SlowBurn: c.slow}[f.Speed]
				require.Equal(t, want, f.Verdict, "%s %q: %+v", f.Speed, f.Customer, f)
			}
		})
	}
}

// TestMerge guards against data that is missing at one instance but counts as present, and against counts that are lost when
// an agent moves to another instance.
func TestMerge(t *testing.T) {
	expected := Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}, Entries: []registrar.MachineName{"b"}}
	var reports []Report
	for i, agent := range []registrar.MachineName{"a", "b"} {
		c := newCollector([]Objective{{Service: "s", Answered: 0.99, Fast: 0.99, FastWithin: time.Second}}...)
		b := &Batch{Number: 1, StartedAt: start, Customers: []CustomerCounts{{Service: "s", Customer: "estate", Failed: uint64(i + 1)}}}
		c.Record(start, registrar.Machine{Name: agent}, b)
		r := c.Report(start, expected)
		require.NotEmpty(t, r.missing("s", time.Hour))
		reports = append(reports, r)
	}
	all := Merge(reports)
	require.Empty(t, all.missing("s", time.Hour))
	require.Len(t, all.Lines, 2)
	require.Equal(t, RequestCounts{Requests: 3, Failed: 3}, all.Lines[1].Windows[0].Short)
}

// TestChangedObjective guards against counts by an earlier bound that are judged by a new one, and against a green line that
// leaves out the requests before the change.
func TestChangedObjective(t *testing.T) {
	bound := func(d time.Duration) Objective {
		return Objective{Service: "s", Answered: 0.9, Fast: 0.9, FastWithin: d}
	}
	c := newCollector(bound(time.Second))
	batch := &Batch{Number: 1, StartedAt: start.Add(-24 * time.Hour), Customers: []CustomerCounts{{Service: "s", Customer: "estate"}}}
	batch.Customers[0].Answered[0] = 100
	expected := Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}}
	requests := func() uint64 {
		r := c.Report(start, expected)
		return r.Lines[len(r.Lines)-1].Windows[0].Long.Requests
	}
	c.Record(start.Add(-time.Minute), registrar.Machine{Name: "a"}, batch)
	stricter := bound(time.Second)
	stricter.Answered = 0.99
	c.SetObjectives(start, []Objective{stricter})
	require.EqualValues(t, 100, requests(), "a change of the share drops counts that it can judge")
	c.SetObjectives(start, []Objective{bound(time.Millisecond)})
	require.Zero(t, requests())
	batch.Number++
	c.Record(start, registrar.Machine{Name: "a"}, batch)
	r := c.Report(start, expected)
	for _, f := range r.Judge() {
		require.Equal(t, Unknown, f.Verdict)
		require.Contains(t, f.Missing[0], "judged by this objective only since")
	}
	other := newCollector(bound(time.Second)).Report(start, expected)
	merged := Merge([]Report{r, other})
	require.Contains(t, merged.Judge()[0].Missing, "control instances have different objectives")
}
