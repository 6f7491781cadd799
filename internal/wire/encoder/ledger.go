package encoder

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// LedgerFormat is the format version of encoded ledgers. A ledger in another format is rejected, because it may hold a promise
// that this version would ignore. An agent without a valid ledger abstains, as after a crash.
const LedgerFormat = 1

// Errors from decoding ledgers.
var (
	// ErrLedger means that a ledger or a handover has a missing or invalid field.
	ErrLedger = eris.New("malformed claim ledger")
	// ErrLedgerFormat means that a ledger was encoded in a format that this version does not support.
	ErrLedgerFormat = eris.New("unsupported claim ledger format")
)

// LedgerToBytes encodes a ledger.
func LedgerToBytes(l claimer.Ledger) ([]byte, error) {
	m := &messenger.ClaimLedger{Format: LedgerFormat, ForgottenUntil: l.ForgottenUntil.UnixMilli()}
	for _, r := range l.Records {
		m.Records = append(m.Records, &messenger.LedgerRecord{
			Service: string(r.Request.Service), Customer: string(r.Request.Customer), Key: r.Request.Key,
			Deadline: r.Deadline.UnixMilli(), State: uint32(r.State), Digest: r.Digest[:], Machine: string(r.Holder.Machine),
			Incarnation: uint64(r.Holder.Incarnation), Number: r.Holder.Number, Answer: answerToMessage(r.Answer),
		})
	}
	b, err := proto.Marshal(m)
	return b, eris.Wrap(err, "encode claim ledger")
}

// LedgerFromBytes decodes a ledger.
func LedgerFromBytes(b []byte) (claimer.Ledger, error) {
	m := &messenger.ClaimLedger{}
	if err := proto.Unmarshal(b, m); err != nil {
		return claimer.Ledger{}, eris.Wrap(err, "decode claim ledger")
	}
	if m.GetFormat() != LedgerFormat {
		return claimer.Ledger{}, eris.Wrapf(ErrLedgerFormat, "got format %d, want %d", m.GetFormat(), LedgerFormat)
	}
	l := claimer.Ledger{ForgottenUntil: time.UnixMilli(m.GetForgottenUntil())}
	for _, r := range m.GetRecords() {
		record, err := recordFromMessage(r)
		if err != nil {
			return claimer.Ledger{}, err
		}
		l.Records = append(l.Records, record)
	}
	return l, nil
}

func recordFromMessage(m *messenger.LedgerRecord) (claimer.Record, error) {
	r := claimer.Record{
		Request: claimer.RequestKey{
			Service: registrar.ServiceName(m.GetService()), Customer: registrar.CustomerName(m.GetCustomer()), Key: m.GetKey(),
		},
		State:    claimer.Verdict(min(m.GetState(), 255)),
		Deadline: time.UnixMilli(m.GetDeadline()),
		Holder: claimer.Attempt{
			Machine: registrar.MachineName(m.GetMachine()), Incarnation: registrar.Incarnation(m.GetIncarnation()),
			Number: m.GetNumber(),
		},
		Answer: answerFromMessage(m.GetAnswer()),
	}
	if copy(r.Digest[:], m.GetDigest()) != len(r.Digest) {
		return r, eris.Wrap(ErrLedger, "digest")
	}
	switch r.State {
	case claimer.Granted, claimer.Voided, claimer.Unanswered:
		return r, nil
	case claimer.Answered:
		if r.Answer != nil {
			return r, nil
		}
	}
	return r, eris.Wrap(ErrLedger, "state")
}

// HandoverToMessage translates a handover.
func HandoverToMessage(o claimer.Handover) *messenger.LedgerHandover {
	return &messenger.LedgerHandover{
		Protocol: Protocol, Service: string(o.Service), Machine: string(o.Machine), Incarnation: uint64(o.Incarnation),
		SealedAt: o.SealedAt.UnixMilli(), Ledger: o.Ledger,
	}
}

