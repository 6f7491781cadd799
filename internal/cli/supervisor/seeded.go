package supervisor

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ControlName derives the name of a control instance of an open group from its address, so that machines need to know only the
// address.
func ControlName(a netip.AddrPort) registrar.MachineName {
	host := strings.ReplaceAll(a.Addr().String(), ":", "-")
	return registrar.MachineName(host + "-" + strconv.Itoa(int(a.Port())))
}

// controlClients holds the clients of a node for the control instances, guarded by its own lock. The zero value holds none.
type controlClients struct {
	mu sync.Mutex
	// clients holds the clients in the order in which they are tried; currentIndex is the index of the client in use.
	clients      []*connector.Client
	currentIndex int
	// keys is nil on a trusted network.
	keys *loader.Material
}

func (c *controlClients) newClient(a netip.AddrPort) *connector.Client {
	if c.keys == nil {
		return &connector.Client{Address: a}
	}
	return &connector.Client{Address: a, TLS: c.keys.Client}
}

// add adds clients for addresses that have none yet.
func (c *controlClients) add(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clients = c.appendMissing(c.clients, addresses)
}

// appendMissing appends clients for those addresses that none of the given clients has.
func (c *controlClients) appendMissing(clients []*connector.Client, addresses []netip.AddrPort) []*connector.Client {
	for _, a := range addresses {
		sameAddress := func(v *connector.Client) bool { return v.Address == a }
		if !slices.ContainsFunc(clients, sameAddress) {
			clients = append(clients, c.newClient(a))
		}
	}
	return clients
}

// updateInstances adds the instances of the configuration and removes all others except the instance in use. A configuration
// without control instances changes nothing.
func (c *controlClients) updateInstances(w *registrar.World) {
	var named []netip.AddrPort
	for _, m := range w.Machines() {
		if m.Role == registrar.RoleControl && m.ControlAddress.IsValid() {
			named = append(named, m.ControlAddress)
		}
	}
	if len(named) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.clients[c.currentIndex]
	var next []*connector.Client
	for _, old := range c.clients {
		if old == used || slices.Contains(named, old.Address) {
			next = append(next, old)
		}
	}
	next = c.appendMissing(next, named)
	c.clients, c.currentIndex = next, slices.Index(next, used)
}

// current returns the client of the instance in use.
func (c *controlClients) current() *connector.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients[c.currentIndex]
}

// selectNext selects the next instance after a failed attempt.
func (c *controlClients) selectNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentIndex = (c.currentIndex + 1) % len(c.clients)
}

// list returns the clients of all instances.
func (c *controlClients) list() []*connector.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.clients)
}
