package subscriber

import (
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// changedPerReport is how many customers that are not cut off are reported at a time. With 50 bytes each and two reports a
// second it keeps evidence under 1 KB a second; customers that are cut off are always reported.
const changedPerReport = 8

// Reporter decides which evidence a node sends with a heartbeat: everything to an instance that does not know the node yet,
// and afterwards what has changed. It is used by one goroutine. The zero value is ready for use.
type Reporter struct {
	sequence uint64
	// base is the last report that the present control instance is known to have; 0 for none.
	base uint64
	// known is what the instance knows as of base, and sent what it knows as of sequence.
	known, sent map[registrar.CustomerName]counter.Evidence
	// after is the customer that was reported last, so that all get their turn.
	after registrar.CustomerName
}

// Report is the evidence of one heartbeat.
type Report struct {
	Sequence uint64
	// Base is the report that Evidence adds to; 0 if Evidence is complete.
	Base     uint64
	Evidence []counter.Evidence
}

// Next returns the evidence to send. all is sorted by customer.
func (r *Reporter) Next(all []counter.Evidence) Report {
	r.sequence++
	p := Report{Sequence: r.sequence, Base: r.base}
	if r.base == 0 {
		p.Evidence = all
	} else {
		p.Evidence = r.changed(all)
	}
	r.sent = make(map[registrar.CustomerName]counter.Evidence, len(all))
	if r.base != 0 {
		for name, e := range r.known {
			r.sent[name] = e
		}
	}
	for _, e := range p.Evidence {
		r.sent[e.Customer] = e
	}
	return p
}

// changed picks all changed customers that have been cut off, and some of the others in turn.
func (r *Reporter) changed(all []counter.Evidence) []counter.Evidence {
	var wanted []bool
	others := 0
	pick := func(later bool) {
		for i, e := range all {
			if e.CutRevision != 0 || e == r.known[e.Customer] || (e.Customer > r.after) != later || others == changedPerReport {
				continue
			}
			wanted[i] = true
			others++
			if others == changedPerReport {
				r.after = e.Customer
			}
		}
	}
	wanted = make([]bool, len(all))
	pick(true)
	pick(false)
	var picked []counter.Evidence
	for i, e := range all {
		if wanted[i] || e.CutRevision != 0 && e != r.known[e.Customer] {
			picked = append(picked, e)
		}
	}
	return picked
}

// Confirm notes that the control instance has received the last report.
func (r *Reporter) Confirm() { r.base, r.known = r.sequence, r.sent }

// Restart makes the next report complete, because the control instance may lack the earlier ones.
func (r *Reporter) Restart() { r.base, r.known = 0, nil }
