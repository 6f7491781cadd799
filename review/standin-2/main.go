// Command standin-2 plays the cases of the second review that are no days of the bench: it starts the system's programs on loopback
// addresses, with stand-ins for servers, requesters, routers and the operator. It exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// maxTime bounds a case, with time to end its processes.
const maxTime = 110 * time.Second

// errBroken means that the rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the case of each name. trouble is false for a run without the disruption.
var cases = map[string]func(d *deployment, trouble bool) error{
	"foreign-check-in": foreignCheckIn,
	"former-services":  formerServices,
	"late-check-in":    lateCheckIn,
	"late-deregister":  lateDeregister,
	"founder-replaced": founderReplaced,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return statusFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble: %v", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](d, trouble) }()
	select {
	case err = <-done:
	case <-stopped:
		err = fmt.Errorf("%w: stopped by a signal", errSetup)
	case <-time.After(maxTime):
		err = fmt.Errorf("%w: no end after %v", errSetup, maxTime)
	}
	status := statusFailed
	switch {
	case err == nil:
		status = statusHeld
		rec.add("result: the rule held")
	case errors.Is(err, errBroken):
		status = statusBroken
		rec.add("result: %v", err)
	default:
		rec.add("result: %v", err)
	}
	fmt.Println(os.Args[1], "trouble:", trouble, "status:", status, err)
	return status
}

// await waits until a condition holds.
func await(what string, limit time.Duration, condition func() bool) error {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s not within %v", errSetup, what, limit)
}
