package commander

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/explainer"
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
	cmd := a.Command("explain", "Show what the logs of all processes say of a request or a flow of a stream service.")
	cmd.HelpLong("\nExamples:\n  peridotstage explain --request c92897eccaae409e *.log\n" +
		"  peridotstage explain --flow 100.65.0.12:1132,198.18.0.1:8080 *.log\n  peridotstage explain --caller 100.65.0.12 *.log\n")
	request := cmd.Flag("request", "Id that the caller gave the request.").String()
	flow := cmd.Flag("flow", "Caller's end and called address of a flow, as CALLER,ADDRESS.").String()
	caller := cmd.Flag("caller", "Address of a caller, to show its flows that were refused.").String()
	files := cmd.Arg("file", "Logs, with the lines of one or several processes.").Required().ExistingFiles()
	cmd.Action(func(*kingpin.ParseContext) error {
		q, err := explainQuery(*request, *flow, *caller)
		if err != nil {
			return usageError{err}
		}
		var logs []explainer.Log
		for _, f := range *files {
			logs = append(logs, logFile(f))
		}
		p, err := explainer.Explain(logs, q)
		if err != nil {
			return err
		}
		return p.Write(a.out)
	})
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
		return q, eris.New("give one of --request, --flow and --caller")
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
