package balancer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func members(t *rapid.T, label string) []registrar.Member {
	weights := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 8).Draw(t, label)
	var all []registrar.Member
	for i, w := range weights {
		if w > 0 {
			all = append(all, registrar.Member{Upstream: registrar.UpstreamID(i + 1), Weight: registrar.Weight(w) * 1000})
		}
	}
	return all
}

// TestTableFromPrevious guards against machines that disagree about a bucket because one of them derived its table from
// the previous one and another computed it afresh.
func TestTableFromPrevious(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := registrar.Generation{Revision: 1, Members: members(t, "old")}
		next := registrar.Generation{Revision: 2, Members: members(t, "next")}
		fresh := balancer.NewTable(7, next, nil)
		derived := balancer.NewTable(7, next, balancer.NewTable(7, old, nil))
		for b := range balancer.Bucket(balancer.BucketCount) {
			require.Equal(t, fresh.Choice(b), derived.Choice(b), "bucket %d", b)
		}
	})
}
