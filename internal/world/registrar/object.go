package registrar

import (
	"net/netip"
)

// Zone is one data centre.
type Zone struct {
	Name   ZoneName   `json:"name"`
	Region RegionName `json:"region"`
	// Withdrawn is true from the update that withdraws the zone until the update that restores it. Upstreams in a withdrawn
	// zone take no new flows.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// ChangeRevision is the revision that last changed Withdrawn.
	ChangeRevision Revision `json:"changed_at,omitempty"`
}

// Member is an upstream that takes new flows in one generation of a service.
type Member struct {
	Upstream UpstreamID `json:"upstream"`
	Weight   Weight     `json:"weight"`
}

// Generation is the set of upstreams that take new flows from Revision on, until the next generation.
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
	// ColdRate is the number of new requests per second that an upstream of a stream service can take while it is cold.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// MaxFlows is the number of open flows that each upstream of a stream service may hold; 0 means no limit.
	MaxFlows FlowCount `json:"max_flows,omitempty"`
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
	// Machine is the agent that runs beside the upstream.
	Machine MachineName `json:"machine"`
	Slots   Slots       `json:"slots"`
	// Weight is the measured capacity. It is at least 1 while the upstream takes new flows.
	Weight Weight `json:"weight"`
	// Retired upstreams keep their flows and take no new ones.
	Retired bool `json:"retired,omitempty"`
	// Draining upstreams are stopping: they keep their flows and take no new ones, and no other machine may take over their
	// names until they are silent.
	Draining bool `json:"draining,omitempty"`
	// Silent upstreams have stopped, or their agents no longer send heartbeats. They hold no flows.
	Silent bool `json:"silent,omitempty"`
	// Pinned is true if an operator has set Weight. Announcements do not change a pinned weight.
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
	// ServesWithoutLease is true if the machine continues to serve without a valid lease.
	ServesWithoutLease bool `json:"serves_expired,omitempty"`
}

// Customer is a party that uses services under contracts.
type Customer struct {
	Name CustomerName `json:"name"`
	// Cut is true from the update that cuts off the customer's traffic until an update that admits it again.
	Cut bool `json:"cut,omitempty"`
	// CutRevision is the revision that last changed Cut.
	CutRevision Revision `json:"cut_at,omitempty"`
}

// Contract allows a customer to use a service from a set of source prefixes.
type Contract struct {
	Name     ContractName `json:"name"`
	Customer CustomerName `json:"customer"`
	Service  ServiceName  `json:"service"`
	// SourcePrefixes are masked. No two contracts of a service have a prefix in common.
	SourcePrefixes []netip.Prefix `json:"source_prefixes"`
}

// Link is the path of datagrams from one machine to another.
type Link struct {
	From    MachineName
	To      MachineName
	Address netip.AddrPort
}
