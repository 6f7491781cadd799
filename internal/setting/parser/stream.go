package parser

import (
	"net/netip"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Seeds holds the addresses of the control instances that a machine on a trusted network contacts when it starts. They tell it
// about the other instances.
type Seeds struct {
	Addresses []netip.AddrPort `json:"seeds" rule:"address" min:"1" max:"64" reload:"yes" doc:"addresses of some control instances"`
	Port      Port             `json:"seed_port" rule:"port" default:"" doc:"port at which control instances take calls of other machines; without it that of the address in seeds"`
}

// Port is a TCP or UDP port.
type Port uint16

// Control returns the addresses at which the seeds accept calls from other machines.
func (s Seeds) Control() []netip.AddrPort {
	all := make([]netip.AddrPort, len(s.Addresses))
	for i, a := range s.Addresses {
		all[i] = a
		if s.Port != 0 {
			all[i] = netip.AddrPortFrom(a.Addr(), uint16(s.Port))
		}
	}
	return all
}

// OpenControl holds the settings of a control instance of an open group on a trusted network.
type OpenControl struct {
	Host
	Seeds
	Founding        bool                                        `json:"founding" rule:"bool" default:"false" reload:"yes" doc:"true only when the whole system starts for the first time: the seeds then found the control log"`
	DataFolder      string                                      `json:"data_folder" rule:"file" default:"" doc:"folder of the durable state; without one the instance keeps its state in memory and has no vote"`
	LocalControl    netip.AddrPort                              `json:"local_control_address" rule:"address" default:"" doc:"local address to bind for control_address where something else maps it; without it control_address itself is bound"`
	OperatorAddress netip.AddrPort                              `json:"operator_address" rule:"address" doc:"where operators are served over HTTP, in the form of the platform"`
	LinkMbps        float64                                     `json:"link_mbps" rule:"link" default:"0" doc:"rate of the machine's link in Mbit/s, half of which answers to operators may use; 0 for no bound"`
	Zones           map[registrar.ZoneName]registrar.RegionName `json:"zones" rule:"name" min:"1" max:"1000" doc:"region of each zone"`
}

// StreamNode holds the settings that entries and agents of stream services share. Their network is trusted.
type StreamNode struct {
	Host
	Seeds
	DataAddress  netip.AddrPort `json:"data_address" rule:"address" doc:"where the machine takes datagrams of other machines (UDP)"`
	ReadyAddress netip.AddrPort `json:"ready_address" rule:"address" doc:"where /ready is served over HTTP"`
	// CallerAddress is bound only by entries.
	CallerAddress netip.AddrPort `json:"caller_address" rule:"address" doc:"where an entry takes packets of callers (UDP); callers take packets at the same port"`
	LeaseExpired  LeaseExpired   `json:"lease_expired" rule:"lease_expired" default:"serve" doc:"what to do without a valid lease: fence passes nothing; serve goes on with the last configuration"`
	Linger        Duration       `json:"linger" rule:"linger" default:"3s" reload:"yes" doc:"how long the machine goes on forwarding at a planned stop after it has reported that it is not ready"`
}

// Common returns the settings that entries and agents share.
func (n StreamNode) Common() StreamNode { return n }

// StreamEntry holds the settings of an entry of stream services.
type StreamEntry struct {
	StreamNode
	LinkMbps float64 `json:"link_mbps" rule:"link" default:"0" doc:"rate of the machine's link in Mbit/s, a fifth of which load reports of agents may use; 0 for no bound"`
	// FlowLookup has an effect only on routes with more upstreams than a search asks.
	FlowLookup bool `json:"flow_lookup" rule:"bool" default:"false" doc:"whether an entry without a record of a flow asks all agents of the route at once where a search cannot ask them all, and resets the flow once no upstream holds it"`
	MaxWaiting int  `json:"max_waiting" rule:"waiting" default:"0" doc:"how many opening packets may wait for an upstream with room, for up to 1.3 s each; 0 if they are dropped at once"`
}

// StreamAgent holds the settings of an agent beside an upstream of a stream service.
type StreamAgent struct {
	StreamNode
	Service         registrar.ServiceName `json:"service" rule:"name" doc:"service that the upstream belongs to"`
	UpstreamAddress netip.AddrPort        `json:"upstream_address" rule:"address" doc:"where the upstream takes packets (UDP)"`
	OutboundAddress netip.AddrPort        `json:"outbound_address" rule:"address" doc:"where the upstream sends its packets (UDP)"`
	CheckInAddress  netip.AddrPort        `json:"check_in_address" rule:"address" doc:"where the upstream reports its state over HTTP, in the form of the platform"`
	ColdFactor      float64               `json:"cold_factor" rule:"factor" default:"1" doc:"how many times its cold rate a cold upstream may get in a second"`
	ColdSlack       float64               `json:"cold_slack" rule:"slack" default:"0" doc:"new requests that a cold upstream may get in a second besides"`
	MaxFlowAge      Duration              `json:"max_flow_age" rule:"flow_age" default:"60s" doc:"age at which a flow may be forgotten"`
	CheckInInterval Duration              `json:"check_in_interval" rule:"check_in" default:"0s" doc:"time between two check-ins of the upstream, by which the agent tells that it has ended; 0s if it is not known"`
	// StopsAfterUpstream lets a planned stop of the agent count as evidence about its upstream.
	StopsAfterUpstream bool `json:"stops_after_upstream" rule:"bool" default:"false" doc:"whether a planned stop of the agent begins only after its upstream has ended"`
}

func (c *OpenControl) crossCheck() []mismatch {
	return c.findSharedAddresses(map[string]netip.AddrPort{"operator_address": c.OperatorAddress})
}

func (e *StreamEntry) crossCheck() []mismatch {
	return e.findSharedAddresses(map[string]netip.AddrPort{"ready_address": e.ReadyAddress})
}

func (a *StreamAgent) crossCheck() []mismatch {
	return a.findSharedAddresses(map[string]netip.AddrPort{"ready_address": a.ReadyAddress, "check_in_address": a.CheckInAddress})
}
