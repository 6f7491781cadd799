// Package registrar holds the objects that a deployment consists of (machines, zones, links, contracts, customers,
// services and upstreams) and World, the replicated configuration that is built from them revision by revision.
package registrar

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Names are chosen by operators or in settings and are unique among objects of the same kind.
type (
	// ServiceName names a service, for example "order-desk".
	ServiceName string
	// ZoneName names a data centre, for example "johor-a".
	ZoneName string
	// RegionName names a group of zones, for example "johor".
	RegionName string
	// CustomerName names a customer.
	CustomerName string
	// ContractName names a contract between a customer and a service.
	ContractName string
	// UpstreamName names one server of a service.
	UpstreamName string
	// MachineName names one process of the system.
	MachineName string
	// OperatorName names a person or program that uses the intent API.
	OperatorName string
)

// Revision is the number of a configuration update. Revision 0 is the empty configuration.
type Revision uint64

// Incarnation distinguishes the starts of a machine. It is drawn at random at each start.
type Incarnation uint64

type (
	// ServiceID is the numeric id of a service. Ids start at 1 and are never reused.
	ServiceID uint32
	// UpstreamID is the numeric id of an upstream. Ids start at 1 and are never reused.
	UpstreamID uint32
)

// Weight is the capacity of an upstream in thousandths of a request slot.
type Weight uint32

// WeightPerSlot is the weight of one request slot.
const WeightPerSlot Weight = 1000

// Slots is the number of requests that an upstream can serve concurrently.
type Slots uint16

// FlowCount is a number of open flows.
type FlowCount uint32

// Role tells entries, agents and control instances apart.
type Role string

// The roles of a machine.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Transport is the protocol that callers of a service use.
type Transport string

// The transports of a service.
const (
	TransportQUIC Transport = "quic"
	TransportUDP  Transport = "udp"
	// TransportStream is a reliable byte stream over datagrams. Flows are terminated by the upstream itself; machines of the
	// system forward their packets unchanged.
	TransportStream Transport = "stream"
)

// Flow identifies a flow by the addresses of its caller and of the service.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Hash returns a hash of both addresses, which is the same on all machines.
func (f Flow) Hash() uint64 {
	var key [2 * addressSize]byte
	putAddress(key[:], f.Caller)
	putAddress(key[addressSize:], f.Service)
	return xxhash.Sum64(key[:])
}

// HashAddress returns a hash of an address and port.
func HashAddress(a netip.AddrPort) uint64 {
	var key [addressSize]byte
	putAddress(key[:], a)
	return xxhash.Sum64(key[:])
}

// addressSize is the length in bytes of an address and port in a hash.
const addressSize = 18

// putAddress writes an address and port to the first addressSize bytes of b.
func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.LittleEndian.PutUint16(b[16:], a.Port())
}
