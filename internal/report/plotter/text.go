// Package plotter shows reports on service-level burn as text and as an HTML page with plots.
package plotter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const tabPadding = 2

// customerLabel names the customer of a line.
func customerLabel(c registrar.CustomerName) string {
	if c == "" {
		return "(all)"
	}
	return string(c)
}

// WriteText writes one row a finding, and below them what data is missing.
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
	for _, line := range gaps(r, findings) {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// writeForwarding writes one row for each service with datagrams at entries in the last hour.
func writeForwarding(w io.Writer, r *burner.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, "\nENTRIES, LAST HOUR\tFORWARDED\tP50 UP TO\tP99 UP TO\tDROPPED")
	for _, f := range r.Forwarding {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\n", f.Service, f.Total(), upTo(f, 0.5), upTo(f, 0.99), f.Dropped)
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

func upTo(f burner.ForwardCounts, share float64) string {
	d := f.Quantile(share)
	switch {
	case f.Total() == 0:
		return "-"
	case d == 0:
		return "beyond " + burner.ForwardBounds[len(burner.ForwardBounds)-1].String()
	}
	return d.String()
}

// gaps says which data is missing, each gap once.
func gaps(r *burner.Report, findings []burner.Finding) []string {
	var all []string
	seen := map[string]bool{}
	for _, f := range findings {
		for _, m := range f.Missing {
			line := fmt.Sprintf("missing for %s, %s burn: %s", f.Service, f.Speed, m)
			if !seen[line] {
				seen[line] = true
				all = append(all, line)
			}
		}
	}
	for _, s := range r.WithoutObjective {
		all = append(all, fmt.Sprintf("not judged: service %s has no objective", s))
	}
	if len(r.Lines) == 0 {
		all = append(all, "nothing is judged: no service has an objective")
	}
	var names []string
	for _, i := range r.Instances {
		names = append(names, string(i))
	}
	return append(all, "data of control instances: "+strings.Join(names, ", "))
}
