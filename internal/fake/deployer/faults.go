package deployer

import (
	"net/netip"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/faulter"
)

// addFaults routes a node's datagrams and calls through fault proxies at its own address.
func (d *Deployment) addFaults(s Settings, name string, a netip.Addr, control []netip.AddrPort) {
	local := netip.AddrPortFrom(a, dataPort)
	s["local_data_address"] = local
	s["data_address"] = netip.AddrPortFrom(a, faultyPort)
	if d.links[name] == nil {
		p := &faulter.Proxy{Address: netip.AddrPortFrom(a, faultyPort), To: local, Seed: uint64(len(d.links)) + 1}
		require.NoError(d.t, p.Run())
		d.t.Cleanup(p.Close)
		d.links[name] = p
		d.addStreams(name, control)
	}
	var through []netip.AddrPort
	for _, stream := range d.streams[name] {
		through = append(through, stream.Address)
	}
	s["control"] = through
}

// addStreams starts the proxies between a node and control. They listen on 127.0.0.1, which all certificates cover.
func (d *Deployment) addStreams(name string, control []netip.AddrPort) {
	for _, to := range control {
		stream := &faulter.Stream{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0), To: to}
		require.NoError(d.t, stream.Run())
		d.t.Cleanup(stream.Close)
		d.streams[name] = append(d.streams[name], stream)
	}
}

// Link returns the proxy for datagrams to a node.
func (d *Deployment) Link(name string) *faulter.Proxy { return d.links[name] }

// Streams returns the proxies between a node and the control instances.
func (d *Deployment) Streams(name string) []*faulter.Stream { return d.streams[name] }

// CutControl cuts a node off from control, or connects it again.
func (d *Deployment) CutControl(name string, cut bool) {
	for _, s := range d.streams[name] {
		s.Cut(cut, cut)
	}
}

// Sprayable hands datagrams to a set of entries.
type Sprayable interface {
	SetEntries(entries []netip.AddrPort)
}

// Spray makes a fabric hand the datagrams of service s to the given entries only.
func (d *Deployment) Spray(f Sprayable, s int, entries ...int) {
	var to []netip.AddrPort
	for _, e := range entries {
		to = append(to, d.EntryServiceAddr(e, s))
	}
	f.SetEntries(to)
}

// AgentName returns the name of the agent beside upstream i of service s.
func (d *Deployment) AgentName(s, i int) string { return "agent-" + string(d.UpstreamName(s, i)) }
