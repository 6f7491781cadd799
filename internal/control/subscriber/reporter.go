package subscriber

import (
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxUncutPerReport is the largest number of customers that are not cut off in one report. With 50 bytes for each customer and two
// reports a second, evidence stays below 1 KB a second. Customers that are cut off are always reported.
const maxUncutPerReport = 8

// Reporter selects the evidence that a node sends with a heartbeat: all of it to an instance that does not know the node yet, and
// then only the evidence that has changed. It is not safe for concurrent use. The zero value is ready for use.
type Reporter struct {
	// sequence is the number of the last report.
	sequence uint64
	// base is the last report that the current control instance has confirmed; 0 for none.
	base uint64
	// confirmed is the evidence that the instance has as of base, and sent the evidence that it has once it receives the last report.
	confirmed, sent map[registrar.CustomerName]counter.Evidence
	// lastUncut is the customer with which the last full selection of customers that are not cut off ended. The next selection
	// starts after it, so that every customer is reported in turn.
	lastUncut registrar.CustomerName
}

// Report is the evidence of one heartbeat.
type Report struct {
	Sequence uint64
	// Base is the sequence number of the report that Evidence updates; 0 if Evidence is complete.
	Base     uint64
	Evidence []counter.Evidence
}

// Next returns the next report to send. all is the node's evidence, sorted by customer.
func (r *Reporter) Next(all []counter.Evidence) Report {
	r.sequence++
	report := Report{Sequence: r.sequence, Base: r.base}
	if r.base == 0 {
		report.Evidence = all
	} else {
		report.Evidence = r.selectChanged(all)
	}
	r.sent = make(map[registrar.CustomerName]counter.Evidence, len(all))
	if r.base != 0 {
		for name, e := range r.confirmed {
			r.sent[name] = e
		}
	}
	for _, e := range report.Evidence {
		r.sent[e.Customer] = e
	}
	return report
}

// selectChanged returns the changed evidence of all customers that are cut off, and of up to maxUncutPerReport other customers.
func (r *Reporter) selectChanged(all []counter.Evidence) []counter.Evidence {
	var selected []bool
	uncutCount := 0
	selectUncut := func(afterLast bool) {
		for i, e := range all {
			if e.CutRevision != 0 || e == r.confirmed[e.Customer] || (e.Customer > r.lastUncut) != afterLast ||
				uncutCount == maxUncutPerReport {
				continue
			}
			selected[i] = true
			uncutCount++
			if uncutCount == maxUncutPerReport {
				r.lastUncut = e.Customer
			}
		}
	}
	selected = make([]bool, len(all))
	selectUncut(true)
	selectUncut(false)
	var changed []counter.Evidence
	for i, e := range all {
		if selected[i] || e.CutRevision != 0 && e != r.confirmed[e.Customer] {
			changed = append(changed, e)
		}
	}
	return changed
}

// Confirm records that the control instance has received the last report.
func (r *Reporter) Confirm() { r.base, r.confirmed = r.sequence, r.sent }

// Restart makes the next report complete, because the control instance may lack the earlier ones.
func (r *Reporter) Restart() { r.base, r.confirmed = 0, nil }
