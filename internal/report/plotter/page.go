package plotter

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/peridotstage/peridotstage/internal/report/burner"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	lineWidth  = 1.5
	// pointIntervalHours is the time between two points of the history in hours.
	pointIntervalHours = 5.0 / 60
)

var (
	failedColor    = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}
	slowColor      = color.RGBA{R: 0x20, G: 0x50, B: 0xb0, A: 0xff}
	thresholdColor = color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff}
)

// section is the part of the page about one line of the report.
type section struct {
	Title    string
	Findings []burner.Finding
	Plot     template.HTML
}

// page is the data of the template.
type page struct {
	At       string
	Sections []section
	Gaps     []string
}

var pageTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
td, th { padding: 0.2em 0.8em; text-align: right; border-bottom: 1px solid #ccc; }
.burning { background: #f4b0b0; } .unknown { background: #f4e4a0; } .idle { background: #e0e0e0; } .ok { background: #b8e0b8; }
</style></head><body>
<h1>Service-level burn at {{.At}}</h1>
<ul>{{range .Gaps}}<li>{{.}}</li>{{end}}</ul>
{{range .Sections}}<h2>{{.Title}}</h2>
<table><tr><th>burn</th><th>verdict</th><th>failed, short</th><th>failed, long</th><th>slow, short</th><th>slow, long</th><th>threshold</th><th>requests</th></tr>
{{range .Findings}}<tr class="{{.Verdict}}"><td>{{.Speed}}</td><td>{{.Verdict}}</td><td>{{printf "%.2f" .FailedShort}}</td><td>{{printf "%.2f" .FailedLong}}</td><td>{{printf "%.2f" .SlowShort}}</td><td>{{printf "%.2f" .SlowLong}}</td><td>{{.Threshold}}</td><td>{{.Requests}}</td></tr>
{{end}}</table>
{{.Plot}}
{{end}}</body></html>
`))

// WritePage writes an HTML page with the findings and the burn-rate history of each line of the report.
func WritePage(w io.Writer, r *burner.Report) error {
	findings := r.Judge()
	p := page{At: r.At.UTC().Format(time.DateTime) + " UTC", Gaps: missingData(r, findings)}
	for i := range r.Lines {
		l := &r.Lines[i]
		svg, err := renderPlot(l)
		if err != nil {
			return err
		}
		s := section{Title: string(l.Service) + ", " + customerLabel(l.Customer), Plot: svg}
		for _, f := range findings {
			if f.Service == l.Service && f.Customer == l.Customer {
				s.Findings = append(s.Findings, f)
			}
		}
		p.Sections = append(p.Sections, s)
	}
	return eris.Wrap(pageTemplate.Execute(w, p), "write page")
}

// renderPlot returns the burn-rate history of a line as an SVG element.
func renderPlot(l *burner.Line) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "hours ago", "burn rate"
	p.Y.Min = 0
	failed, slow := l.BurnRates()
	if err := addLine(p, "failed", historyPoints(failed), failedColor); err != nil {
		return "", err
	}
	if err := addLine(p, "slow", historyPoints(slow), slowColor); err != nil {
		return "", err
	}
	for speed, threshold := range burner.Thresholds() {
		level := plotter.XYs{{X: -float64(len(failed)) * pointIntervalHours, Y: threshold}, {X: 0, Y: threshold}}
		if err := addLine(p, fmt.Sprintf("%s threshold", speed), level, thresholdColor); err != nil {
			return "", err
		}
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", eris.Wrap(err, "draw plot")
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	// Removes the XML declaration before the element, which is not allowed inside an HTML page.
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}

// historyPoints returns a point for each value of a history, which is ordered by time and ends at the time of the report.
func historyPoints(values []float64) plotter.XYs {
	xys := make(plotter.XYs, len(values))
	for i, v := range values {
		xys[i] = plotter.XY{X: float64(i+1-len(values)) * pointIntervalHours, Y: v}
	}
	return xys
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return eris.Wrap(err, "plot line")
	}
	line.Color, line.Width = c, vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
