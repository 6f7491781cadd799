package encoder

import (
	"bytes"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/store/compressor"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Protocol is the version of the messages between machines. A machine talks to peers of its own and of the previous
// version.
const Protocol = 1

// ErrProtocol means that the peer's protocol version is not supported.
var ErrProtocol = eris.New("unsupported protocol version")

// CheckProtocol returns ErrProtocol unless the peer's version is within one of Protocol.
func CheckProtocol(version uint32) error {
	if version+1 < Protocol || version > Protocol+1 {
		return eris.Wrapf(ErrProtocol, "peer has %d, this machine has %d", version, Protocol)
	}
	return nil
}

// HeartbeatToMessage translates a heartbeat.
func HeartbeatToMessage(h leaser.Heartbeat) (*messenger.HeartbeatRequest, error) {
	machine, err := json.Marshal(h.Machine)
	if err != nil {
		return nil, eris.Wrap(err, "encode machine")
	}
	m := &messenger.HeartbeatRequest{
		Protocol: Protocol, Machine: machine, Revision: uint64(h.Revision), LeaseExpiredServes: h.ServeExpired,
		Sequence: h.Sequence, EvidenceBase: h.EvidenceBase, Digest: h.Digest, ReadsPacked: true,
	}
	if a := h.Announcement; a != nil {
		m.Announcement = &messenger.Announcement{
			Upstream: string(a.Upstream), Service: string(a.Service), Slots: uint32(a.Slots), Weight: uint32(a.Weight),
			OldestFlow: uint64(a.OldestFlow), Draining: a.Draining,
		}
	}
	for _, e := range h.Evidence {
		m.Evidence = append(m.Evidence, &messenger.Evidence{
			Customer: string(e.Customer), Passed: e.Passed, Dropped: e.Dropped, PassedSinceCut: e.PassedSinceCut,
			LiveFlows: e.LiveFlows, LastPassed: e.LastPassedMilli, CutRevision: uint64(e.CutRevision),
		})
	}
	if h.Burn != nil {
		m.Burn = appendBatch(nil, h.Burn)
	}
	return m, nil
}

// HeartbeatFromMessage translates a received heartbeat.
func HeartbeatFromMessage(m *messenger.HeartbeatRequest) (leaser.Heartbeat, error) {
	h := leaser.Heartbeat{
		Revision: registrar.Revision(m.GetRevision()), ServeExpired: m.GetLeaseExpiredServes(), Sequence: m.GetSequence(),
		EvidenceBase: m.GetEvidenceBase(), Digest: m.GetDigest(),
	}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return h, err
	}
	if m.GetProtocol() != Protocol {
		// Objects of another version may have other fields, so digests do not compare. Without this every node would get the
		// full state again and again during an upgrade.
		h.Digest = 0
	}
	if err := json.Unmarshal(m.GetMachine(), &h.Machine); err != nil {
		return h, eris.Wrap(err, "decode machine")
	}
	if a := m.GetAnnouncement(); a != nil {
		h.Announcement = &leaser.Announcement{
			Upstream: registrar.UpstreamName(a.GetUpstream()), Service: registrar.ServiceName(a.GetService()),
			Slots: registrar.Slots(min(a.GetSlots(), math.MaxUint16)), Weight: registrar.Weight(a.GetWeight()),
			OldestFlow: registrar.Revision(a.GetOldestFlow()), Draining: a.GetDraining(),
		}
	}
	for _, e := range m.GetEvidence() {
		h.Evidence = append(h.Evidence, counter.Evidence{
			Customer: registrar.CustomerName(e.GetCustomer()), Passed: e.GetPassed(), Dropped: e.GetDropped(),
			PassedSinceCut: e.GetPassedSinceCut(), LiveFlows: e.GetLiveFlows(), LastPassedMilli: e.GetLastPassed(),
			CutRevision: registrar.Revision(e.GetCutRevision()),
		})
	}
	var err error
	h.Burn, err = parseBatch(m.GetBurn())
	return h, err
}

// packFrom is the size in bytes from which updates are packed. Smaller ones cost more to pack than they save.
const packFrom = 4 << 10

// ReplyEncoder translates replies to heartbeats. It keeps the newest large encodings, because many nodes get the same ones: at
// 7,800 upstreams a full state takes about 25 ms. The zero value is ready for use.
type ReplyEncoder struct {
	mu sync.Mutex
	// encoded and packed are the encodings of state; packed is nil until it is needed.
	state           *registrar.State
	encoded, packed []byte
	// updates is the packed encoding of the updates of a span.
	updates []byte
	span    span
}

