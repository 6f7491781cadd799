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

// Protocol is the version of the messages between machines. A machine accepts its own version, the previous one and the
// next one.
const Protocol = 1

// ErrProtocol means that the peer's protocol version is not supported.
var ErrProtocol = eris.New("unsupported protocol version")

// CheckProtocol returns ErrProtocol if the peer's version differs from Protocol by more than one.
func CheckProtocol(version uint32) error {
	if version+1 < Protocol || version > Protocol+1 {
		return eris.Wrapf(ErrProtocol, "peer has %d, this machine has %d", version, Protocol)
	}
	return nil
}

// HeartbeatToMessage translates a heartbeat that a node sends.
func HeartbeatToMessage(h leaser.Heartbeat) (*messenger.HeartbeatRequest, error) {
	machine, err := json.Marshal(h.Machine)
	if err != nil {
		return nil, eris.Wrap(err, "encode machine")
	}
	m := &messenger.HeartbeatRequest{
		Protocol: Protocol, Machine: machine, Revision: uint64(h.Revision), LeaseExpiredServes: h.ServesWithoutLease,
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
		Revision: registrar.Revision(m.GetRevision()), ServesWithoutLease: m.GetLeaseExpiredServes(), Sequence: m.GetSequence(),
		EvidenceBase: m.GetEvidenceBase(), Digest: m.GetDigest(),
	}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return h, err
	}
	if m.GetProtocol() != Protocol {
		// Objects of another version may have other fields and so another digest. If the digests were compared, every node would
		// get the full state with each heartbeat during an upgrade.
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

// compressThreshold is the minimum size in bytes of updates that are compressed. Compressing smaller updates costs
// more than it saves.
const compressThreshold = 4 << 10

// ReplyEncoder translates replies to heartbeats. It caches the encoding of the newest state and updates, because many nodes get
// the same state and updates: with 7,800 upstreams, encoding a full state takes about 25 ms. The zero value is ready for use.
type ReplyEncoder struct {
	mu sync.Mutex
	// encodedState is the JSON encoding of state. compressedState is its compressed form, or nil until a node needs it.
	state                         *registrar.State
	encodedState, compressedState []byte
	// compressedUpdates is the compressed list of the updates whose revisions are in updatesRange.
	compressedUpdates []byte
	updatesRange      revisionRange
}

// revisionRange holds the revisions of the first and the last update of a list.
type revisionRange struct{ first, last registrar.Revision }

// encodeState returns the state as JSON, compressed if compress is true. If state is the state of the previous call, encodeState
// returns the cached encoding.
func (e *ReplyEncoder) encodeState(state *registrar.State, compress bool) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != state {
		b, err := json.Marshal(state)
		if err != nil {
			return nil, eris.Wrap(err, "encode state")
		}
		e.state, e.encodedState, e.compressedState = state, b, nil
	}
	if !compress {
		return e.encodedState, nil
	}
	if e.compressedState == nil {
		e.compressedState = compressor.Compress(e.encodedState)
	}
	return e.compressedState, nil
}

// addUpdates adds updates to a reply. The updates are compressed if compress is true and their size is at least compressThreshold.
func (e *ReplyEncoder) addUpdates(m *messenger.HeartbeatReply, updates []registrar.Update, compress bool) error {
	if len(updates) == 0 {
		return nil
	}
	revisions := revisionRange{updates[0].Revision, updates[len(updates)-1].Revision}
	if compress {
		if m.PackedUpdates = e.cachedUpdates(revisions); m.PackedUpdates != nil {
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
	if compress && size >= compressThreshold {
		m.PackedUpdates, m.Updates = e.compressUpdates(revisions, m.Updates), nil
	}
	return nil
}

// cachedUpdates returns the compressed updates of a range of revisions, or nil if they are not cached.
func (e *ReplyEncoder) cachedUpdates(revisions revisionRange) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.updatesRange != revisions {
		return nil
	}
	return e.compressedUpdates
}

// compressUpdates returns encoded updates as one compressed list, and caches the list by the range of revisions.
func (e *ReplyEncoder) compressUpdates(revisions revisionRange, encoded [][]byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.updatesRange != revisions {
		list := append(append([]byte{'['}, bytes.Join(encoded, []byte{','})...), ']')
		e.compressedUpdates, e.updatesRange = compressor.Compress(list), revisions
	}
	return e.compressedUpdates
}

// ToMessage translates the reply to a heartbeat. compress is true if the node can read compressed replies. The caller must not
// change r.State after the call, because its encoding is cached.
func (e *ReplyEncoder) ToMessage(r subscriber.Reply, compress bool) (*messenger.HeartbeatReply, error) {
	m := &messenger.HeartbeatReply{
		Protocol: Protocol, Revision: uint64(r.Revision), AgeMicros: uint64(r.Age.Microseconds()), Granted: r.Granted,
		WantEvidence: r.WantEvidence,
	}
	if err := e.addUpdates(m, r.Updates, compress); err != nil || r.State == nil {
		return m, err
	}
	b, err := e.encodeState(r.State, compress)
	if compress {
		m.PackedState = b
	} else {
		m.State = b
	}
	return m, err
}

// ReplyFromMessage translates the reply to a heartbeat that a node received.
func ReplyFromMessage(m *messenger.HeartbeatReply) (subscriber.Reply, error) {
	r := subscriber.Reply{
		Revision: registrar.Revision(m.GetRevision()), Granted: m.GetGranted(), WantEvidence: m.GetWantEvidence(),
		// The age is rounded up, because a smaller age would make the lease longer.
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
		if err := decompressJSON(b, &r.Updates); err != nil {
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
		if err := decompressJSON(b, r.State); err != nil {
			return r, eris.Wrap(err, "decode state")
		}
	}
	return r, nil
}

// decompressJSON decompresses b and decodes it as JSON into v.
func decompressJSON(b []byte, v any) error {
	text, err := compressor.Decompress(b)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}
