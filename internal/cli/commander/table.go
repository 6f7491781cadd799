package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
)

const columnGap = 2

// table prints lines and aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
}

func (t *table) header(names ...string) { fmt.Fprintln(t, strings.Join(names, "\t")) }

func (t *table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
		if text[i] == "" {
			text[i] = "-"
		}
	}
	fmt.Fprintln(t, strings.Join(text, "\t"))
}

// line prints a line that is not part of the columns.
func (t *table) line(format string, args ...any) {
	_ = t.Flush()
	fmt.Fprintf(t, format+"\n", args...)
	_ = t.Flush()
}

// list prints a heading and one line for each item, if there are any.
func (t *table) list(heading string, items []string) {
	if len(items) == 0 {
		return
	}
	t.line("%s:", heading)
	for _, s := range items {
		t.line("  %s", s)
	}
}

// moment prints a time in Unix milliseconds.
func moment(milli int64) string {
	if milli == 0 {
		return "never"
	}
	return time.UnixMilli(milli).UTC().Format("2006-01-02T15:04:05.000Z")
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func printResult(t *table, r planner.Result) {
	if r.Plan != nil {
		printPlan(t, *r.Plan)
	}
}

func printPlan(t *table, p planner.Plan) {
	t.line("Plan %d by %s at %s for revision %d: %s %s", p.ID, p.Operator, moment(p.AtMilli), p.Base, p.Intent.Kind,
		p.Intent.Object())
	t.list("Steps", p.Steps)
	t.list("Affected", p.Affected)
	var customers []string
	for _, c := range p.Customers {
		share := "share of its live flows unknown"
		if c.Percent != nil {
			share = fmt.Sprintf("%d%% of its live flows", *c.Percent)
		}
		customers = append(customers, fmt.Sprintf("%s (%s), services %v", c.Customer, share, c.Services))
	}
	t.list("Customers", customers)
	t.list("Warnings", p.Warnings)
	if p.Confirmed != 0 {
		t.line("Confirmed by %s as revision %d.", p.ConfirmedBy, p.Confirmed)
		return
	}
	t.line("Nothing has taken effect. To apply exactly this plan: peridotstage confirm %d", p.ID)
}
