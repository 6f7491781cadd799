// Package plotter writes reports on the error budget burn of services as text and as an HTML page with plots.
package plotter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// tabPadding is the minimum number of spaces between two columns.
const tabPadding = 2

// customerLabel returns the text shown for the customer of a line, which is empty for all customers.
func customerLabel(c registrar.CustomerName) string {
	if c == "" {
		return "(all)"
	}
	return string(c)
}

// WriteText writes one row per finding, then the forwarding times at entries, then the missing data.
func WriteText(w io.Writer, r *burner.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tCUSTOMER\tBURN\tVERDICT\tFAILED SHORT\tFAILED LONG\tSLOW SHORT\tSLOW LONG\tTHRESHOLD\tREQUESTS")
	findings := r.Judge()
	for _, f := range findings {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\n", f.Service, customerLabel(f.Customer), f.Speed, f.Verdict,
			f.FailedShort, f.FailedLong, f.SlowShort, f.SlowLong, f.Threshold, f.Requests)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := writeForwarding(w, r); err != nil {
		return err
	}
	for _, line := range missingData(r, findings) {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// writeForwarding writes one row for each service for which entries received datagrams in the last hour.
func writeForwarding(w io.Writer, r *burner.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nENTRIES, LAST HOUR\tFORWARDED\tP50 UP TO\tP99 UP TO\tDROPPED")
	for _, f := range r.Forwarding {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\n", f.Service, f.Total(), quantileText(f, 0.5), quantileText(f, 0.99), f.Dropped)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range r.MissingForwarding() {
		if _, err := fmt.Fprintln(w, "missing for entries:", m); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// quantileText returns the bound below which a share of the datagrams was forwarded.
func quantileText(f burner.ForwardCounts, share float64) string {
	d := f.Quantile(share)
	switch {
	case f.Total() == 0:
		return "-"
	case d == 0:
		return "beyond " + burner.ForwardBounds[len(burner.ForwardBounds)-1].String()
	}
	return d.String()
}

// missingData returns lines about missing data, each only once, and a last line with the control instances of the report.
func missingData(r *burner.Report, findings []burner.Finding) []string {
	var lines []string
	seen := map[string]bool{}
	for _, f := range findings {
		for _, m := range f.Missing {
			line := fmt.Sprintf("missing for %s, %s burn: %s", f.Service, f.Speed, m)
			if !seen[line] {
				seen[line] = true
				lines = append(lines, line)
			}
		}
	}
	for _, s := range r.WithoutObjective {
		lines = append(lines, fmt.Sprintf("not judged: service %s has no objective", s))
	}
	if len(r.Lines) == 0 {
		lines = append(lines, "nothing is judged: no service has an objective")
	}
	var names []string
	for _, i := range r.Instances {
		names = append(names, string(i))
	}
	return append(lines, "data of control instances: "+strings.Join(names, ", "))
}
