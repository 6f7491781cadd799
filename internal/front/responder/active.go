package responder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
)

// activeShards is the number of shards of activeRequests, each with its own lock.
const activeShards = 16

// activeRequests are the requests in progress. Requests of a customer that is cut off, and all requests in a withdrawn zone, are
// cancelled through this set, because a claimed request continues after its connection has ended.
type activeRequests struct {
	next   atomic.Uint64
	shards [activeShards]activeShard
}

// requestNumber identifies a request within the process.
type requestNumber uint64

type activeShard struct {
	mu       sync.Mutex
	requests map[requestNumber]activeRequest
}

type activeRequest struct {
	callerAddr netip.Addr
	cancel     context.CancelFunc
}

// add registers a request until remove is called.
func (a *activeRequests) add(callerAddr netip.Addr, cancel context.CancelFunc) (remove func()) {
	n := requestNumber(a.next.Add(1))
	s := &a.shards[n%activeShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[requestNumber]activeRequest{}
	}
	s.requests[n] = activeRequest{callerAddr, cancel}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.requests, n)
	}
}

// cancelIf cancels the requests whose caller address matches.
func (a *activeRequests) cancelIf(match func(netip.Addr) bool) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, r := range s.requests {
			if match(r.callerAddr) {
				r.cancel()
			}
		}
		s.mu.Unlock()
	}
}
