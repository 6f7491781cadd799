package measurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() {
	register("control_confirm", measureConfirm)
	register("control_in_force", measureInForce)
	register("control_failover", measureFailover)
	register("control_recovery", measureRecovery)
}

// controlGroup is a group of three control instances with an operator that keeps its connections open.
type controlGroup struct {
	*deployer.Deployment
	t      *testing.T
	client *http.Client
	// number is the request number of the last plan. Its confirmation has the next number.
	number uint64
	// withdrawn is true if the spare zone is withdrawn.
	withdrawn bool
}

// spareZone is a zone without machines. Changes withdraw and return it in turn, so that the configuration does not grow.
const spareZone registrar.ZoneName = "johor-spare"

func newControlGroup(t *testing.T, entries int) *controlGroup {
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: entries, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c"},
	})
	d.StartAll()
	d.Configure("estate")
	d.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: spareZone, Region: "johor"}})
	m, err := loader.Load(parser.Keys{
		Authority: d.KeyFile(issuer.AuthorityFile), Certificate: d.KeyFile("operator.pem"), PrivateKey: d.KeyFile("operator.key"),
	})
	require.NoError(t, err)
	g := &controlGroup{
		Deployment: d, t: t, number: 1 << 32,
		client: &http.Client{Transport: &http.Transport{TLSClientConfig: m.Client()}, Timeout: 2 * time.Second},
	}
	t.Cleanup(g.client.CloseIdleConnections)
	return g
}

func (g *controlGroup) call(i int, method, path string, body, out any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "https://"+g.APIAddr(i).String()+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if b, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, b)
	}
	return json.Unmarshal(b, out)
}

// planAndConfirm plans and confirms one change at instance i, and returns its revision and how long the confirmation took.
func (g *controlGroup) planAndConfirm(i int) (registrar.Revision, time.Duration, error) {
	g.number += 2
	kind := planner.WithdrawZone
	if g.withdrawn {
		kind = planner.ReturnZone
	}
	plan := administrator.PlanRequest{
		Number: planner.RequestNumber(g.number), Intent: planner.Intent{Kind: kind, Zone: &registrar.Zone{Name: spareZone}},
	}
	var r planner.Result
	if err := g.call(i, http.MethodPost, "/v1/plans", plan, &r); err != nil {
		return 0, 0, err
	}
	start := time.Now()
	err := g.call(i, http.MethodPost, fmt.Sprintf("/v1/plans/%d/confirm", r.Plan.ID),
		administrator.ConfirmRequest{Number: planner.RequestNumber(g.number + 1)}, &r)
	if err == nil {
		g.withdrawn = !g.withdrawn
	}
	return r.Revision, time.Since(start), err
}

// confirmChange makes one change at any instance except the excluded one; -1 excludes none.
func (g *controlGroup) confirmChange(excluded int) registrar.Revision {
	for start := time.Now(); time.Since(start) < deployer.WaitTime; {
		for i := range g.Controls {
			if i == excluded {
				continue
			}
			if r, _, err := g.planAndConfirm(i); err == nil {
				return r
			}
			g.refreshWithdrawn(excluded)
		}
	}
	g.t.Fatal("no change can be made")
	return 0
}

// refreshWithdrawn reads the state of the spare zone from control after a change whose outcome is unknown.
func (g *controlGroup) refreshWithdrawn(excluded int) {
	for i := range g.Controls {
		var st administrator.Status
		if i == excluded || g.call(i, http.MethodGet, "/v1/status", nil, &st) != nil {
			continue
		}
		for _, z := range st.Zones {
			if z.Name == spareZone {
				g.withdrawn = z.Withdrawn
			}
		}
	}
}

