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

// errBurning is returned if an alert condition holds, so that scripts can tell by the exit code.
var errBurning = errors.New("a service burns its error budget too fast")

// burnDocument is the JSON form of a report.
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
	page := cmd.Flag("html", "Write a page with plots to this file as well.").PlaceHolder("FILE").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		reports, failed := a.fetchBurn()
		if len(reports) == 0 {
			return failed
		}
		r := burner.Merge(reports)
		if err := a.writeBurn(&r, *page); err != nil {
			return err
		}
		for _, f := range r.Judge() {
			if f.Verdict == burner.Burning {
				return exitError{ExitBurning, errors.Join(errBurning, failed)}
			}
		}
		return failed
	})
}

// fetchBurn asks all instances. The error names those that did not answer.
func (a *app) fetchBurn() ([]burner.Report, error) {
	addresses, err := a.api.list()
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

func (a *app) writeBurn(r *burner.Report, page string) error {
	if page != "" {
		f, err := os.Create(page)
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
