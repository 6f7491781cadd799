// Package budgeter implements retry budgets: it bounds the retries of each customer to a tenth of the customer's first tries.
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
	// creditsPerFirstTry is the credit that a first try adds: a tenth of a retry.
	creditsPerFirstTry credits = 100
	// creditsPerRetry is the cost of a retry.
	creditsPerRetry credits = 1000
	// maxBalance bounds the credits that a customer accumulates, so that a long time without failures does not allow a burst of
	// retries.
	maxBalance = 20 * creditsPerRetry
)

type shard struct {
	mu       sync.Mutex
	balances map[registrar.CustomerName]credits
}

// Budgeter holds the retry budgets of one agent. The zero value is ready for use; all budgets start empty.
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
	s.balances[name] = min(s.balances[name]+creditsPerFirstTry, maxBalance)
}

// Retry spends the credits of one retry. It returns false if the budget holds no more than one retry, so that retries stay
// strictly below a tenth of first tries.
func (b *Budgeter) Retry(name registrar.CustomerName) bool {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balances[name] <= creditsPerRetry {
		return false
	}
	s.balances[name] -= creditsPerRetry
	return true
}
