// Package planner turns the intents of operators into plans, and applies a plan when it is confirmed. Its Ledger is the
// state machine of the replicated log.
package planner

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// IntentKind says what an operator wants.
type IntentKind string

// The kinds of intent.
const (
	AddZone         IntentKind = "add_zone"
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

// Plan is the list of changes that an intent would make.
type Plan struct {
	ID       PlanID                 `json:"id"`
	Operator registrar.OperatorName `json:"operator"`
	Intent   Intent                 `json:"intent"`
	// Base is the revision that the plan was made for. The plan can be confirmed only while no operator's change has come
	// between.
	Base     registrar.Revision `json:"base_revision"`
	Changes  []registrar.Change `json:"changes"`
	Steps    []string           `json:"steps"`
	Affected []string           `json:"affected"`
	Warnings []string           `json:"warnings"`
	// Confirmed is the revision that the plan was applied as; 0 until then.
	Confirmed registrar.Revision `json:"confirmed_revision,omitempty"`
}

// CommandKind says what a log entry does.
type CommandKind string

// The kinds of command.
const (
	CommandPlan    CommandKind = "plan"
	CommandConfirm CommandKind = "confirm"
	// CommandSystem applies changes that the system makes itself, such as announcements.
	CommandSystem CommandKind = "system"
)

// Command is one entry of the replicated log.
type Command struct {
	Kind     CommandKind            `json:"kind"`
	Operator registrar.OperatorName `json:"operator,omitempty"`
	Number   RequestNumber          `json:"number,omitempty"`
	// AtMilli is the time of the proposal in Unix milliseconds, for the audit log.
	AtMilli int64              `json:"at_unix_ms"`
	Intent  *Intent            `json:"intent,omitempty"`
	Plan    PlanID             `json:"plan,omitempty"`
	Changes []registrar.Change `json:"changes,omitempty"`
	// Base is the revision that Changes of the system were worked out for. An instance may work on an old revision, so the
	// changes are refused if an operator's change has come between.
	Base registrar.Revision `json:"base_revision,omitempty"`
}

// FailureCode classifies a refusal.
type FailureCode string

// The failure codes.
const (
	FailureInvalid  FailureCode = "invalid"
	FailureConflict FailureCode = "conflict"
	FailureStale    FailureCode = "stale"
	FailureNotFound FailureCode = "not_found"
)

// Failure is a refusal of a command.
type Failure struct {
	Code    FailureCode `json:"code"`
	Message string      `json:"message"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

// Result is the outcome of a command. Either Failure is set or the command has been carried out.
type Result struct {
	Plan     *Plan              `json:"plan,omitempty"`
	Revision registrar.Revision `json:"revision"`
	Failure  *Failure           `json:"failure,omitempty"`
}