// HandoverFromMessage translates a received handover.
func HandoverFromMessage(m *messenger.LedgerHandover) (claimer.Handover, error) {
	o := claimer.Handover{
		Service: registrar.ServiceName(m.GetService()), Machine: registrar.MachineName(m.GetMachine()),
		Incarnation: registrar.Incarnation(m.GetIncarnation()), SealedAt: time.UnixMilli(m.GetSealedAt()), Ledger: m.GetLedger(),
	}
	return o, CheckProtocol(m.GetProtocol())
}

// FetchToMessage translates a request for the ledger of a claim owner.
func FetchToMessage(f claimer.Fetch) *messenger.FetchRequest {
	return &messenger.FetchRequest{
		Protocol: Protocol, Service: string(f.Service), Machine: string(f.Machine), Incarnation: uint64(f.Incarnation),
		StartedAt: f.StartedAt.UnixMilli(),
	}
}

// FetchFromMessage translates a received request for a ledger.
func FetchFromMessage(m *messenger.FetchRequest) (claimer.Fetch, error) {
	f := claimer.Fetch{
		Service: registrar.ServiceName(m.GetService()), Machine: registrar.MachineName(m.GetMachine()),
		Incarnation: registrar.Incarnation(m.GetIncarnation()), StartedAt: time.UnixMilli(m.GetStartedAt()),
	}
	return f, CheckProtocol(m.GetProtocol())
}

// FetchedToMessage translates the reply to a request for a ledger.
func FetchedToMessage(f claimer.Fetched) *messenger.FetchReply {
	m := &messenger.FetchReply{Protocol: Protocol, Verdict: uint32(f.Verdict)}
	if f.Handover != nil {
		m.Handover = HandoverToMessage(*f.Handover)
	}
	if f.History == nil {
		return m
	}
	m.History = &messenger.OwnerHistory{KnownAt: f.History.KnownAt.UnixMilli()}
	for _, e := range f.History.Epochs {
		epoch := &messenger.OwnerEpoch{}
		if !e.EndedAt.IsZero() {
			epoch.EndedAt = e.EndedAt.UnixMilli()
		}
		for _, c := range e.Candidates {
			epoch.Candidates = append(epoch.Candidates, &messenger.OwnerCandidate{
				Peer: &messenger.OwnerPeer{Machine: string(c.Machine), Address: c.Address.String()},
				Zone: string(c.Zone), Active: c.Active,
			})
		}
		m.History.Epochs = append(m.History.Epochs, epoch)
	}
	return m
}

// FetchedFromMessage translates a received reply. If the ledger or the history cannot be decoded, it returns an error together
// with the parts that it has decoded, which are valid unless the verdict is claimer.FetchRefused.
func FetchedFromMessage(m *messenger.FetchReply) (claimer.Fetched, error) {
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return claimer.Fetched{}, err
	}
	f := claimer.Fetched{Verdict: claimer.FetchVerdict(min(m.GetVerdict(), 255))}
	if f.Verdict != claimer.FetchGiven {
		return f, nil
	}
	o, err := HandoverFromMessage(m.GetHandover())
	if err != nil {
		return f, err
	}
	l, err := LedgerFromBytes(o.Ledger)
	if err != nil {
		return f, err
	}
	f.Handover, f.Ledger = &o, &l
	f.History, err = historyFromMessage(m.GetHistory())
	return f, err
}

func historyFromMessage(m *messenger.OwnerHistory) (*claimer.History, error) {
	if m == nil {
		return nil, nil
	}
	h := &claimer.History{KnownAt: time.UnixMilli(m.GetKnownAt())}
	for _, e := range m.GetEpochs() {
		epoch := claimer.Epoch{}
		if e.GetEndedAt() != 0 {
			epoch.EndedAt = time.UnixMilli(e.GetEndedAt())
		}
		for _, c := range e.GetCandidates() {
			address, err := netip.ParseAddrPort(c.GetPeer().GetAddress())
			if err != nil {
				return nil, eris.Wrap(ErrLedger, "address")
			}
			epoch.Candidates = append(epoch.Candidates, claimer.Candidate{
				Peer: claimer.Peer{Machine: registrar.MachineName(c.GetPeer().GetMachine()), Address: address},
				Zone: registrar.ZoneName(c.GetZone()), Active: c.GetActive(),
			})
		}
		h.Epochs = append(h.Epochs, epoch)
	}
	return h, nil
}
