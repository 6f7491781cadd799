package deployer

import (
	"net/netip"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/faulter"
)

// addFaults changes the settings of a node so that datagrams to it and its calls to the control instances pass through fault
// proxies, and starts the proxies if necessary.
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
	var proxies []netip.AddrPort
	for _, stream := range d.streams[name] {
		proxies = append(proxies, stream.Address)
	}
	s["control"] = proxies
}

// addStreams starts the proxies between a node and the control instances. They listen on 127.0.0.1, which all certificates
// include.
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

// CutControl cuts a node's connections to the control instances, or restores them.
func (d *Deployment) CutControl(name string, cut bool) {
	for _, s := range d.streams[name] {
		s.Cut(cut, cut)
	}
}

// EntrySetter sets the entries to which a fabric forwards datagrams.
type EntrySetter interface {
	SetEntries(entries []netip.AddrPort)
}

// Spray makes a fabric forward the datagrams of service s only to the given entries.
func (d *Deployment) Spray(f EntrySetter, s int, entries ...int) {
	var addresses []netip.AddrPort
	for _, e := range entries {
		addresses = append(addresses, d.EntryServiceAddr(e, s))
	}
	f.SetEntries(addresses)
}

// AgentName returns the name of the agent beside upstream i of service s.
func (d *Deployment) AgentName(s, i int) string { return "agent-" + string(d.UpstreamName(s, i)) }
