package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// table prints lines and aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
}

func (t *table) printHeader(names ...string) { fmt.Fprintln(t, strings.Join(names, "\t")) }

func (t *table) printRow(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
		if text[i] == "" {
			text[i] = "-"
		}
	}
	fmt.Fprintln(t, strings.Join(text, "\t"))
}

// printLine prints a line outside the columns. Rows after it are aligned independently of those before.
func (t *table) printLine(format string, args ...any) {
	_ = t.Flush()
	fmt.Fprintf(t, format+"\n", args...)
	_ = t.Flush()
}

// printList prints a heading and one line for each item. It prints nothing if there are no items.
func (t *table) printList(heading string, items []string) {
	if len(items) == 0 {
		return
	}
	t.printLine("%s:", heading)
	for _, s := range items {
		t.printLine("  %s", s)
	}
}

// formatMilli formats a time given in Unix milliseconds; 0 means never.
func formatMilli(milli int64) string {
	if milli == 0 {
		return "never"
	}
	return time.UnixMilli(milli).UTC().Format("2006-01-02T15:04:05.000Z")
}

func yesNo(b bool) string {
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
	t.printLine("Plan %d by %s at %s for revision %d: %s %s", p.ID, p.Operator, formatMilli(p.AtMilli), p.Base, p.Intent.Kind,
		p.Intent.Object())
	t.printList("Steps", p.Steps)
	t.printList("Affected", p.Affected)
	var customers []string
	for _, c := range p.Customers {
		share := "share of its live flows unknown"
		if c.Percent != nil {
			share = fmt.Sprintf("%d%% of its live flows", *c.Percent)
		}
		customers = append(customers, fmt.Sprintf("%s (%s), services %v", c.Customer, share, c.Services))
	}
	t.printList("Customers", customers)
	t.printList("Warnings", p.Warnings)
	if p.Confirmed != 0 {
		t.printLine("Confirmed by %s as revision %d.", p.ConfirmedBy, p.Confirmed)
		return
	}
	t.printLine("Nothing has taken effect. To apply exactly this plan: peridotstage confirm %d", p.ID)
}
