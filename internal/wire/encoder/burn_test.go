package encoder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestBatch guards against counts that change when they are encoded and decoded, and against a panic on a truncated or altered
// field.
func TestBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := &burner.Batch{
			Number: rapid.Uint64().Draw(t, "number"), Final: rapid.Bool().Draw(t, "final"),
			StartedAt: time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "started")),
		}
		for range rapid.IntRange(0, 3).Draw(t, "customers") {
			c := burner.CustomerCounts{
				Service:  registrar.ServiceName(rapid.String().Draw(t, "service")),
				Customer: registrar.CustomerName(rapid.String().Draw(t, "customer")), Failed: rapid.Uint64().Draw(t, "failed"),
			}
			for i := range c.Answered {
				c.Answered[i] = rapid.Uint64Range(0, 300).Draw(t, "answered")
			}
			batch.Customers = append(batch.Customers, c)
		}
		earlierVersionSize := len(appendBatch(nil, batch)) - len(appendExtension(nil, batch))
		batch.Resent = rapid.Bool().Draw(t, "resent")
		for range rapid.IntRange(0, 3).Draw(t, "services") {
			f := burner.ForwardCounts{Service: registrar.ServiceName(rapid.String().Draw(t, "service")), Dropped: 3}
			for i := range f.Passed {
				f.Passed[i] = rapid.Uint64Range(0, 300).Draw(t, "passed")
			}
			batch.Forwarded = append(batch.Forwarded, f)
		}
		p := appendBatch(nil, batch)
		decoded, err := parseBatch(p)
		require.NoError(t, err)
		require.Equal(t, batch, decoded)
		p = p[:rapid.IntRange(0, len(p)-1).Draw(t, "cut")]
		if len(p) > 1 {
			_, err = parseBatch(p)
			// A field that ends after the customers is valid because earlier versions send it. Any other truncated field is an error.
			require.Equal(t, len(p) == earlierVersionSize, err == nil)
			if err != nil {
				require.ErrorIs(t, err, ErrBurn)
			}
			p[rapid.IntRange(0, len(p)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		_, _ = parseBatch(p)
	})
}

// TestBatchSize guards against batches that use more than a third of the 3 KB/s of control traffic that a node may send.
func TestBatchSize(t *testing.T) {
	batch := &burner.Batch{Number: 1 << 20, StartedAt: time.Now()}
	for range burner.BatchLimit {
		c := burner.CustomerCounts{Service: "a-service-name", Customer: "a-customer-with-a-long-name", Failed: 1000}
		for i := range c.Answered {
			c.Answered[i] = 1000
		}
		batch.Customers = append(batch.Customers, c)
	}
	halfOfCustomers := batch.Customers[:burner.BatchLimit/2]
	for range burner.BatchLimit / 2 {
		f := burner.ForwardCounts{Service: "a-service-name", Dropped: 1000}
		for i := range f.Passed {
			f.Passed[i] = 100_000
		}
		batch.Forwarded = append(batch.Forwarded, f)
	}
	mixed := *batch
	mixed.Customers = halfOfCustomers
	batch.Forwarded = nil
	const limit = 1000 // bytes/s, a third of the 3 KB/s
	require.Less(t, len(appendBatch(nil, batch))/int(burner.BatchInterval/time.Second), limit)
	require.Less(t, len(appendBatch(nil, &mixed))/int(burner.BatchInterval/time.Second), limit)
}
