package explainer

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// secondFormat is the format of the seconds in rows, in UTC.
const secondFormat = "2006-01-02 15:04:05"

// Write writes the account as text for operators.
func (l *Losses) Write(w io.Writer) error {
	t := &lossText{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.printf("%d flows lost (%d refused, %d without an answer) and %d requests answered after more than %v, from %s to %s\n",
		l.Total.Lost(), l.Total.Refused, l.Total.Unanswered, l.Total.Late, l.Late, l.From.UTC().Format(secondFormat),
		l.To.UTC().Format(secondFormat))
	t.printf("without a known cause: %s\n", unknownShare(l.Unknown, l.Total))
	t.writeRemarks(l)
	t.printf("\nsecond (UTC)\troute\tzone\tcause\trefused\tunanswered\tlate\tdelayed\tmean delay\n")
	for _, r := range l.Rows {
		t.printf("%s\t%s\t%s\t%s\t%s\n", r.Second.Format(secondFormat), r.Route, cmp.Or(string(r.Zone), "-"), r.Cause, r.cells())
	}
	t.printf("\ncause\tdetail\trefused\tunanswered\tlate\tdelayed\tmean delay\n")
	for _, c := range l.Causes {
		t.printf("%s\t%s\t%s\n", c.Cause, c.Detail, c.cells())
	}
	t.printf("\nroute\twithout cause\trefused\tunanswered\tlate\tdelayed\tmean delay\n")
	for _, r := range l.Routes {
		t.printf("%s\t%s\t%s\n", r.Route, unknownShare(r.Unknown, r.Counts), r.cells())
	}
	t.writeLimit(l.Limit)
	return eris.Wrap(t.Flush(), "write account of losses")
}

// writeLimit writes how many requests could have been answered in time, or nothing if that was not asked for.
func (t *lossText) writeLimit(l *Limit) {
	if l == nil {
		return
	}
	t.printf("\nwith %g new flows a second at a cold upstream, at most %d of %d requests could have been answered in time, and %d were\n", l.ColdRate,
		l.Total.AtMost, l.Total.Asked, l.Total.InTime)
	t.printf("\nsecond (UTC)\troute\tasked\tin time\tat most\n")
	for _, r := range l.Rows {
		t.printf("%s\t%s\t%d\t%d\t%d\n", r.Second.Format(secondFormat), r.Route, r.Asked, r.InTime, r.AtMost)
	}
}

// lossText is the text of an account. Its writer returns errors of earlier writes from Flush.
type lossText struct {
	*tabwriter.Writer
}

func (t *lossText) printf(format string, args ...any) { fmt.Fprintf(t, format, args...) }

// writeRemarks writes what the counts do not contain.
func (t *lossText) writeRemarks(l *Losses) {
	o := l.Omissions
	if o.Lines > 0 {
		t.printf("lines left out (event 3105): %d, in %d seconds of processes\n", o.Lines, o.Seconds)
		t.printf("  %d flows in these seconds are counted as %d, and %d are not counted because others stand for them\n", o.Scaled, o.ScaledTo,
			o.Unsampled)
	}
	if l.Open > 0 {
		t.printf("flows without an outcome at the end of the logs, not counted: %d\n", l.Open)
	}
	if l.Unseen > 0 {
		t.printf("flows placed at upstreams whose agents have no line in these logs, not counted: %d\n", l.Unseen)
	}
	for _, g := range l.Gaps {
		t.printf("no power: %d machines of zone %s, from %s for %v; packets to them are in no log\n", g.Machines,
			cmp.Or(string(g.Zone), "-"), g.From.UTC().Format(secondFormat+".000"), g.To.Sub(g.From).Round(time.Millisecond))
	}
}

// cells returns the cells of the counts in a row.
func (c Counts) cells() string {
	delay := "-"
	if c.Delayed > 0 {
		delay = c.meanDelay().Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%s", c.Refused, c.Unanswered, c.Late, c.Delayed, delay)
}

// unknownShare returns the share of lost and late flows that has no known cause.
func unknownShare(unknown, total Counts) string {
	all := total.Lost() + total.Late
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(unknown.Lost()+unknown.Late)/float64(all))
}
