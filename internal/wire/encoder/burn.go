package encoder

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrBurn means that the burn field of a heartbeat is malformed.
var ErrBurn = eris.New("malformed burn counts")

// burnFormat is the first byte of the burn field. A field of another format is ignored, so that machines of different
// versions can exchange heartbeats.
const burnFormat = 1

// appendBatch appends a batch: all numbers as varints, and of the latency counts only those that are not zero.
func appendBatch(p []byte, b *burner.Batch) []byte {
	p = append(p, burnFormat)
	p = binary.AppendUvarint(p, b.Number)
	p = append(p, flag(b.Final))
	p = binary.AppendUvarint(p, uint64(b.StartedAt.UnixMilli()))
	p = binary.AppendUvarint(p, uint64(len(b.Customers)))
	for _, c := range b.Customers {
		p = appendText(p, string(c.Service))
		p = appendText(p, string(c.Customer))
		p = binary.AppendUvarint(p, c.Failed)
		// A bit for each count that follows.
		mask, at := uint64(0), len(p)
		var counts []byte
		for i, n := range c.Answered {
			if n > 0 {
				mask |= 1 << i
				counts = binary.AppendUvarint(counts, n)
			}
		}
		p = append(binary.AppendUvarint(p[:at], mask), counts...)
	}
	return p
}

func appendText(p []byte, s string) []byte {
	return append(binary.AppendUvarint(p, uint64(len(s))), s...)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// reader takes numbers off a field and remembers whether it was too short.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// parseBatch returns nil for an empty field and for one of another format.
func parseBatch(p []byte) (*burner.Batch, error) {
	if len(p) == 0 || p[0] != burnFormat {
		return nil, nil
	}
	r := &reader{rest: p[1:]}
	b := &burner.Batch{Number: r.number(), Final: r.number() != 0, StartedAt: time.UnixMilli(int64(r.number()))}
	n := r.number()
	for i := uint64(0); i < n && !r.bad; i++ {
		c := burner.CustomerCounts{
			Service: registrar.ServiceName(r.text()), Customer: registrar.CustomerName(r.text()), Failed: r.number(),
		}
		mask := r.number()
		for bucket := range c.Answered {
			if mask&(1<<bucket) != 0 {
				c.Answered[bucket] = r.number()
			}
		}
		b.Customers = append(b.Customers, c)
	}
	if r.bad {
		return nil, ErrBurn
	}
	return b, nil
}
