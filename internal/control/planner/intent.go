// Package planner turns the intents of operators into plans, and applies a plan when it is confirmed. Its Ledger is the
// state machine of the replicated log.
package planner

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// IntentKind says what an operator wants.
type IntentKind string

// The kinds of intent.
const (
	AddZone         IntentKind = "add_zone"
	ChangeZone      IntentKind = "change_zone"
	WithdrawZone    IntentKind = "withdraw_zone"
	ReturnZone      IntentKind = "return_zone"
	RemoveZone      IntentKind = "remove_zone"
	AddService      IntentKind = "add_service"
	RemoveService   IntentKind = "remove_service"
	ChangeUpstream  IntentKind = "change_upstream"
	RetireUpstream  IntentKind = "retire_upstream"
	RestoreUpstream IntentKind = "restore_upstream"
	RemoveUpstream  IntentKind = "remove_upstream"
	AddCustomer     IntentKind = "add_customer"
	CutCustomer     IntentKind = "cut_customer"
	RestoreCustomer IntentKind = "restore_customer"
	RemoveCustomer  IntentKind = "remove_customer"
	AddContract     IntentKind = "add_contract"
	ChangeContract  IntentKind = "change_contract"
	RemoveContract  IntentKind = "remove_contract"
)

// Intent is what an operator wants. Exactly the field that belongs to Kind is set.
type Intent struct {
	Kind     IntentKind          `json:"kind"`
	Zone     *registrar.Zone     `json:"zone,omitempty"`
	Service  *registrar.Service  `json:"service,omitempty"`
	Upstream *registrar.Upstream `json:"upstream,omitempty"`
	Customer *registrar.Customer `json:"customer,omitempty"`
	Contract *registrar.Contract `json:"contract,omitempty"`
}

// PlanID numbers plans in the order of the log, starting at 1.
type PlanID uint64

// RequestNumber is chosen by an operator and distinguishes that operator's requests.
type RequestNumber uint64

// CustomerEffect is a customer whose traffic a plan touches.
type CustomerEffect struct {
	Customer registrar.CustomerName  `json:"customer"`
	Services []registrar.ServiceName `json:"services"`
	// Percent is the share of the customer's live flows that the plan touches; nil if no flows were known.
	Percent *int `json:"percent,omitempty"`
}

// Plan is the list of changes that an intent would make.
type Plan struct {
	ID       PlanID                 `json:"id"`
	Operator registrar.OperatorName `json:"operator"`
	// AtMilli is when the plan was asked for, in Unix milliseconds.
	AtMilli int64  `json:"at_unix_ms"`
	Intent  Intent `json:"intent"`
	// Base is the revision that the plan was made for. The plan can be confirmed only while it would still do exactly what
	// it shows and no operator's change has come between.
	Base      registrar.Revision `json:"base_revision"`
	Changes   []registrar.Change `json:"changes"`
	Steps     []string           `json:"steps"`
	Affected  []string           `json:"affected"`
	Customers []CustomerEffect   `json:"customers"`
	Warnings  []string           `json:"warnings"`
	// Confirmed is the revision that the plan was applied as; 0 until then.
	Confirmed registrar.Revision `json:"confirmed_revision,omitempty"`
	// ConfirmedBy is the operator whose confirmation applied the plan.
	ConfirmedBy registrar.OperatorName `json:"confirmed_by,omitempty"`
}

// CommandKind says what a log entry does.
type CommandKind string

// The kinds of command.
const (
	CommandPlan    CommandKind = "plan"
	CommandConfirm CommandKind = "confirm"
	// CommandSystem merges facts that the system has observed, such as announcements.
	CommandSystem CommandKind = "system"
	// CommandReplace replaces the configuration of routes.
	CommandReplace CommandKind = "replace"
	// CommandApply carries out an intent that the operator has confirmed in advance.
	CommandApply CommandKind = "apply"
	// CommandRead returns the configuration of routes as of its place in the log. It changes nothing.
	CommandRead CommandKind = "read"
)

// Command is one entry of the replicated log.
type Command struct {
	Kind     CommandKind            `json:"kind"`
	Operator registrar.OperatorName `json:"operator,omitempty"`
	Number   RequestNumber          `json:"number,omitempty"`
	// AtMilli is the time of the proposal in Unix milliseconds, for the audit log.
	AtMilli int64   `json:"at_unix_ms"`
	Intent  *Intent `json:"intent,omitempty"`
	Plan    PlanID  `json:"plan,omitempty"`
	// Facts are what the system has observed; set for CommandSystem.
	Facts *Facts `json:"facts,omitempty"`
	// Traffic is what was known about customers' flows when a plan was asked for. It is shown, and does not identify the
	// request.
	Traffic []Share `json:"traffic,omitempty"`
	// Replacement is set for CommandReplace.
	Replacement *Replacement `json:"replacement,omitempty"`
	// Base is the newest revision that the proposing instance knew, for CommandApply.
	Base registrar.Revision `json:"base_revision,omitempty"`
}

// Share is the part of a customer's live flows that an intent touches.
type Share struct {
	Customer registrar.CustomerName `json:"customer"`
	Percent  int                    `json:"percent"`
}

// FailureCode classifies a refusal.
type FailureCode string

// The failure codes.
const (
	FailureInvalid  FailureCode = "invalid"
	FailureConflict FailureCode = "conflict"
	FailureStale    FailureCode = "stale"
	FailureNotFound FailureCode = "not_found"
	// FailureExpired means that the request is older than the remembered window and may have run before.
	FailureExpired FailureCode = "expired"
	// FailureUnavailable means that this instance cannot answer now. Another one may.
	FailureUnavailable FailureCode = "unavailable"
)

// Failure is a refusal of a command.
type Failure struct {
	Code    FailureCode `json:"code"`
	Message string      `json:"message"`
	// Field is the field of the request that is at fault; empty if none is.
	Field string `json:"field,omitempty"`
	// Value is the refused value of Field.
	Value string `json:"value,omitempty"`
	// Allowed says what Field may hold.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

// Result is the outcome of a command. Either Failure is set or the command has been carried out.
type Result struct {
	Plan     *Plan              `json:"plan,omitempty"`
	Revision registrar.Revision `json:"revision"`
	Failure  *Failure           `json:"failure,omitempty"`
	// Refusals are the observed facts that contradict the configuration; the others have been applied.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Version and Document are set for CommandRead; the version is 0 before the first configuration of routes.
	Version  registrar.ReleaseVersion `json:"version,omitempty"`
	Document Document                 `json:"document,omitempty"`
}
