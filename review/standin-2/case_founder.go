package main

import (
	"fmt"
	"time"
)

// Times of the first start, counted from the start of the first process. The pages let all machines start within 0.3 s of each other.
const (
	lossAfter        = 150 * time.Millisecond
	othersStartAfter = 200 * time.Millisecond
	replacedAfter    = time.Second
	// ordersFor is how long the operator sends its first config.
	ordersFor = 60 * time.Second
)

// founderReplaced starts the whole system for the first time. Its first machine is lost just after its start, and an empty one replaces it at
// another address. The operator sends its first config all the while.
func founderReplaced(d *deployment, trouble bool) error {
	started := time.Now()
	if err := d.startControl(1, true); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Until(started.Add(lossAfter)))
		d.kill("control-1")
	}
	time.Sleep(time.Until(started.Add(othersStartAfter)))
	op := &operator{rec: d.rec}
	for n := 2; n <= 5; n++ {
		if err := d.startControl(n, true); err != nil {
			return err
		}
		op.nodes = append(op.nodes, d.address(n, portControl))
	}
	stableFrom := time.Now().Add(contactTime)
	if trouble {
		time.Sleep(time.Until(started.Add(lossAfter + replacedAfter)))
		if err := d.startControl(7, false); err != nil {
			return err
		}
		op.nodes = append(op.nodes, d.address(7, portControl))
		stableFrom = time.Now().Add(contactTime)
	}
	acked := op.order("/Config.Replace", config(1, []routeConfig{newRoute("stock", stockRoute, "desk")}, []string{"desk"}), ordersFor)
	took := time.Since(stableFrom)
	d.rec.add("config acknowledged: %v, %.1f s after the core was stable", acked, took.Seconds())
	if !acked || took > ackTimeout {
		return fmt.Errorf("%w: Acks: a valid config has no acknowledgement %.1f s after the core was stable", errBroken, took.Seconds())
	}
	return nil
}
