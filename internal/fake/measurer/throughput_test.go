package measurer

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() { register("entry_throughput", measureThroughput) }

const (
	// echoVariable is the environment variable that makes the test binary run a UDP echo server at the address that it holds.
	echoVariable      = "PERIDOTSTAGE_ECHO"
	throughputRuns    = 5
	throughputTime    = 2 * time.Second
	senders           = 8
	datagramsPerBurst = 32
)

// TestMain runs the UDP echo server if echoVariable is set, and the tests otherwise.
func TestMain(m *testing.M) {
	if a := os.Getenv(echoVariable); a != "" {
		runEcho(a)
		return
	}
	os.Exit(m.Run())
}

// runEcho sends each datagram back until the process is killed. It does as little as nbio allows, as the baseline of an entry.
func runEcho(address string) {
	e := nbio.NewEngine(nbio.Config{Network: "udp", Addrs: []string{address}})
	e.OnData(func(c *nbio.Conn, b []byte) { _, _ = c.Write(b) })
	if err := e.Start(); err != nil {
		panic(err)
	}
	select {}
}

// exchangeDatagrams sends bursts of datagrams from each sender, reads the answers to each burst before the next one, and
// returns the number of answers.
func exchangeDatagrams(t *testing.T, from func(i int) netip.Addr, to netip.AddrPort, size int) int64 {
	var answers atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(throughputTime)
	for i := range senders {
		conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from(i), 0)), net.UDPAddrFromAddrPort(to))
		require.NoError(t, err)
		wg.Go(func() {
			defer conn.Close()
			out, in := make([]byte, size), make([]byte, 2048)
			for time.Now().Before(end) {
				for range datagramsPerBurst {
					_, _ = conn.Write(out)
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				for range datagramsPerBurst {
					if _, err := conn.Read(in); err != nil {
						break
					}
					answers.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return answers.Load()
}

// measureThroughput compares the datagrams per second of processor time of an entry with those of a plain UDP echo server on
// nbio. Both receive and send one datagram at a time; the entry handles each exchange twice, once in each direction.
func measureThroughput(t *testing.T, seed uint64) {
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 1, Region: "johor", Zones: []registrar.ZoneName{"johor-a"},
		Services: []deployer.Service{{
			Name: "catalogue", Transport: registrar.TransportUDP, Slots: 2, Zones: []registrar.ZoneName{"johor-a", "johor-a"},
		}},
	})
	d.Echoes(0)
	d.StartAll()
	d.Configure("estate")
	echoAddress := netip.AddrPortFrom(d.CallerAddr(250), 9000)
	echo := exec.Command(os.Args[0])
	echo.Env = append(os.Environ(), echoVariable+"="+echoAddress.String())
	require.NoError(t, echo.Start())
	defer func() {
		_ = echo.Process.Kill()
		_ = echo.Wait()
	}()
	time.Sleep(time.Second)
	for _, size := range []int{200, 1200} {
		var ratios, entryRates, echoRates []float64
		for range throughputRuns {
			before := processorTime(t, echo.Process.Pid)
			n := exchangeDatagrams(t, d.CallerAddr, echoAddress, size)
			echoRate := float64(n) / (processorTime(t, echo.Process.Pid) - before).Seconds()

			passedBefore := passed(t, d)
			before = processorTime(t, d.Process("entry-0").PID())
			n = exchangeDatagrams(t, d.CallerAddr, d.EntryServiceAddr(0, 0), size)
			used := processorTime(t, d.Process("entry-0").PID()) - before
			// The next heartbeats report the counts to control.
			time.Sleep(time.Second)
			entryRate := float64(int64(passed(t, d)-passedBefore)+n) / used.Seconds()
			entryRates, echoRates = append(entryRates, entryRate), append(echoRates, echoRate)
			ratios = append(ratios, entryRate/echoRate)
		}
		t.Logf("%d bytes: entry %.0f datagrams/s per core (%.2f us each), bare echo %.0f (%.2f us each); ratio median %.2f, lowest %.2f, highest %.2f",
			size, median(entryRates), 1e6/median(entryRates), median(echoRates), 1e6/median(echoRates),
			median(ratios), slices.Min(ratios), slices.Max(ratios))
		require.GreaterOrEqual(t, median(ratios), 0.7, "datagrams of %d bytes", size)
	}
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// passed returns the number of callers' datagrams that the entry has forwarded.
func passed(t *testing.T, d *deployer.Deployment) uint64 {
	var p leaser.Proof
	_, err := d.API(0, "GET", "/v1/customers/estate/proof", nil, &p)
	require.NoError(t, err)
	for _, n := range p.Nodes {
		if n.Machine == "entry-0" {
			return n.Evidence.Passed
		}
	}
	return 0
}
