package registrar

import (
	"net/netip"
)

// Zone is one data centre.
type Zone struct {
	Name   ZoneName   `json:"name"`
	Region RegionName `json:"region"`
	// Withdrawn is true from the update that takes the zone out until the update that returns it.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// ChangedAt is the revision that last changed Withdrawn.
	ChangedAt Revision `json:"changed_at,omitempty"`
}

// Member is an upstream that takes new flows in one generation of a service.
type Member struct {
	Upstream UpstreamID `json:"upstream"`
	Weight   Weight     `json:"weight"`
}

// Generation is the set of upstreams that took new flows from one revision on.
type Generation struct {
	Revision Revision `json:"revision"`
	// Members are sorted by upstream id and have no duplicates.
	Members []Member `json:"members"`
}

// Service is an address that callers use and the group of upstreams behind it.
type Service struct {
	Name ServiceName `json:"name"`
	// ID is assigned by World when the service is added.
	ID ServiceID `json:"id,omitempty"`
	// Address is unique among services. Stream services have none; their routes have addresses.
	Address   netip.AddrPort `json:"address"`
	Transport Transport      `json:"transport"`
	// ColdRate is how many new requests a second an upstream of a stream service bears while it is cold.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// Generations are ordered by revision, newest last. World derives them; the field is ignored in changes.
	Generations []Generation `json:"generations,omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name UpstreamName `json:"name"`
	// ID is assigned by World when the upstream is first announced.
	ID      UpstreamID  `json:"id,omitempty"`
	Service ServiceName `json:"service"`
	Zone    ZoneName    `json:"zone"`
	// Machine is the agent beside the upstream.
	Machine MachineName `json:"machine"`
	Slots   Slots       `json:"slots"`
	// Weight is the measured capacity; at least 1 while the upstream takes new flows.
	Weight Weight `json:"weight"`
	// Retired upstreams keep their flows and get no new ones.
	Retired bool `json:"retired,omitempty"`
	// Draining upstreams are stopping: they keep their flows and get no new ones, and no other machine may take the name
	// over until they are silent.
	Draining bool `json:"draining,omitempty"`
	// Silent upstreams have stopped, or their agents are not heard any more. They hold no flows.
	Silent bool `json:"silent,omitempty"`
	// Pinned is true if an operator has set Weight. Announcements leave a pinned weight alone.
	Pinned bool `json:"pinned,omitempty"`
}

// Machine is one process of the system.
type Machine struct {
	Name           MachineName    `json:"name"`
	Role           Role           `json:"role"`
	Zone           ZoneName       `json:"zone"`
	DataAddress    netip.AddrPort `json:"data_address"`
	ControlAddress netip.AddrPort `json:"control_address"`
	Incarnation    Incarnation    `json:"incarnation"`
	// ServesExpired is true if the machine keeps serving without a lease.
	ServesExpired bool `json:"serves_expired,omitempty"`
}

// Customer is a party that uses services under contracts.
type Customer struct {
	Name CustomerName `json:"name"`
	// Cut is true once the customer's traffic has been stopped.
	Cut bool `json:"cut,omitempty"`
	// CutAt is the revision that last changed Cut.
	CutAt Revision `json:"cut_at,omitempty"`
}

// Contract lets a customer use a service from a set of source prefixes.
type Contract struct {
	Name     ContractName `json:"name"`
	Customer CustomerName `json:"customer"`
	Service  ServiceName  `json:"service"`
	// SourcePrefixes are masked and not shared with another contract of the same service.
	SourcePrefixes []netip.Prefix `json:"source_prefixes"`
}

// Link is the path of datagrams from one machine to another.
type Link struct {
	From    MachineName
	To      MachineName
	Address netip.AddrPort
}
