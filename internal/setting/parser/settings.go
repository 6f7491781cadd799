// Package parser reads and checks settings files, which are JSON with comments and trailing commas. The tags of
// a field give its rule, its default, its description and whether a running process applies a new value: a field without a
// default is required, and a change of a field without reload:"yes" needs a restart.
package parser

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrInvalid means that a settings file is invalid.
var ErrInvalid = eris.New("invalid settings")

// LeaseExpired is the behaviour of a node without a valid lease.
type LeaseExpired string

// The values of LeaseExpired: pass no packets, or go on with the last configuration.
const (
	LeaseExpiredFence LeaseExpired = "fence"
	LeaseExpiredServe LeaseExpired = "serve"
)

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Host holds the settings that all roles share.
type Host struct {
	Name           registrar.MachineName `json:"name" rule:"name" doc:"name of the machine, unique in the deployment; its certificate, if it has one, is issued to it"`
	Zone           registrar.ZoneName    `json:"zone" rule:"name" doc:"zone (data centre) that the machine stands in"`
	Region         registrar.RegionName  `json:"region" rule:"name" doc:"region of the zone"`
	ControlAddress netip.AddrPort        `json:"control_address" rule:"address" doc:"where the machine takes calls of other machines (TCP)"`
	MetricsAddress netip.AddrPort        `json:"metrics_address" rule:"address" default:"" doc:"where /metrics and /ready are served over HTTP; without it they are off"`
}

// Machine holds the settings that all roles share on a network where machines authenticate with keys.
type Machine struct {
	Host
	Keys Keys `json:"keys"`
}

// Keys names the files that hold key material.
type Keys struct {
	Authority   string `json:"authority_file" rule:"file" doc:"certificates of the authorities that peers may be signed by"`
	Certificate string `json:"certificate_file" rule:"file" doc:"certificate of this machine"`
	PrivateKey  string `json:"private_key_file" rule:"file" doc:"private key of the certificate"`
	Data        string `json:"data_key_file" rule:"file" doc:"data keys, one a line in hexadecimal: the first one seals datagrams and issues connection ids, all of them verify"`
}

// Node holds the settings that entries and agents share.
type Node struct {
	Machine
	DataAddress  netip.AddrPort   `json:"data_address" rule:"address" doc:"where the machine takes datagrams of other machines (UDP)"`
	LocalData    netip.AddrPort   `json:"local_data_address" rule:"address" default:"" doc:"local address to bind for data_address where the platform maps it; without it data_address itself is bound"`
	Control      []netip.AddrPort `json:"control" rule:"address" min:"1" max:"64" doc:"control addresses of the control instances and their replicas"`
	LeaseExpired LeaseExpired     `json:"lease_expired" rule:"lease_expired" default:"fence" reload:"yes" doc:"what to do without a valid lease: fence passes nothing; serve goes on with the last configuration, and proofs then say that nothing is proved"`
}

// BindData returns the local address to bind for datagrams from other machines.
func (n *Node) BindData() netip.AddrPort {
	if n.LocalData.IsValid() {
		return n.LocalData
	}
	return n.DataAddress
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	AddressMap map[netip.Addr]netip.Addr `json:"address_map" rule:"ip" default:"" doc:"local address to bind for the IP address of a service; a service address without one is bound itself"`
	Linger     Duration                  `json:"linger" rule:"linger" default:"5s" reload:"yes" doc:"how long the entry goes on forwarding at a planned stop after it has reported that it is not ready"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	Upstream           registrar.UpstreamName `json:"upstream" rule:"name" doc:"name of the upstream beside the agent, unique in the deployment"`
	Service            registrar.ServiceName  `json:"service" rule:"name" doc:"service that the upstream belongs to"`
	UpstreamAddress    netip.AddrPort         `json:"upstream_address" rule:"address" doc:"where the upstream listens"`
	Slots              registrar.Slots        `json:"slots" rule:"slots" reload:"yes" doc:"requests that the upstream serves at once"`
	ServiceCertificate string                 `json:"service_certificate_file" rule:"file" doc:"certificate of the service, which callers see"`
	ServiceKey         string                 `json:"service_key_file" rule:"file" doc:"private key of the service's certificate"`
	Drain              Duration               `json:"drain" rule:"drain" default:"60s" reload:"yes" doc:"bound of the wait for requests in progress and plain UDP flows at a planned stop"`
	FlowQuiet          Duration               `json:"flow_quiet" rule:"flow_quiet" default:"5s" doc:"how long a plain UDP flow without an unanswered datagram must carry nothing before it ends at a planned stop"`
}

// Control holds the settings of a control instance.
type Control struct {
	Machine
	APIAddress netip.AddrPort                           `json:"api_address" rule:"address" doc:"where operators reach the intent API over HTTPS"`
	DataFolder string                                   `json:"data_folder" rule:"file" doc:"folder of the durable state"`
	Members    map[registrar.MachineName]netip.AddrPort `json:"members" rule:"address" min:"1" max:"9" doc:"control addresses of all control instances by name, this one included"`
	Objectives []Objective                              `json:"objectives" min:"0" max:"10000" default:"" reload:"yes" doc:"service levels that the burn report judges; a service without one is not judged, as is right for plain UDP services whose datagrams get no answers"`
}

// Objective is a service level objective.
type Objective struct {
	Service    registrar.ServiceName  `json:"service" rule:"name" doc:"service that the objective is for"`
	Customer   registrar.CustomerName `json:"customer" rule:"name" default:"" doc:"customer that the objective is for; without one it holds for the whole service and for each customer without an objective of its own"`
	Answered   float64                `json:"answered" rule:"share" default:"0.999" doc:"share of requests that must not fail"`
	Fast       float64                `json:"fast" rule:"share" default:"0.99" doc:"share of requests that must be answered within fast_within"`
	FastWithin Duration               `json:"fast_within" rule:"bound" doc:"how long a fast answer takes at most"`
}

// Load reads a settings file into one of the settings types. If the content is
// invalid, the error is a Problems value that lists all problems of the file.
func Load[T any](path string) (T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, eris.Wrap(err, "read settings")
	}
	return Parse[T](path, b)
}
