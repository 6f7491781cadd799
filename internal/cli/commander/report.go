package commander

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/plotter"
)

// errBurning is returned if an alert condition holds, so that scripts can tell by the exit status.
var errBurning = errors.New("a service burns its error budget too fast")

// burnDocument is the JSON form of a report.
type burnDocument struct {
	burner.Report
	Findings []burner.Finding `json:"findings"`
}

func addReport(a *app) {
	report := a.Command("report", "Show reports about the service.")
	cmd := report.Command("burn", "Show how fast services and customers use up their error budgets. Exits with status 1 if one does so too fast.")
	format := cmd.Flag("format", "Format: text, json or html.").Default("text").Enum("text", "json", "html")
	instances := cmd.Flag("instance", "Intent API of a further control instance, HOST:PORT; may be repeated. Each instance has the data of the agents that report to it.").Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		reports, failed := a.fetchBurn(append([]string{*a.api.address}, *instances...))
		if len(reports) == 0 {
			return failed
		}
		r := burner.Merge(reports)
		if err := a.writeBurn(&r, *format); err != nil {
			return err
		}
		for _, f := range r.Judge() {
			if f.Verdict == burner.Burning {
				return errors.Join(failed, errBurning)
			}
		}
		return failed
	})
}

// fetchBurn asks all instances. The error names those that did not answer.
func (a *app) fetchBurn(addresses []string) ([]burner.Report, error) {
	var reports []burner.Report
	var failed error
	for _, address := range addresses {
		b, err := a.api.fetch(http.MethodGet, address, "/v1/burn", nil)
		if err != nil {
			failed = errors.Join(failed, eris.Wrap(err, address))
			continue
		}
		var r burner.Report
		if err := json.Unmarshal(b, &r); err != nil {
			failed = errors.Join(failed, eris.Wrap(err, address))
			continue
		}
		reports = append(reports, r)
	}
	return reports, failed
}

func (a *app) writeBurn(r *burner.Report, format string) error {
	switch format {
	case "json":
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return e.Encode(burnDocument{Report: *r, Findings: r.Judge()})
	case "html":
		return plotter.WritePage(a.out, r)
	}
	return plotter.WriteText(a.out, r)
}
