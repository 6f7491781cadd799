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

// burnFormat is the version of the burn field and its first byte. Receivers ignore a field with another first byte, so that
// machines of different versions can exchange heartbeats.
const burnFormat = 1

// appendBatch appends a batch. Numbers are encoded as varints, and latency counts that are zero are left out.
func appendBatch(p []byte, batch *burner.Batch) []byte {
	p = append(p, burnFormat)
	p = binary.AppendUvarint(p, batch.Number)
	p = append(p, boolByte(batch.Final))
	p = binary.AppendUvarint(p, uint64(batch.StartedAt.UnixMilli()))
	p = binary.AppendUvarint(p, uint64(len(batch.Customers)))
	for _, c := range batch.Customers {
		p = appendString(p, string(c.Service))
		p = appendString(p, string(c.Customer))
		p = binary.AppendUvarint(p, c.Failed)
		p = appendCounts(p, c.Answered[:])
	}
	return appendExtension(p, batch)
}

// appendExtension appends the fields that were added after the first version. Machines of that version neither send nor read them.
func appendExtension(p []byte, batch *burner.Batch) []byte {
	p = append(p, boolByte(batch.Resent))
	p = binary.AppendUvarint(p, uint64(len(batch.Forwarded)))
	for _, f := range batch.Forwarded {
		p = appendString(p, string(f.Service))
		p = binary.AppendUvarint(p, f.Dropped)
		p = appendCounts(p, f.Passed[:])
	}
	return p
}

// appendCounts appends a bit mask of the counts that are not zero, followed by these counts.
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

// appendString appends the length of s as a varint, followed by s.
func appendString(p []byte, s string) []byte {
	return append(binary.AppendUvarint(p, uint64(len(s))), s...)
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// fieldReader decodes a burn field from its start. After an error it returns only zero values.
type fieldReader struct {
	remaining []byte
	// malformed is true if the field was too short or held an invalid varint.
	malformed bool
}

func (r *fieldReader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.malformed, r.remaining = true, nil
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

func (r *fieldReader) readString() string {
	n := r.readUvarint()
	if n > uint64(len(r.remaining)) {
		r.malformed, r.remaining = true, nil
		return ""
	}
	s := string(r.remaining[:n])
	r.remaining = r.remaining[n:]
	return s
}

// readCounts decodes counts that appendCounts has encoded.
func (r *fieldReader) readCounts(dst []uint64) {
	mask := r.readUvarint()
	for i := range dst {
		if mask&(1<<i) != 0 {
			dst[i] = r.readUvarint()
		}
	}
}

// readExtension decodes the fields that appendExtension encodes.
func (r *fieldReader) readExtension(batch *burner.Batch) {
	batch.Resent = r.readUvarint() != 0
	n := r.readUvarint()
	for i := uint64(0); i < n && !r.malformed; i++ {
		f := burner.ForwardCounts{Service: registrar.ServiceName(r.readString()), Dropped: r.readUvarint()}
		r.readCounts(f.Passed[:])
		batch.Forwarded = append(batch.Forwarded, f)
	}
}

// AppendBatch appends a batch in the format of the burn field of a heartbeat.
func AppendBatch(p []byte, batch *burner.Batch) []byte { return appendBatch(p, batch) }

// ParseBatch decodes a batch that AppendBatch has encoded. It returns nil if the field is empty or does not start with burnFormat.
func ParseBatch(p []byte) (*burner.Batch, error) { return parseBatch(p) }

// parseBatch decodes a burn field. It returns nil if the field is empty or does not start with burnFormat.
func parseBatch(p []byte) (*burner.Batch, error) {
	if len(p) == 0 || p[0] != burnFormat {
		return nil, nil
	}
	r := &fieldReader{remaining: p[1:]}
	batch := &burner.Batch{Number: r.readUvarint(), Final: r.readUvarint() != 0, StartedAt: time.UnixMilli(int64(r.readUvarint()))}
	n := r.readUvarint()
	for i := uint64(0); i < n && !r.malformed; i++ {
		c := burner.CustomerCounts{
			Service: registrar.ServiceName(r.readString()), Customer: registrar.CustomerName(r.readString()), Failed: r.readUvarint(),
		}
		r.readCounts(c.Answered[:])
		batch.Customers = append(batch.Customers, c)
	}
	// The field from a machine of an earlier version has no extension.
	if len(r.remaining) > 0 {
		r.readExtension(batch)
	}
	if r.malformed {
		return nil, ErrBurn
	}
	return batch, nil
}
