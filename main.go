// Command peridotstage is a layer-4 load balancer that shows where each customer's traffic goes.
package main

import (
	"os"

	"github.com/peridotstage/peridotstage/internal/cli/commander"
	"github.com/peridotstage/peridotstage/platform"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Adapter{}))
}
