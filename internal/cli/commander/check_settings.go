package commander

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

func addCheckSettings(a *app) {
	cmd := a.Command("check-settings", "Check a settings file; without a file, list the settings of a role.")
	role := cmd.Arg("role", "Role that the file is for: entry, agent, control, stream-entry, stream-agent or open-control.").Required().
		Enum("entry", "agent", "control", "stream-entry", "stream-agent", "open-control")
	file := cmd.Arg("file", "Settings file.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		switch *role {
		case "entry":
			return checkSettings[parser.Entry](a.out, *file)
		case "agent":
			return checkSettings[parser.Agent](a.out, *file)
		case "stream-entry":
			return checkSettings[parser.StreamEntry](a.out, *file)
		case "stream-agent":
			return checkSettings[parser.StreamAgent](a.out, *file)
		case "open-control":
			return checkSettings[parser.OpenControl](a.out, *file)
		default:
			return checkSettings[parser.Control](a.out, *file)
		}
	})
}

func checkSettings[T any](out io.Writer, file string) error {
	if file == "" {
		return parser.WriteFields[T](out)
	}
	if _, err := parser.Load[T](file); err != nil {
		return usageError{err}
	}
	_, err := fmt.Fprintf(out, "%s: ok\n", file)
	return err
}
