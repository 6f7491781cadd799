package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/tracer"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() { register("proof_scale", measureProofScale) }

const (
	// controlInstances is the largest number of control instances of a deployment.
	controlInstances = 9
	// entryCustomers is the number of customers for which an entry has evidence. Each answer holds the evidence of only one of them.
	entryCustomers = 100
)

// costOf runs a step and returns its duration and the memory that it allocated, in megabytes.
func costOf(step func()) (time.Duration, float64) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	step()
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return elapsed, float64(after.TotalAlloc-before.TotalAlloc) / 1e6
}

// lengthWriter counts the bytes written to it.
type lengthWriter int

func (w *lengthWriter) Write(b []byte) (int, error) {
	*w += lengthWriter(len(b))
	return len(b), nil
}

// answerLength returns the length of an answer of the intent API, in megabytes.
func answerLength(t *testing.T, v any) float64 {
	var n lengthWriter
	e := json.NewEncoder(io.Writer(&n))
	e.SetIndent("", "  ")
	require.NoError(t, e.Encode(v))
	return float64(n) / 1e6
}

// buildSessions returns a configuration with a customer that is cut off, the sessions of all nodes, spread over the control
// instances, and the number of nodes. There are 1,100 entries for 7,800 upstreams, as in the deployment size to design for.
func buildSessions(t *testing.T, upstreams int) (*registrar.World, []*leaser.Leaser, int) {
	w := buildWorld(t, upstreams)
	nodes := w.Machines()
	changes := []registrar.Change{{Kind: registrar.PutCustomer, Customer: &registrar.Customer{Name: "customer-0001", Cut: true}}}
	for i := range upstreams * 1100 / 7800 {
		m := registrar.Machine{
			Name: registrar.MachineName(fmt.Sprintf("entry-%05d", i)), Role: registrar.RoleEntry,
			Zone:        registrar.ZoneName(fmt.Sprintf("zone-%02d", i%12)),
			DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(i >> 8), byte(i)}), 7002), Incarnation: 1,
		}
		nodes = append(nodes, m)
		changes = append(changes, registrar.Change{Kind: registrar.PutMachine, Machine: &m})
	}
	require.NoError(t, w.Apply(registrar.Update{Revision: 2, Changes: changes}))
	cut, _ := w.Customer("customer-0001")
	byMachine := map[registrar.MachineName]registrar.Upstream{}
	for _, u := range w.Upstreams() {
		byMachine[u.Machine] = u
	}
	instances := make([]*leaser.Leaser, controlInstances)
	for i := range instances {
		instances[i] = &leaser.Leaser{}
	}
	for i, m := range nodes {
		h := leaser.Heartbeat{Machine: m, Revision: 2, Evidence: []counter.Evidence{{
			Customer: cut.Name, Passed: 1 << 30, Dropped: 1 << 20, CutRevision: cut.CutRevision, LastPassedMilli: time.Now().UnixMilli(),
		}}}
		if u, ok := byMachine[m.Name]; ok {
			h.Announcement = &leaser.Announcement{Upstream: u.Name, Service: u.Service, Slots: u.Slots, Weight: u.Weight}
		} else {
			for c := range entryCustomers {
				h.Evidence = append(h.Evidence, counter.Evidence{Customer: registrar.CustomerName(fmt.Sprintf("other-%04d", c))})
			}
		}
		instances[i%controlInstances].Record(time.Now(), h, true)
	}
	return w, instances, len(nodes)
}

// collect gathers the sessions of all instances, as a control instance does when it answers a request. The sessions are encoded
// and decoded but not sent over the network. It also returns their encoded size in bytes.
func collect(t *testing.T, all []*leaser.Leaser, brief bool) (instances []leaser.Instance, bytes int) {
	for i, l := range all {
		sessions := l.Sessions()
		for j := range sessions {
			if sessions[j].Evidence = sessions[j].Evidence[:1:1]; brief {
				sessions[j].Evidence = nil
			}
		}
		if i > 0 {
			m, err := encoder.SessionsToMessage(time.Now(), encoder.Sessions{Running: time.Hour, Sessions: sessions})
			require.NoError(t, err)
			b, err := proto.Marshal(m)
			require.NoError(t, err)
			var received messenger.SessionsReply
			require.NoError(t, proto.Unmarshal(b, &received))
			s, err := encoder.SessionsFromMessage(time.Now(), time.Now(), &received)
			require.NoError(t, err)
			sessions, bytes = s.Sessions, bytes+len(b)
		}
		instances = append(instances, leaser.Instance{
			Name: registrar.MachineName(fmt.Sprint("control-", i)), Answered: true, StartedAt: time.Now().Add(-time.Hour),
			Sessions: sessions,
		})
	}
	return instances, bytes
}

// measureProofScale measures the time, memory and size of a proof and a trace by number of nodes, without the network.
func measureProofScale(t *testing.T, _ uint64) {
	for _, n := range []int{600, 1200, 2400, 4800, 7800} {
		w, leasers, nodes := buildSessions(t, n)
		customer, _ := w.Customer("customer-0001")
		var instances []leaser.Instance
		var bytes int
		report := func(name string, step func() float64) {
			var size float64
			took, memory := costOf(func() { size = step() })
			t.Logf("nodes %5d: %-22s %7s, %6.1f MB allocated, %5.2f MB", nodes, name, took.Round(100*time.Microsecond), memory, size)
		}
		report("sessions, no evidence", func() float64 {
			_, b := collect(t, leasers, true)
			return float64(b) / 1e6
		})
		report("sessions, one customer", func() float64 {
			instances, bytes = collect(t, leasers, false)
			return float64(bytes) / 1e6
		})
		report("proof", func() float64 {
			st := w.State()
			p := leaser.Prove(time.Now(), leaser.ProofInput{
				Customer: customer, Revision: st.Revision, ConfigurationCurrent: true, Machines: st.Machines, Instances: instances,
			})
			require.Equal(t, leaser.Stopped, p.Verdict, p.Reasons)
			return answerLength(t, p)
		})
		report("proof, unconfirmed", func() float64 {
			st := w.State()
			p := leaser.Prove(time.Now(), leaser.ProofInput{
				Customer: customer, Revision: st.Revision, ConfigurationCurrent: true, Machines: st.Machines, Instances: instances,
			})
			p.OmitConfirmed()
			return answerLength(t, p)
		})
		report("trace", func() float64 { return answerLength(t, tracer.New(time.Now(), w, customer, instances)) })
	}
}
