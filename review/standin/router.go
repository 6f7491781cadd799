package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// router selects the entry for each packet of a requester, as the provider's routers do: by a steady hash over the entries of the
// zone that are in rotation.
type router struct {
	sys     *system
	mu      sync.Mutex
	entries []*routed
}

// routed is an entry with the state of its readiness.
type routed struct {
	name, zone string
	machine    int
	misses     int
	inRotation bool
}

func newRouter(sys *system) *router { return &router{sys: sys} }

// add adds an entry and probes it twice a second.
func (r *router) add(name string, n int, zone string) {
	e := &routed{name: name, zone: zone, machine: n}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	go r.probe(e)
}

func (r *router) probe(e *routed) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		answer, err := client.Get("http://" + r.sys.address(e.machine, readyPort) + "/ready")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		r.mu.Lock()
		before := e.inRotation
		switch {
		case ready:
			e.misses, e.inRotation = 0, true
		default:
			e.misses++
			e.inRotation = e.inRotation && e.misses < 2
		}
		if before != e.inRotation {
			r.sys.rec.add("router: %s in rotation: %v", e.name, e.inRotation)
		}
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// ready returns the number of entries in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.inRotation {
			n++
		}
	}
	return n
}

// route returns the address of the entry for a flow of a requester in a zone.
func (r *router) route(key flowKey, zone string) (name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, inRotation []*routed
	for _, e := range r.entries {
		if e.zone == zone {
			all = append(all, e)
			if e.inRotation {
				inRotation = append(inRotation, e)
			}
		}
	}
	if 2*len(inRotation) >= len(all) {
		all = inRotation
	}
	var best *routed
	var bestScore uint64
	for _, e := range all {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, key.requester, key.service, e.name)
		score := h.Sum64() * 0x9e3779b97f4a7c15
		score ^= score >> 29
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return "", ""
	}
	return best.name, r.sys.address(best.machine, datagramPort)
}
