package responder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
)

const activeShards = 16

// activeRequests are the requests in progress, so that those of a customer that is cut off, or in a withdrawn zone, can be
// ended. They do not end with their connection if they are claimed.
type activeRequests struct {
	next   atomic.Uint64
	shards [activeShards]activeShard
}

// requestNumber tells the requests of a process apart.
type requestNumber uint64

type activeShard struct {
	mu       sync.Mutex
	requests map[requestNumber]activeRequest
}

type activeRequest struct {
	from   netip.Addr
	cancel context.CancelFunc
}

// add remembers a request until remove is called.
func (a *activeRequests) add(from netip.Addr, cancel context.CancelFunc) (remove func()) {
	n := requestNumber(a.next.Add(1))
	s := &a.shards[n%activeShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[requestNumber]activeRequest{}
	}
	s.requests[n] = activeRequest{from, cancel}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.requests, n)
	}
}

// cancelIf ends the requests whose caller address matches.
func (a *activeRequests) cancelIf(match func(netip.Addr) bool) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, r := range s.requests {
			if match(r.from) {
				r.cancel()
			}
		}
		s.mu.Unlock()
	}
}