// leader returns the index of the instance that leads the control group.
func (g *controlGroup) leader() int {
	for start := time.Now(); time.Since(start) < deployer.WaitTime; time.Sleep(20 * time.Millisecond) {
		var st administrator.MembersStatus
		_ = g.call(0, http.MethodGet, "/v1/members", nil, &st)
		for _, m := range st.Members {
			var i int
			if _, err := fmt.Sscanf(string(m.Name), "control-%d", &i); err == nil && m.Leader {
				return i
			}
		}
	}
	g.t.Fatal("no leader")
	return 0
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// report logs the quantiles of a histogram of durations.
func report(t *testing.T, what string, h *hdrhistogram.Histogram) {
	ms := func(n int64) float64 { return float64(n) / float64(time.Millisecond) }
	t.Logf("%s: n %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms", what, h.TotalCount(), ms(h.ValueAtQuantile(50)),
		ms(h.ValueAtQuantile(99)), ms(h.Max()))
}

// measureConfirm measures the time from a confirmation to its answer, at the leader and at a follower.
func measureConfirm(t *testing.T, _ uint64) {
	g := newControlGroup(t, 2)
	l := g.leader()
	for what, i := range map[string]int{"at the leader": l, "at a follower": (l + 1) % 3} {
		h := newHistogram()
		for range 1000 {
			_, took, err := g.planAndConfirm(i)
			require.NoError(t, err)
			_ = h.RecordValue(int64(took))
		}
		report(t, "confirm "+what, h)
	}
}

// measureInForce measures the time from the answer to a confirmation until every entry has reported the revision.
func measureInForce(t *testing.T, seed uint64) {
	g := newControlGroup(t, 8)
	rng := rand.New(rand.NewPCG(seed, 3))
	h := newHistogram()
	for range 200 {
		// The random delay spreads the changes evenly between two heartbeats.
		time.Sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
		r := g.confirmChange(-1)
		start := time.Now()
		for !g.enforcedByEntries(r) {
			require.Less(t, time.Since(start), deployer.WaitTime)
		}
		_ = h.RecordValue(int64(time.Since(start)))
	}
	report(t, "in force at 8 entries", h)
}

func (g *controlGroup) enforcedByEntries(r registrar.Revision) bool {
	var st administrator.Status
	if err := g.call(0, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return false
	}
	n := 0
	for _, s := range st.Nodes {
		if s.Role == registrar.RoleEntry && s.Revision >= r {
			n++
		}
	}
	return n >= g.Entries
}

// measureFailover measures the time from the kill of the leader until the next change is confirmed.
func measureFailover(t *testing.T, seed uint64) {
	g := newControlGroup(t, 2)
	rng := rand.New(rand.NewPCG(seed, 4))
	h := newHistogram()
	for range 20 {
		g.confirmChange(-1)
		time.Sleep(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
		l := g.leader()
		g.Process(fmt.Sprintf("control-%d", l)).Kill()
		start := time.Now()
		g.confirmChange(l)
		_ = h.RecordValue(int64(time.Since(start)))
		g.StartControl(l)
		time.Sleep(time.Second)
	}
	report(t, "failover", h)
}

// measureRecovery measures the time from the start of all instances until the next change is confirmed, and the bytes on the
// disk of one instance, by number of changes.
func measureRecovery(t *testing.T, _ uint64) {
	g := newControlGroup(t, 2)
	done, written := 0, int64(0)
	for _, n := range []int{100, 1000, 4000, 16000} {
		start := time.Now()
		for ; done < n; done++ {
			g.confirmChange(-1)
		}
		took := time.Since(start)
		journal, snapshot := g.folderSize(0)
		if written == 0 {
			// No journal file has been deleted yet.
			written = journal / int64(n)
			t.Logf("journal bytes per change (plan and confirmation): %d", written)
		}
		for i := range g.Controls {
			g.Process(fmt.Sprintf("control-%d", i)).Kill()
		}
		start = time.Now()
		for i := range g.Controls {
			g.StartControl(i)
		}
		g.confirmChange(-1)
		t.Logf("%d changes (%s): recovery %s, load %s, journal %d bytes, snapshot %d bytes", n, took.Round(time.Millisecond),
			time.Since(start).Round(time.Millisecond), g.loadTime(), journal, snapshot)
	}
}

// folderSize returns the bytes of the journal and of the snapshot of an instance.
func (g *controlGroup) folderSize(i int) (journal, snapshot int64) {
	folder := filepath.Join(g.Folder, fmt.Sprintf("control-%d", i))
	files, _ := filepath.Glob(filepath.Join(folder, "journal", "*"))
	for _, f := range files {
		if st, err := os.Stat(f); err == nil {
			journal += st.Size()
		}
	}
	if st, err := os.Stat(filepath.Join(folder, "snapshot")); err == nil {
		snapshot = st.Size()
	}
	return journal, snapshot
}

// loadTime returns how long the last start of instance 0 took to load its data folder.
func (g *controlGroup) loadTime() time.Duration {
	lines := strings.Split(g.Log("control-0"), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		var line struct {
			Event    int     `json:"event"`
			Duration float64 `json:"duration"`
		}
		if json.Unmarshal([]byte(lines[i]), &line) == nil && line.Event == 4100 {
			return time.Duration(line.Duration * float64(time.Second)).Round(time.Millisecond)
		}
	}
	return 0
}
