package commander

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/explainer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// logFile is the path of a log file. Log lines without a machine are attributed to the name of the file.
type logFile string

// Open opens the file.
func (f logFile) Open() (io.ReadCloser, error) {
	file, err := os.Open(string(f))
	return file, eris.Wrap(err, "open log")
}

// Name returns the name of the file without its folder and extension.
func (f logFile) Name() string {
	base := filepath.Base(string(f))
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func addExplain(a *app) {
	cmd := a.Command("explain", "Show what the logs of all processes say of a request or a flow of a stream service, or where requests "+
		"were lost.")
	cmd.HelpLong("\nExamples:\n  peridotstage explain --request c92897eccaae409e *.log\n" +
		"  peridotstage explain --flow 100.65.0.12:1132,198.18.0.1:8080 *.log\n  peridotstage explain --caller 100.65.0.12 *.log\n" +
		"  peridotstage explain --losses --zone-of '^edge-(.+)-[0-9]+$' *.log\n")
	request := cmd.Flag("request", "Id that the caller gave the request.").String()
	flow := cmd.Flag("flow", "Caller's end and called address of a flow, as CALLER,ADDRESS.").String()
	caller := cmd.Flag("caller", "Address of a caller, to show its flows that were refused.").String()
	losses := cmd.Flag("losses", "Show where requests were lost or late, by route, zone of the entry, second and cause.").Bool()
	late := cmd.Flag("late", "With --losses: time after which an answer is late.").Default(explainer.DefaultLate.String()).Duration()
	zoneOf := cmd.Flag("zone-of", "With --losses: regular expression that a machine's name matches, with the zone as its group.").Regexp()
	coldRate := cmd.Flag("cold-rate", "With --losses: new flows a second that a cold upstream may get, to show also how many requests could "+
		"have been answered in time.").Float64()
	files := cmd.Arg("file", "Logs, with the lines of one or several processes.").Required().ExistingFiles()
	cmd.Action(func(*kingpin.ParseContext) error {
		var logs []explainer.Log
		for _, f := range *files {
			logs = append(logs, logFile(f))
		}
		if *losses {
			if *request != "" || *flow != "" || *caller != "" {
				return usageError{eris.New("give one of --request, --flow, --caller and --losses")}
			}
			return a.explainLosses(logs, explainer.LossQuery{Late: *late, ColdRate: *coldRate}, *zoneOf)
		}
		q, err := explainQuery(*request, *flow, *caller)
		if err != nil {
			return usageError{err}
		}
		p, err := explainer.Explain(logs, q)
		if err != nil {
			return err
		}
		return p.Write(a.out)
	})
}

// zonePattern is a regular expression whose first group is the zone in the name of a machine.
type zonePattern struct{ *regexp.Regexp }

func (p zonePattern) ZoneOf(machine string) registrar.ZoneName {
	if m := p.FindStringSubmatch(machine); m != nil {
		return registrar.ZoneName(m[1])
	}
	return ""
}

// explainLosses prints the account of losses. zoneOf is nil if zones are not to be shown.
func (a *app) explainLosses(logs []explainer.Log, q explainer.LossQuery, zoneOf *regexp.Regexp) error {
	if q.Late <= 0 {
		return usageError{eris.Errorf("--late %v, want a time above 0", q.Late)}
	}
	if q.ColdRate < 0 {
		return usageError{eris.Errorf("--cold-rate %v, want a number of at least 0", q.ColdRate)}
	}
	if zoneOf != nil {
		if zoneOf.NumSubexp() != 1 {
			return usageError{eris.Errorf("--zone-of %q, want one group in parentheses", zoneOf)}
		}
		q.Zones = zonePattern{zoneOf}
	}
	l, err := explainer.AccountLosses(logs, q)
	if err != nil {
		return err
	}
	return l.Write(a.out)
}

// explainQuery returns the query for the one flag that is set, and an error unless exactly one is set.
func explainQuery(request, flow, caller string) (explainer.Query, error) {
	q := explainer.Query{Request: explainer.RequestID(request)}
	flagCount := 0
	for _, value := range []string{request, flow, caller} {
		if value != "" {
			flagCount++
		}
	}
	if flagCount != 1 {
		return q, eris.New("give one of --request, --flow, --caller and --losses")
	}
	var err error
	if caller != "" {
		q.Caller, err = netip.ParseAddr(caller)
		return q, eris.Wrapf(err, "--caller %q, want an IP address", caller)
	}
	if flow != "" {
		from, to, _ := strings.Cut(flow, ",")
		if q.Flow.Caller, err = netip.ParseAddrPort(from); err == nil {
			q.Flow.Service, err = netip.ParseAddrPort(to)
		}
	}
	return q, eris.Wrapf(err, "--flow %q, want CALLER,ADDRESS, each as IP:PORT", flow)
}
