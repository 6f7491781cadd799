package commander

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/plotter"
)

// errBurning means that an alert condition holds. It has its own exit code so that scripts can detect it.
var errBurning = errors.New("a service burns its error budget too fast")

// burnDocument is the JSON output of the command "report burn".
type burnDocument struct {
	burner.Report
	Findings []burner.Finding `json:"findings"`
}

func addReport(a *app) {
	report := a.Command("report", "Show reports about the service.")
	cmd := report.Command("burn", "Show how fast services and customers use up their error budgets.").HelpLong(`
Each control instance has the data of the agents that report to it, so all addresses of --api are asked. Exit code 7 means that
an alert condition holds.

Examples:
  peridotstage report burn
  peridotstage report burn --output json
  peridotstage report burn --html burn.html
`)
	htmlPath := cmd.Flag("html", "Write a page with plots to this file as well.").PlaceHolder("FILE").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		reports, fetchErr := a.fetchBurnReports()
		if len(reports) == 0 {
			return fetchErr
		}
		r := burner.Merge(reports)
		if err := a.writeBurnReport(&r, *htmlPath); err != nil {
			return err
		}
		for _, f := range r.Judge() {
			if f.Verdict == burner.Burning {
				return exitError{ExitBurning, errors.Join(errBurning, fetchErr)}
			}
		}
		return fetchErr
	})
}

// fetchBurnReports requests the burn report of every control instance. The error names the instances that did not answer.
func (a *app) fetchBurnReports() ([]burner.Report, error) {
	addresses, err := a.api.addressList()
	if err != nil {
		return nil, err
	}
	var reports []burner.Report
	var failures []error
	for _, address := range addresses {
		b, err := a.api.sendTo([]string{address}, http.MethodGet, "/v1/burn", nil)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		var r burner.Report
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, eris.Wrap(err, "decode answer")
		}
		reports = append(reports, r)
	}
	if len(reports) == 0 {
		return nil, exitError{ExitUnknown, errors.Join(failures...)}
	}
	return reports, errors.Join(failures...)
}

// writeBurnReport writes the report in the form that --output selects, and as a page if htmlPath is not empty.
func (a *app) writeBurnReport(r *burner.Report, htmlPath string) error {
	if htmlPath != "" {
		f, err := os.Create(htmlPath)
		if err != nil {
			return eris.Wrap(err, "--html")
		}
		if err := errors.Join(plotter.WritePage(f, r), f.Close()); err != nil {
			return err
		}
	}
	if *a.api.output == outputText {
		return plotter.WriteText(a.out, r)
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(burnDocument{Report: *r, Findings: r.Judge()})
}
