// Package spreader runs independent tasks on a bounded number of goroutines.
package spreader

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Spreader bounds how many goroutines take part in one call of Each. It holds no state.
type Spreader int

// HalfOfCores leaves the other half of the processors to the goroutines that forward datagrams.
func HalfOfCores() Spreader { return Spreader(max(1, runtime.GOMAXPROCS(0)/2)) }

// Each calls task with 0 to n-1 and returns when all calls have returned. Calls run at the same time and in any order.
func (s Spreader) Each(n int, task func(i int)) {
	var next atomic.Int64
	work := func() {
		for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
			task(i)
		}
	}
	var wg sync.WaitGroup
	for range min(int(s), n) - 1 {
		wg.Go(work)
	}
	work()
	wg.Wait()
}
