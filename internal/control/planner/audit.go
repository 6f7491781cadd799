package planner

import (
	"sort"
	"sync"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxAuditEntries bounds the audit log. At the design size of 4,000 changes a day, each planned and confirmed, it holds more than
// a day; older entries are in the logs of the control instances (event 4201).
const maxAuditEntries = 10_000

// AuditSequence numbers audit entries in the order of the log, starting at 1.
type AuditSequence uint64

// AuditEntry records one action of an operator. A resent request adds no second entry.
type AuditEntry struct {
	Sequence AuditSequence          `json:"sequence"`
	AtMilli  int64                  `json:"at_unix_ms"`
	Operator registrar.OperatorName `json:"operator"`
	Number   RequestNumber          `json:"number"`
	Action   CommandKind            `json:"action"`
	Intent   IntentKind             `json:"intent,omitempty"`
	Object   string                 `json:"object,omitempty"`
	Plan     PlanID                 `json:"plan,omitempty"`
	// Revision is the revision of the configuration after the action.
	Revision registrar.Revision `json:"revision"`
	// Outcome is "done" or a failure code.
	Outcome FailureCode `json:"outcome"`
}

// outcomeDone is the outcome of an action without a failure.
const outcomeDone FailureCode = "done"

// auditLog holds the newest actions of operators. The zero value is ready for use.
type auditLog struct {
	mu      sync.RWMutex
	entries []AuditEntry
	// lastSequence is the sequence number of the newest entry.
	lastSequence AuditSequence
}

func (a *auditLog) add(e AuditEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSequence++
	e.Sequence = a.lastSequence
	a.entries = append(a.entries, e)
	if excess := len(a.entries) - maxAuditEntries; excess > 0 {
		a.entries = a.entries[excess:]
	}
}

// page returns up to limit entries after a sequence number.
func (a *auditLog) page(after AuditSequence, limit int) []AuditEntry {
	a.mu.RLock()
	defer a.mu.RUnlock()
	first := sort.Search(len(a.entries), func(i int) bool { return a.entries[i].Sequence > after })
	end := min(first+limit, len(a.entries))
	return append([]AuditEntry{}, a.entries[first:end]...)
}

func (a *auditLog) restore(entries []AuditEntry, lastSequence AuditSequence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries, a.lastSequence = entries, lastSequence
}

// Object returns the name of the object that an intent is about.
func (in Intent) Object() string {
	switch {
	case in.Zone != nil:
		return string(in.Zone.Name)
	case in.Service != nil:
		return string(in.Service.Name)
	case in.Upstream != nil:
		return string(in.Upstream.Name)
	case in.Customer != nil:
		return string(in.Customer.Name)
	case in.Contract != nil:
		return string(in.Contract.Name)
	}
	return ""
}
