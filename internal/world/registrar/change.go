package registrar

// ChangeKind says what a change does, and to which kind of object.
type ChangeKind string

// The kinds of change.
const (
	PutZone         ChangeKind = "put_zone"
	DeleteZone      ChangeKind = "delete_zone"
	PutService      ChangeKind = "put_service"
	DeleteService   ChangeKind = "delete_service"
	PutUpstream     ChangeKind = "put_upstream"
	DeleteUpstream  ChangeKind = "delete_upstream"
	PutCustomer     ChangeKind = "put_customer"
	DeleteCustomer  ChangeKind = "delete_customer"
	PutContract     ChangeKind = "put_contract"
	DeleteContract  ChangeKind = "delete_contract"
	PutMachine      ChangeKind = "put_machine"
	DeleteMachine   ChangeKind = "delete_machine"
	TrimGenerations ChangeKind = "trim_generations"
	PutRoute        ChangeKind = "put_route"
	DeleteRoute     ChangeKind = "delete_route"
	PutRelease      ChangeKind = "put_release"
)

// Change adds, replaces or deletes one object, or trims the generations of a service. Only the field that belongs to Kind is
// set. Deletions use only the name of the object, or the address of a route.
type Change struct {
	Kind     ChangeKind `json:"kind"`
	Zone     *Zone      `json:"zone,omitempty"`
	Service  *Service   `json:"service,omitempty"`
	Upstream *Upstream  `json:"upstream,omitempty"`
	Customer *Customer  `json:"customer,omitempty"`
	Contract *Contract  `json:"contract,omitempty"`
	Machine  *Machine   `json:"machine,omitempty"`
	Trim     *Trim      `json:"trim,omitempty"`
	Route    *Route     `json:"route,omitempty"`
	Release  *Release   `json:"release,omitempty"`
}

// Trim tells World to drop the generations of a service that are older than Before. World always keeps the newest one.
type Trim struct {
	Service ServiceName `json:"service"`
	Before  Revision    `json:"before"`
}

// Update is the set of changes of one revision. It is applied as a whole or not at all.
type Update struct {
	Revision Revision `json:"revision"`
	Changes  []Change `json:"changes"`
}

// State is a full copy of the configuration. Every list is sorted by name, routes by address.
type State struct {
	Revision       Revision   `json:"revision"`
	NextServiceID  ServiceID  `json:"next_service_id"`
	NextUpstreamID UpstreamID `json:"next_upstream_id"`
	Zones          []Zone     `json:"zones"`
	Services       []Service  `json:"services"`
	Upstreams      []Upstream `json:"upstreams"`
	Customers      []Customer `json:"customers"`
	Contracts      []Contract `json:"contracts"`
	Machines       []Machine  `json:"machines"`
	Routes         []Route    `json:"routes,omitempty"`
	// DeletedRoutes are not part of the digest, like the former services of routes.
	DeletedRoutes []DeletedRoute `json:"deleted_routes,omitempty"`
	// EvictedRoutes is true if a deleted route is missing in DeletedRoutes because there were too many.
	EvictedRoutes bool    `json:"evicted_routes,omitempty"`
	Release       Release `json:"release,omitzero"`
}
