package commander

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

func addStatus(a *app) {
	cmd := a.Command("status", "Show the configuration and the nodes that enforce it.")
	cmd.Action(func(*kingpin.ParseContext) error { return a.api.call(http.MethodGet, "/v1/status", nil) })
}
