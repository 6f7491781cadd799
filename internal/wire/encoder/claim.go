package encoder

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrClaim means that a claim message has a missing or invalid field.
var ErrClaim = eris.New("malformed claim message")

// CallToMessage translates a call that an agent makes to a claim owner.
func CallToMessage(c claimer.Call) *messenger.ClaimCall {
	return &messenger.ClaimCall{
		Protocol: Protocol, Kind: uint32(c.Kind), Service: string(c.Request.Service), Customer: string(c.Request.Customer),
		Key: c.Request.Key, Deadline: c.Deadline.UnixMilli(), Digest: c.Digest[:], Machine: string(c.Attempt.Machine),
		Incarnation: uint64(c.Attempt.Incarnation), Number: c.Attempt.Number, Answer: answerToMessage(c.Answer),
		WantSets: c.WantSets,
	}
}

// CallFromMessage translates a call that a claim owner received.
func CallFromMessage(m *messenger.ClaimCall) (claimer.Call, error) {
	c := claimer.Call{
		Kind: claimer.CallKind(min(m.GetKind(), 255)),
		Request: claimer.RequestKey{
			Service: registrar.ServiceName(m.GetService()), Customer: registrar.CustomerName(m.GetCustomer()), Key: m.GetKey(),
		},
		Deadline: time.UnixMilli(m.GetDeadline()),
		Attempt: claimer.Attempt{
			Machine: registrar.MachineName(m.GetMachine()), Incarnation: registrar.Incarnation(m.GetIncarnation()),
			Number: m.GetNumber(),
		},
		Answer: answerFromMessage(m.GetAnswer()), WantSets: m.GetWantSets(),
	}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return c, err
	}
	if copy(c.Digest[:], m.GetDigest()) != len(c.Digest) {
		return c, eris.Wrap(ErrClaim, "digest")
	}
	return c, nil
}

// ClaimReplyToMessage translates the reply of a claim owner.
func ClaimReplyToMessage(r claimer.Reply) *messenger.ClaimReply {
	m := &messenger.ClaimReply{Protocol: Protocol, Verdict: uint32(r.Verdict), Answer: answerToMessage(r.Answer)}
	for _, set := range r.Sets {
		ownerSet := &messenger.OwnerSet{}
		for _, p := range set {
			ownerSet.Peers = append(ownerSet.Peers, &messenger.OwnerPeer{Machine: string(p.Machine), Address: p.Address.String()})
		}
		m.Sets = append(m.Sets, ownerSet)
	}
	return m
}

// ClaimReplyFromMessage translates a reply received from a claim owner.
func ClaimReplyFromMessage(m *messenger.ClaimReply) (claimer.Reply, error) {
	r := claimer.Reply{
		Verdict: claimer.Verdict(min(m.GetVerdict(), 255)), Answer: answerFromMessage(m.GetAnswer()),
	}
	for _, ownerSet := range m.GetSets() {
		set := claimer.Set{}
		for _, p := range ownerSet.GetPeers() {
			address, err := netip.ParseAddrPort(p.GetAddress())
			if err != nil {
				return r, eris.Wrap(ErrClaim, "address")
			}
			set = append(set, claimer.Peer{Machine: registrar.MachineName(p.GetMachine()), Address: address})
		}
		r.Sets = append(r.Sets, set)
	}
	if err := CheckProtocol(m.GetProtocol()); err != nil {
		return r, err
	}
	if r.Verdict == claimer.Answered && r.Answer == nil {
		return r, eris.Wrap(ErrClaim, "answer")
	}
	return r, nil
}

func answerToMessage(a *claimer.Answer) *messenger.StoredAnswer {
	if a == nil {
		return nil
	}
	m := &messenger.StoredAnswer{Status: uint32(a.Status), Body: a.Body}
	for name, values := range a.Header {
		f := &messenger.HeaderField{Name: name}
		for _, v := range values {
			f.Values = append(f.Values, []byte(v))
		}
		m.Header = append(m.Header, f)
	}
	return m
}

func answerFromMessage(m *messenger.StoredAnswer) *claimer.Answer {
	if m == nil {
		return nil
	}
	a := &claimer.Answer{Status: int(m.GetStatus()), Header: http.Header{}, Body: m.GetBody()}
	for _, f := range m.GetHeader() {
		for _, v := range f.GetValues() {
			a.Header[f.GetName()] = append(a.Header[f.GetName()], string(v))
		}
	}
	return a
}
