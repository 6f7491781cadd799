package runner

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

// controlName names a control instance of an open group by its address, so that a machine which knows only the address knows
// the name.
func controlName(a netip.AddrPort) registrar.MachineName {
	host := strings.ReplaceAll(a.Addr().String(), ":", "-")
	return registrar.MachineName(host + "-" + strconv.Itoa(int(a.Port())))
}

// controlClients are the connections of a node to control instances, under their own lock. The zero value has none.
type controlClients struct {
	mu sync.Mutex
	// all holds the instances in the order in which they are tried; at is the one that answered last.
	all []*connector.Client
	at  int
	// keys is nil on a trusted network.
	keys *loader.Material
}

func (c *controlClients) newClient(a netip.AddrPort) *connector.Client {
	if c.keys == nil {
		return &connector.Client{Address: a}
	}
	return &connector.Client{Address: a, TLS: c.keys.Client}
}

// add takes in instances that are not known yet.
func (c *controlClients) add(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = c.withNew(c.all, addresses)
}

// withNew appends clients for the addresses that none of the given clients has.
func (c *controlClients) withNew(clients []*connector.Client, addresses []netip.AddrPort) []*connector.Client {
	for _, a := range addresses {
		known := func(v *connector.Client) bool { return v.Address == a }
		if !slices.ContainsFunc(clients, known) {
			clients = append(clients, c.newClient(a))
		}
	}
	return clients
}

// learn adds the instances that the configuration names, and drops those that it does not name any more.
func (c *controlClients) learn(w *registrar.World) {
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
	used := c.all[c.at]
	var next []*connector.Client
	for _, old := range c.all {
		if old == used || slices.Contains(named, old.Address) {
			next = append(next, old)
		}
	}
	next = c.withNew(next, named)
	c.all, c.at = next, slices.Index(next, used)
}

// current returns the instance to call.
func (c *controlClients) current() *connector.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[c.at]
}

// next selects another instance after one that did not answer.
func (c *controlClients) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = (c.at + 1) % len(c.all)
}

// list returns all instances.
func (c *controlClients) list() []*connector.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.all)
}
