package commander

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

func addVersion(a *app) {
	cmd := a.Command("version", "Show the version of this program and of its protocols.")
	cmd.Action(func(*kingpin.ParseContext) error {
		version, revision := "unknown", "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
		}
		fmt.Fprintf(a.out, "peridotstage %s (commit %s), intent API 1, machine protocol %d\n", version, revision, encoder.Protocol)
		return nil
	})
}