// span is what a list of updates leads from and to.
type span struct{ first, last registrar.Revision }

func (e *ReplyEncoder) encodeState(st *registrar.State, pack bool) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != st {
		b, err := json.Marshal(st)
		if err != nil {
			return nil, eris.Wrap(err, "encode state")
		}
		e.state, e.encoded, e.packed = st, b, nil
	}
	if !pack {
		return e.encoded, nil
	}
	if e.packed == nil {
		e.packed = compressor.Compress(e.encoded)
	}
	return e.packed, nil
}

// putUpdates puts updates into a reply, packed if the node reads that and they are large.
func (e *ReplyEncoder) putUpdates(m *messenger.HeartbeatReply, updates []registrar.Update, packed bool) error {
	if len(updates) == 0 {
		return nil
	}
	of := span{updates[0].Revision, updates[len(updates)-1].Revision}
	if packed {
		if m.PackedUpdates = e.keptUpdates(of); m.PackedUpdates != nil {
			return nil
		}
	}
	size := 0
	for _, u := range updates {
		b, err := json.Marshal(u)
		if err != nil {
			return eris.Wrap(err, "encode update")
		}
		m.Updates = append(m.Updates, b)
		size += len(b)
	}
	if packed && size >= packFrom {
		m.PackedUpdates, m.Updates = e.packUpdates(of, m.Updates), nil
	}
	return nil
}

// keptUpdates returns the packed updates of a span if they are kept, or nil.
func (e *ReplyEncoder) keptUpdates(of span) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.span != of {
		return nil
	}
	return e.updates
}

// packUpdates packs encoded updates into one list, and keeps it.
func (e *ReplyEncoder) packUpdates(of span, encoded [][]byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.span != of {
		list := append(append([]byte{'['}, bytes.Join(encoded, []byte{','})...), ']')
		e.updates, e.span = compressor.Compress(list), of
	}
	return e.updates
}

// ToMessage translates the reply to a heartbeat, packed if the node reads that. A full state must not change after it was first
// passed in.
func (e *ReplyEncoder) ToMessage(r subscriber.Reply, packed bool) (*messenger.HeartbeatReply, error) {
	m := &messenger.HeartbeatReply{
		Protocol: Protocol, Revision: uint64(r.Revision), AgeMicros: uint64(r.Age.Microseconds()), Granted: r.Granted,
		WantEvidence: r.WantEvidence,
	}
	if err := e.putUpdates(m, r.Updates, packed); err != nil || r.State == nil {
		return m, err
	}
	b, err := e.encodeState(r.State, packed)
	if packed {
		m.PackedState = b
	} else {
		m.State = b
	}
	return m, err
}

// ReplyFromMessage translates a received reply.
func ReplyFromMessage(m *messenger.HeartbeatReply) (subscriber.Reply, error) {
	r := subscriber.Reply{
		Revision: registrar.Revision(m.GetRevision()), Granted: m.GetGranted(), WantEvidence: m.GetWantEvidence(),
		// Rounded up, so that a lease never gains from the encoding.
		Age: time.Duration(m.GetAgeMicros()+1) * time.Microsecond,
	}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return r, err
	}
	for _, b := range m.GetUpdates() {
		var u registrar.Update
		if err := json.Unmarshal(b, &u); err != nil {
			return r, eris.Wrap(err, "decode update")
		}
		r.Updates = append(r.Updates, u)
	}
	if b := m.GetPackedUpdates(); len(b) > 0 {
		if err := unpack(b, &r.Updates); err != nil {
			return r, eris.Wrap(err, "decode updates")
		}
	}
	if len(m.GetState()) > 0 {
		r.State = &registrar.State{}
		if err := json.Unmarshal(m.GetState(), r.State); err != nil {
			return r, eris.Wrap(err, "decode state")
		}
	}
	if b := m.GetPackedState(); len(b) > 0 {
		r.State = &registrar.State{}
		if err := unpack(b, r.State); err != nil {
			return r, eris.Wrap(err, "decode state")
		}
	}
	return r, nil
}

func unpack(b []byte, v any) error {
	text, err := compressor.Decompress(b)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}
