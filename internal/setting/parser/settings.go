// Package parser reads and checks settings files, which are JSON with comments and trailing commas.
package parser

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrInvalid means that a settings file is not acceptable.
var ErrInvalid = eris.New("invalid settings")

// LeaseExpired says what a node does without a valid lease.
type LeaseExpired string

// The choices for a node without a valid lease.
const (
	LeaseExpiredFence LeaseExpired = "fence"
	LeaseExpiredServe LeaseExpired = "serve"
)

// Machine holds the settings that all roles share.
type Machine struct {
	Name registrar.MachineName `json:"name"`
	Zone registrar.ZoneName    `json:"zone"`
	// Region is the region of Zone.
	Region registrar.RegionName `json:"region"`
	// ControlAddress is where the machine takes calls of other machines.
	ControlAddress netip.AddrPort `json:"control_address"`
	// MetricsAddress is where metrics and readiness are served over HTTP; no address turns them off.
	MetricsAddress netip.AddrPort `json:"metrics_address"`
	Keys           Keys           `json:"keys"`
}

// Keys names the files that hold key material.
type Keys struct {
	Authority   string `json:"authority_file"`
	Certificate string `json:"certificate_file"`
	PrivateKey  string `json:"private_key_file"`
	// Data authenticates datagrams between machines and connection ids.
	Data string `json:"data_key_file"`
}

// Node holds the settings that entries and agents share.
type Node struct {
	Machine
	DataAddress netip.AddrPort `json:"data_address"`
	// Control lists the addresses of the control instances.
	Control      []netip.AddrPort `json:"control"`
	LeaseExpired LeaseExpired     `json:"lease_expired"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// AddressMap gives the local address to bind for a service address; without an entry the service address itself is
	// bound.
	AddressMap map[netip.Addr]netip.Addr `json:"address_map"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	Upstream registrar.UpstreamName `json:"upstream"`
	Service  registrar.ServiceName  `json:"service"`
	// UpstreamAddress is where the upstream listens.
	UpstreamAddress netip.AddrPort  `json:"upstream_address"`
	Slots           registrar.Slots `json:"slots"`
	// ServiceCertificate and ServiceKey are presented to callers.
	ServiceCertificate string `json:"service_certificate_file"`
	ServiceKey         string `json:"service_key_file"`
}

// Control holds the settings of a control instance.
type Control struct {
	Machine
	// APIAddress is where operators reach the intent API over HTTPS.
	APIAddress netip.AddrPort `json:"api_address"`
	// DataFolder holds the durable state.
	DataFolder string `json:"data_folder"`
	// Members are the control addresses of all control instances by name.
	Members map[registrar.MachineName]netip.AddrPort `json:"members"`
}

// Load reads a settings file into one of the settings types.
func Load[T any](path string) (T, error) {
	var cfg T
	b, err := os.ReadFile(path)
	if err != nil {
		return cfg, eris.Wrap(err, "read settings")
	}
	std, err := hujson.Standardize(b)
	if err != nil {
		return cfg, eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return cfg, eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	return cfg, nil
}
