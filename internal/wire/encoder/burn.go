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
		p = appendCounts(p, c.Answered[:])
	}
	return appendMore(p, b)
}

// appendMore appends what machines of earlier versions do not read.
func appendMore(p []byte, b *burner.Batch) []byte {
	p = append(p, flag(b.Resent))
	p = binary.AppendUvarint(p, uint64(len(b.Forwarded)))
	for _, f := range b.Forwarded {
		p = appendText(p, string(f.Service))
		p = binary.AppendUvarint(p, f.Dropped)
		p = appendCounts(p, f.Passed[:])
	}
	return p
}

// appendCounts appends a bit for each count that is not zero, and then these counts.
func appendCounts(p []byte, counts []uint64) []byte {
	mask := uint64(0)
	for i, n := range counts {
		if n > 0 {
			mask |= 1 << i
		}
	}
	p = binary.AppendUvarint(p, mask)
	for _, n := range counts {
		if n > 0 {
			p = binary.AppendUvarint(p, n)
		}
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

func (r *reader) counts(to []uint64) {
	mask := r.number()
	for i := range to {
		if mask&(1<<i) != 0 {
			to[i] = r.number()
		}
	}
}

func (r *reader) more(b *burner.Batch) {
	b.Resent = r.number() != 0
	n := r.number()
	for i := uint64(0); i < n && !r.bad; i++ {
		f := burner.ForwardCounts{Service: registrar.ServiceName(r.text()), Dropped: r.number()}
		r.counts(f.Passed[:])
		b.Forwarded = append(b.Forwarded, f)
	}
}

// AppendBatch appends a batch in the form in which heartbeats carry it.
func AppendBatch(p []byte, b *burner.Batch) []byte { return appendBatch(p, b) }

// ParseBatch reads what AppendBatch has written.
func ParseBatch(p []byte) (*burner.Batch, error) { return parseBatch(p) }

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
		r.counts(c.Answered[:])
		b.Customers = append(b.Customers, c)
	}
	// A batch of an earlier version ends here.
	if len(r.rest) > 0 {
		r.more(b)
	}
	if r.bad {
		return nil, ErrBurn
	}
	return b, nil
}
