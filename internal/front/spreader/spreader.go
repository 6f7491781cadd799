// Package spreader runs independent tasks on a bounded number of goroutines.
package spreader

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Spreader runs tasks. Its value is the maximum number of goroutines that one call of Each uses, including the caller's.
type Spreader int

// NewHalfOfCores returns a Spreader of half the processors, which leaves the other half to the goroutines that forward datagrams.
func NewHalfOfCores() Spreader { return Spreader(max(1, runtime.GOMAXPROCS(0)/2)) }

// Each calls task with each number from 0 to n-1 and returns when all calls have returned. The calls run concurrently and in
// any order.
func (s Spreader) Each(n int, task func(i int)) {
	var nextIndex atomic.Int64
	runTasks := func() {
		for i := int(nextIndex.Add(1)) - 1; i < n; i = int(nextIndex.Add(1)) - 1 {
			task(i)
		}
	}
	var wg sync.WaitGroup
	for range min(int(s), n) - 1 {
		wg.Go(runTasks)
	}
	runTasks()
	wg.Wait()
}
