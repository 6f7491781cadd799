// Package planner turns the intents of operators into plans, and applies a plan when it is confirmed. Its Ledger is the
// state machine of the replicated log.
package planner

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// IntentKind is the kind of change that an operator requests.
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

// Intent is a change that an operator requests. Exactly one object is set, the one that Kind needs.
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

// RequestNumber is chosen by an operator and identifies a request among all requests of that operator.
type RequestNumber uint64

// CustomerEffect is the effect of a plan on the traffic of a customer.
type CustomerEffect struct {
	Customer registrar.CustomerName  `json:"customer"`
	Services []registrar.ServiceName `json:"services"`
	// Percent is the share of the customer's live flows that the plan affects; nil if no flows were known.
	Percent *int `json:"percent,omitempty"`
}

// Plan is the list of changes that implement an intent, with a description of their effects.
type Plan struct {
	ID       PlanID                 `json:"id"`
	Operator registrar.OperatorName `json:"operator"`
	// AtMilli is the time at which the plan was requested, in Unix milliseconds.
	AtMilli int64  `json:"at_unix_ms"`
	Intent  Intent `json:"intent"`
	// Base is the revision for which the plan was made. The plan can be confirmed only while it would still have exactly the
	// effects that it shows and no operator has confirmed another change.
	Base      registrar.Revision `json:"base_revision"`
	Changes   []registrar.Change `json:"changes"`
	Steps     []string           `json:"steps"`
	Affected  []string           `json:"affected"`
	Customers []CustomerEffect   `json:"customers"`
	Warnings  []string           `json:"warnings"`
	// Confirmed is the revision that applied the plan; 0 until then.
	Confirmed registrar.Revision `json:"confirmed_revision,omitempty"`
	// ConfirmedBy is the operator whose confirmation applied the plan.
	ConfirmedBy registrar.OperatorName `json:"confirmed_by,omitempty"`
}

// CommandKind is the kind of a log entry.
type CommandKind string

// The kinds of command.
const (
	CommandPlan    CommandKind = "plan"
	CommandConfirm CommandKind = "confirm"
	// CommandSystem applies facts that the system has observed, such as announcements.
	CommandSystem CommandKind = "system"
	// CommandReplace replaces the configuration of routes.
	CommandReplace CommandKind = "replace"
	// CommandApply applies an intent without a separate confirmation.
	CommandApply CommandKind = "apply"
	// CommandRead returns the configuration of routes at the position of the command in the log. It changes nothing.
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
	// Facts are the observations of the system; set for CommandSystem.
	Facts *Facts `json:"facts,omitempty"`
	// Traffic holds the affected shares of customers' flows that were known when the plan was requested. The plan shows it, but it
	// is not part of the content that identifies a resent request.
	Traffic []Share `json:"traffic,omitempty"`
	// Replacement is set for CommandReplace.
	Replacement *Replacement `json:"replacement,omitempty"`
	// Base is the newest revision that the proposing instance knew; set for CommandApply.
	Base registrar.Revision `json:"base_revision,omitempty"`
}

// Share is the part of a customer's live flows that an intent affects, in percent.
type Share struct {
	Customer registrar.CustomerName `json:"customer"`
	Percent  int                    `json:"percent"`
}

// FailureCode classifies a failure.
type FailureCode string

// The failure codes.
const (
	FailureInvalid  FailureCode = "invalid"
	FailureConflict FailureCode = "conflict"
	FailureStale    FailureCode = "stale"
	FailureNotFound FailureCode = "not_found"
	// FailureExpired means that the request number is older than the recorded requests, so the request may have run before.
	FailureExpired FailureCode = "expired"
	// FailureUnavailable means that this instance cannot answer at present; another one may be able to.
	FailureUnavailable FailureCode = "unavailable"
)

// Failure is the reason why a command was refused.
type Failure struct {
	Code    FailureCode `json:"code"`
	Message string      `json:"message"`
	// Field is the invalid field of the request; empty if the failure is not about one field.
	Field string `json:"field,omitempty"`
	// Value is the refused value of Field.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that Field accepts.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

// Result is the outcome of a command. The command was applied unless Failure is set.
type Result struct {
	Plan     *Plan              `json:"plan,omitempty"`
	Revision registrar.Revision `json:"revision"`
	Failure  *Failure           `json:"failure,omitempty"`
	// Refusals are the reasons why some facts were refused. The other facts have been applied.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Version and Document are set for CommandRead; the version is 0 before the first configuration of routes.
	Version  registrar.ReleaseVersion `json:"version,omitempty"`
	Document Document                 `json:"document,omitempty"`
}
