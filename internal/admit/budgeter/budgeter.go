// Package budgeter bounds the retries of each customer to a part of the customer's first tries.
package budgeter

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// credits counts thousandths of a retry.
type credits int

const (
	shardCount = 16
	// perTry is what a first try adds: a tenth of a retry.
	perTry credits = 100
	// perRetry is what a retry costs.
	perRetry credits = 1000
	// most bounds the credits that a customer saves up, so that a quiet day does not pay for a burst of retries.
	most = 20 * perRetry
)

type shard struct {
	mu       sync.Mutex
	balances map[registrar.CustomerName]credits
}

// Budgeter holds the retry budgets of one agent. The zero value is ready for use; budgets start empty.
type Budgeter struct {
	shards [shardCount]shard
}

func (b *Budgeter) shard(name registrar.CustomerName) *shard {
	return &b.shards[xxhash.Sum64String(string(name))%shardCount]
}

// FirstTry records the first try of a request.
func (b *Budgeter) FirstTry(name registrar.CustomerName) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balances == nil {
		s.balances = map[registrar.CustomerName]credits{}
	}
	s.balances[name] = min(s.balances[name]+perTry, most)
}

// Retry takes one retry out of the budget. It returns false if the budget does not hold more than one, so that retries
// stay strictly below a tenth of first tries.
func (b *Budgeter) Retry(name registrar.CustomerName) bool {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balances[name] <= perRetry {
		return false
	}
	s.balances[name] -= perRetry
	return true
}
