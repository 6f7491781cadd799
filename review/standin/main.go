// Command standin runs the cases of the review: a small deployment of the project's own programs on loopback addresses, with
// stand-ins for requesters, routers, servers, the platform and the operator.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// cases maps the name of a case to the function that plays it. The function returns what broke the rule.
var cases = map[string]func(sys *system, trouble bool) (broken []string, err error){
	"flow-dead-server": flowDeadServer,
	"flow-moved-route": flowMovedRoute,
	"cold-agent":       coldAgent,
	"late-check-in":    lateCheckIn,
}

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE PROJECT-ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	play, known := cases[name]
	rec, err := newRecord(path)
	if err != nil || !known {
		fmt.Println("unknown case or no record:", name, err)
		return exitNotRun
	}
	sys, err := newSystem(root, rec, zones...)
	if err != nil {
		rec.say("setup: %v", err)
		return exitNotRun
	}
	defer sys.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption: %v", name, trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(sys, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errors.New("stopped by a signal")
	case <-time.After(caseLimit):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		rec.say("not run: %v", r.err)
		return exitNotRun
	case len(r.broken) > 0:
		for _, line := range r.broken {
			rec.say("BROKEN: %s", line)
		}
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
