package runner

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestControlClientsLearn guards against nodes that know only the control instances of their start, all of which may be replaced,
// and against a node that leaves the instance which answers it.
func TestControlClientsLearn(t *testing.T) {
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7735) }
	var c controlClients
	c.add([]netip.AddrPort{address(1), address(2), address(3)})
	c.next()
	used := c.current()
	w := registrar.NewWorld()
	c.learn(w)
	require.Len(t, c.list(), 3, "a configuration without control instances says nothing")
	put := func(revision registrar.Revision, changes ...registrar.Change) {
		require.NoError(t, w.Apply(registrar.Update{Revision: revision, Changes: changes}))
		c.learn(w)
	}
	machine := func(kind registrar.ChangeKind, n byte) registrar.Change {
		return registrar.Change{Kind: kind, Machine: &registrar.Machine{
			Name: controlName(address(n)), Role: registrar.RoleControl, ControlAddress: address(n),
		}}
	}
	put(1, machine(registrar.PutMachine, 2), machine(registrar.PutMachine, 4), machine(registrar.PutMachine, 5))
	var known []netip.AddrPort
	for _, one := range c.list() {
		known = append(known, one.Address)
	}
	require.ElementsMatch(t, []netip.AddrPort{address(2), address(4), address(5)}, known)
	require.Same(t, used, c.current())
	put(2, machine(registrar.DeleteMachine, 2))
	require.Same(t, used, c.current(), "the instance that answered last is tried first")
	c.next()
	require.NotSame(t, used, c.current())
	// Seeds of a settings file that was read again are known at most once.
	c.add([]netip.AddrPort{address(4), address(9)})
	c.add([]netip.AddrPort{address(9)})
	known = nil
	for _, one := range c.list() {
		known = append(known, one.Address)
	}
	require.ElementsMatch(t, []netip.AddrPort{address(2), address(4), address(5), address(9)}, known)
}
