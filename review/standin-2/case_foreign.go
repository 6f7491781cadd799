package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignCheckIn lets a check-in of another writer, in which fields are missing, reach the agent of a server. Then the server drains.
func foreignCheckIn(d *deployment, trouble bool) error {
	servers, q, err := d.startSmall()
	if err != nil {
		return err
	}
	s := servers[0]
	stop := make(chan struct{})
	done := make(chan map[flowKey]time.Time, 1)
	go func() { done <- q.load(40, stop) }()
	time.Sleep(3 * time.Second)
	if trouble {
		// The fields zone, version and cold_remaining_ms are missing. The writer numbers its calls by the time of day.
		path, body := "/Instances.Heartbeat/"+s.id, fmt.Sprintf(`{"service":%q,"address":%q,"concurrency":2,"state":"ready","sequence":%d,"born":%d}`,
			s.service, s.app, time.Now().UnixMilli(), s.born)
		d.rec.add("check-in of another writer %s %s: status %d", path, body, post(s.control, path, body))
	}
	time.Sleep(2 * time.Second)
	s.setState("draining")
	path, body, _ := s.checkInCall()
	status := post(s.control, path, body)
	ackedAt := time.Now()
	d.rec.add("check-in %s %s: status %d", path, body, status)
	if status != http.StatusOK {
		return fmt.Errorf("%w: draining is not acknowledged", errSetup)
	}
	time.Sleep(drainTime + 5*time.Second)
	close(stop)
	sent := <-done
	late := 0
	for _, r := range s.allRuns() {
		if _, found := sent[r.flow]; found && r.openingAt.After(ackedAt.Add(drainTime)) {
			late++
		}
	}
	d.rec.add("%d requests reached the server later than %v after the acknowledgement", late, drainTime)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached %s later than %v after its draining was acknowledged", errBroken, late, s.id, drainTime)
	}
	return nil
}
