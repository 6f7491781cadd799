package runner

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestBurnStore guards against counts that are lost by a kill or counted twice after a snapshot, and against a damaged folder that
// keeps a control instance from starting, is reported as complete data or is used again.
func TestBurnStore(t *testing.T) {
	cfg := parser.Control{DataFolder: t.TempDir(), Objectives: []parser.Objective{{Service: "s", Answered: 0.9, Fast: 0.9, FastWithin: parser.Duration(time.Second)}}}
	agent := registrar.Machine{Name: "a", Incarnation: 1}
	now := time.Now()
	send := func(s *burnStore, number uint64) {
		s.record(now, agent, &burner.Batch{
			Number: number, StartedAt: now.Add(-time.Hour), Customers: []burner.CustomerCounts{{Service: "s", Customer: "estate", Failed: 1}},
		})
	}
	requests := func(s *burnStore) (uint64, []string) {
		e := burner.Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{"s": {"a"}}}
		r := burner.Merge([]burner.Report{s.collector.Report(now, e)})
		f := r.Judge()[0]
		return f.Requests, f.Missing
	}
	var last uint64
	for _, save := range []bool{false, true, false} {
		s := openBurnStore(cfg, recorder.Discard())
		for range 3 {
			last++
			send(s, last)
			send(s, last)
		}
		if save {
			s.save()
			last++
			send(s, last)
		}
		// The store is not closed, as after a kill.
		n, missing := requests(openBurnStore(cfg, recorder.Discard()))
		require.Equal(t, last, n)
		require.Empty(t, missing)
	}
	snapshot := filepath.Join(cfg.DataFolder, burnFolder, burnSnapshot)
	require.NoError(t, os.WriteFile(snapshot, []byte("damaged"), 0o600))
	s := openBurnStore(cfg, recorder.Discard())
	last++
	send(s, last)
	for _, s := range []*burnStore{s, openBurnStore(cfg, recorder.Discard())} {
		n, missing := requests(s)
		require.EqualValues(t, 1, n)
		require.NotEmpty(t, missing)
	}
}
