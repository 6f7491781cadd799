package commander

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addCheckSettings(a *app) {
	cmd := a.Command("check-settings", "Check a settings file; without a file, list the settings of a role.")
	role := cmd.Arg("role", "Role that the file is for: entry, agent or control.").Required().
		Enum(string(registrar.RoleEntry), string(registrar.RoleAgent), string(registrar.RoleControl))
	file := cmd.Arg("file", "Settings file.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		switch registrar.Role(*role) {
		case registrar.RoleEntry:
			return checkSettings[parser.Entry](a.out, *file)
		case registrar.RoleAgent:
			return checkSettings[parser.Agent](a.out, *file)
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
