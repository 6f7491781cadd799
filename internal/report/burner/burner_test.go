package burner

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_700_000_000, 0)

func newCollector(all ...Objective) *Collector {
	c := &Collector{}
	c.SetObjectives(time.Time{}, all)
	return c
}

// TestNoRequestLost guards against requests that are not counted, or counted twice, when heartbeats or their replies are lost.
func TestNoRequestLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCollector([]Objective{{Service: "s", Answered: 0.9, Fast: 0.9, FastWithin: 10 * time.Millisecond}}...)
		m := &Meter{StartedAt: start}
		agent := registrar.Machine{Name: "a", Incarnation: 1}
		now := start
		var want RequestCounts
		send := func() {
			b := m.Batch(now, netip.AddrPort{})
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

// TestCountedOnce guards against a batch that is counted twice because its reply was lost and it was sent to another instance,
// against counts lost in the restart of an instance, and against the verdict ok after an instance restarted with an old state.
func TestCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := Objective{Service: "s", Answered: 0.9, Fast: 0.9, FastWithin: time.Second}
		instances := []*Collector{newCollector(objective), newCollector(objective)}
		addresses := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
		m, agent, now, current, want := &Meter{StartedAt: start}, registrar.Machine{Name: "a", Incarnation: 1}, start, 0, RequestCounts{}
		oldState := instances[0].State()
		rolledBack := false
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(BatchInterval)
			n := rapid.IntRange(0, 3).Draw(t, "requests")
			m.RecordMany("s", "estate", 0, true, n)
			want.add(RequestCounts{Requests: uint64(n), Failed: uint64(n)})
			b := m.Batch(now, addresses[current])
			arrives := rapid.IntRange(0, 4).Draw(t, "heartbeat") > 0
			if arrives {
				instances[current].Record(now, agent, b)
			}
			if arrives && rapid.IntRange(0, 4).Draw(t, "reply") > 0 {
				m.Confirm(b.Number)
			} else {
				current = 1 - current
			}
			switch rapid.IntRange(0, 20).Draw(t, "restart") {
			case 0:
				encoded, err := json.Marshal(instances[0].State())
				require.NoError(t, err)
				var st State
				require.NoError(t, json.Unmarshal(encoded, &st))
				instances[0] = &Collector{}
				instances[0].Restore(st)
			case 1:
				oldState = instances[0].State()
			case 2:
				instances[0], rolledBack = &Collector{}, true
				instances[0].Restore(oldState)
			}
		}
		m.Finish()
		for !m.Finished() {
			now = now.Add(BatchInterval)
			b := m.Batch(now, addresses[current])
			instances[current].Record(now, agent, b)
			m.Confirm(b.Number)
		}
		expected := Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}}
		r := Merge([]Report{instances[0].Report(now, expected), instances[1].Report(now, expected)})
		got := r.Lines[0].Windows[1].Long
		require.LessOrEqual(t, got.Requests, want.Requests)
		if missing := r.missingData("s", historyDuration); len(missing) == 0 || !rolledBack {
			require.Empty(t, missing)
			require.Equal(t, want, got)
		}
	})
}

// TestForwarding guards against datagrams of an entry that are lost or counted twice, and against a quantile that is
// too low.
func TestForwarding(t *testing.T) {
	m, c := &Meter{StartedAt: start}, newCollector()
	for i := range BatchLimit + 5 {
		traffic := m.Traffic(registrar.ServiceName(fmt.Sprint("s", i)))
		traffic.Forwarded(8 * time.Microsecond)
		traffic.Forwarded(time.Hour)
		traffic.Drop()
	}
	expected := Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s0": nil, "s54": nil}, Entries: []registrar.MachineName{"e"}}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(BatchInterval) {
		b := m.Batch(now, netip.AddrPort{})
		require.LessOrEqual(t, len(b.Forwarded), BatchLimit)
		c.Record(now, registrar.Machine{Name: "e"}, b)
		c.Record(now, registrar.Machine{Name: "e"}, b)
		m.Confirm(b.Number)
	}
	r := c.Report(start.Add(time.Minute), expected)
	require.Len(t, r.Forwarding, 2)
	for _, f := range r.Forwarding {
		require.EqualValues(t, 2, f.Total())
		require.EqualValues(t, 1, f.Dropped)
		require.Equal(t, 10*time.Microsecond, f.Quantile(0.5))
		require.Zero(t, f.Quantile(0.99), "a datagram beyond the last bound")
	}
	require.Empty(t, r.MissingForwarding())
	late := c.Report(start.Add(2*time.Minute), expected)
	require.NotEmpty(t, late.MissingForwarding())
}

// TestVerdicts guards against an alert from one window alone, an alert that continues after its cause is gone, and the
// verdict ok although data is missing.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		// badFrom and badUntil bound the minutes before the report in which every second request fails.
		badFrom, badUntil int
		// since and last are the ages in minutes of the first and of the newest batch of the agent.
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
			// The agent has sent a batch every 5 s for 24 h.
			number := uint64(17_280)
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

// TestMerge guards against data that is missing at one instance but counts as available, and against counts that are lost when
// an agent moves to another instance.
func TestMerge(t *testing.T) {
	expected := Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}, Entries: []registrar.MachineName{"b"}}
	var reports []Report
	for i, agent := range []registrar.MachineName{"a", "b"} {
		c := newCollector([]Objective{{Service: "s", Answered: 0.99, Fast: 0.99, FastWithin: time.Second}}...)
		b := &Batch{Number: 1, StartedAt: start, Customers: []CustomerCounts{{Service: "s", Customer: "estate", Failed: uint64(i + 1)}}}
		c.Record(start, registrar.Machine{Name: agent}, b)
		r := c.Report(start, expected)
		require.NotEmpty(t, r.missingData("s", time.Hour))
		reports = append(reports, r)
	}
	all := Merge(reports)
	require.Empty(t, all.missingData("s", time.Hour))
	require.Len(t, all.Lines, 2)
	require.Equal(t, RequestCounts{Requests: 3, Failed: 3}, all.Lines[1].Windows[0].Short)
}

// TestChangedObjective guards against slow requests that were counted by the previous fast_within and remain after it changed,
// and against the verdict ok for a line whose counts from before the change were dropped.
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
