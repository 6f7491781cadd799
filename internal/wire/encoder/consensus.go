package encoder

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrMessage means that a message has no known content.
var ErrMessage = eris.New("unknown consensus message")

// ConsensusToMessage translates a message between control instances.
func ConsensusToMessage(m replicator.Message) (*messenger.ConsensusMessage, error) {
	out := &messenger.ConsensusMessage{From: uint64(m.From), To: uint64(m.To), Term: uint64(m.Term)}
	switch b := m.Body.(type) {
	case replicator.VoteRequest:
		out.Body = &messenger.ConsensusMessage_VoteRequest{VoteRequest: &messenger.VoteRequest{
			Term: uint64(b.Term), Last: position(b.Last), Pre: b.Pre,
		}}
	case replicator.VoteAnswer:
		out.Body = &messenger.ConsensusMessage_VoteAnswer{VoteAnswer: &messenger.VoteAnswer{
			Term: uint64(b.Term), Granted: b.Granted, Pre: b.Pre,
		}}
	case replicator.Append:
		a, err := appendToMessage(b)
		out.Body = &messenger.ConsensusMessage_Append{Append: a}
		return out, err
	case replicator.AppendAnswer:
		out.Body = &messenger.ConsensusMessage_AppendAnswer{AppendAnswer: &messenger.LogAppendAnswer{
			Match: uint64(b.Match), Rejected: b.Rejected, Prev: uint64(b.Prev),
			SentAt: reading(b.SentAt), ReadAt: reading(b.ReadAt),
		}}
	case replicator.SnapshotChunk:
		c, err := chunkToMessage(b)
		out.Body = &messenger.ConsensusMessage_Chunk{Chunk: c}
		return out, err
	case replicator.ChunkAnswer:
		out.Body = &messenger.ConsensusMessage_ChunkAnswer{ChunkAnswer: &messenger.SnapshotChunkAnswer{
			Position: position(b.Position), Received: uint64(b.Received), SentAt: reading(b.SentAt),
		}}
	case replicator.Join:
		out.Body = &messenger.ConsensusMessage_Join{Join: joinToMessage(b)}
	case replicator.Probe:
		out.Body = &messenger.ConsensusMessage_Probe{Probe: &messenger.ProbeRequest{Unsafe: b.Unsafe}}
	case replicator.ProbeAnswer:
		out.Body = &messenger.ConsensusMessage_ProbeAnswer{ProbeAnswer: &messenger.ProbeAnswer{
			Empty: b.Empty, Unwritten: b.Unwritten, Volatile: b.Volatile,
		}}
	default:
		return nil, ErrMessage
	}
	return out, nil
}

// ConsensusFromMessage translates a received message between control instances.
func ConsensusFromMessage(m *messenger.ConsensusMessage) (replicator.Message, error) {
	out := replicator.Message{
		From: replicator.MemberID(m.GetFrom()), To: replicator.MemberID(m.GetTo()), Term: replicator.Term(m.GetTerm()),
	}
	var err error
	switch b := m.GetBody().(type) {
	case *messenger.ConsensusMessage_VoteRequest:
		out.Body = replicator.VoteRequest{Request: elector.Request{
			From: out.From, Term: elector.Term(b.VoteRequest.GetTerm()), Last: positionFrom(b.VoteRequest.GetLast()),
			Pre: b.VoteRequest.GetPre(),
		}}
	case *messenger.ConsensusMessage_VoteAnswer:
		out.Body = replicator.VoteAnswer{Answer: elector.Answer{
			From: out.From, Term: elector.Term(b.VoteAnswer.GetTerm()), Granted: b.VoteAnswer.GetGranted(),
			Pre: b.VoteAnswer.GetPre(),
		}}
	case *messenger.ConsensusMessage_Append:
		out.Body, err = appendFromMessage(b.Append)
	case *messenger.ConsensusMessage_AppendAnswer:
		a := b.AppendAnswer
		out.Body = replicator.AppendAnswer{
			Match: replicator.Index(a.GetMatch()), Rejected: a.GetRejected(), Prev: replicator.Index(a.GetPrev()),
			SentAt: readingFrom(a.GetSentAt()), ReadAt: readingFrom(a.GetReadAt()),
		}
	case *messenger.ConsensusMessage_Chunk:
		out.Body, err = chunkFromMessage(b.Chunk)
	case *messenger.ConsensusMessage_ChunkAnswer:
		out.Body = replicator.ChunkAnswer{
			Position: positionFrom(b.ChunkAnswer.GetPosition()), Received: size(b.ChunkAnswer.GetReceived()),
			SentAt: readingFrom(b.ChunkAnswer.GetSentAt()),
		}
	case *messenger.ConsensusMessage_Join:
		out.Body, err = joinFromMessage(b.Join)
	case *messenger.ConsensusMessage_Probe:
		out.Body = replicator.Probe{Unsafe: b.Probe.GetUnsafe()}
	case *messenger.ConsensusMessage_ProbeAnswer:
		out.Body = replicator.ProbeAnswer{
			Empty: b.ProbeAnswer.GetEmpty(), Unwritten: b.ProbeAnswer.GetUnwritten(), Volatile: b.ProbeAnswer.GetVolatile(),
		}
	default:
		err = ErrMessage
	}
	return out, err
}

func joinToMessage(j replicator.Join) *messenger.JoinRequest {
	if j.Relayed == nil {
		return &messenger.JoinRequest{Volatile: j.Volatile}
	}
	return &messenger.JoinRequest{
		Name: string(j.Relayed.Name), Member: uint64(j.Relayed.ID), Address: j.Relayed.Address.String(),
		Volatile: j.Relayed.Volatile,
	}
}

func joinFromMessage(j *messenger.JoinRequest) (replicator.Join, error) {
	if j.GetMember() == 0 {
		return replicator.Join{Volatile: j.GetVolatile()}, nil
	}
	address, err := netip.ParseAddrPort(j.GetAddress())
	if err != nil {
		return replicator.Join{}, eris.Wrapf(ErrMessage, "address %q of a newcomer", j.GetAddress())
	}
	return replicator.Join{Relayed: &replicator.Member{
		ID: replicator.MemberID(j.GetMember()), Name: registrar.MachineName(j.GetName()), Address: address,
		Volatile: j.GetVolatile(),
	}}, nil
}

func appendToMessage(a replicator.Append) (*messenger.LogAppend, error) {
	out := &messenger.LogAppend{
		Prev: position(a.Prev), Commit: uint64(a.Commit), SentAt: reading(a.SentAt), Echo: reading(a.Echo),
	}
	for _, e := range a.Entries {
		m, err := membersToMessage(e.Members)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, &messenger.LogEntry{Position: position(e.Position), Command: e.Command, Members: m})
	}
	return out, nil
}

func appendFromMessage(a *messenger.LogAppend) (replicator.Append, error) {
	out := replicator.Append{
		Prev: positionFrom(a.GetPrev()), Commit: replicator.Index(a.GetCommit()), SentAt: readingFrom(a.GetSentAt()),
		Echo: readingFrom(a.GetEcho()),
	}
	for i, e := range a.GetEntries() {
		m, err := membersFromMessage(e.GetMembers())
		if err != nil {
			return out, err
		}
		at := positionFrom(e.GetPosition())
		if at.Index != out.Prev.Index+replicator.Index(i)+1 {
			return out, eris.Wrapf(ErrMessage, "entry %d after %d", at.Index, out.Prev.Index)
		}
		out.Entries = append(out.Entries, replicator.Entry{Position: at, Command: e.GetCommand(), Members: m})
	}
	return out, nil
}

func chunkToMessage(c replicator.SnapshotChunk) (*messenger.SnapshotChunk, error) {
	m, err := membersToMessage(c.Members)
	return &messenger.SnapshotChunk{
		Position: position(c.Position), Members: m, Offset: uint64(c.Offset), Total: uint64(c.Total), Data: c.Data,
		SentAt: reading(c.SentAt),
	}, err
}

func chunkFromMessage(c *messenger.SnapshotChunk) (replicator.SnapshotChunk, error) {
	m, err := membersFromMessage(c.GetMembers())
	return replicator.SnapshotChunk{
		Position: positionFrom(c.GetPosition()), Members: m, Offset: size(c.GetOffset()), Total: size(c.GetTotal()),
		Data: c.GetData(), SentAt: readingFrom(c.GetSentAt()),
	}, err
}

func membersToMessage(m replicator.Members) ([]byte, error) {
	if m == nil {
		return nil, nil
	}
	b, err := json.Marshal(m)
	return b, eris.Wrap(err, "encode members")
}

func membersFromMessage(b []byte) (m replicator.Members, err error) {
	if len(b) == 0 {
		return nil, nil
	}
	return m, eris.Wrap(json.Unmarshal(b, &m), "decode members")
}

func position(p replicator.Position) *messenger.LogPosition {
	return &messenger.LogPosition{Index: uint64(p.Index), Term: uint64(p.Term)}
}

func positionFrom(p *messenger.LogPosition) replicator.Position {
	return replicator.Position{Index: replicator.Index(p.GetIndex()), Term: replicator.Term(p.GetTerm())}
}

func reading(r replicator.Reading) *messenger.ClockReading {
	return &messenger.ClockReading{Session: r.Session, AtNanos: int64(r.At)}
}

func readingFrom(r *messenger.ClockReading) replicator.Reading {
	return replicator.Reading{Session: r.GetSession(), At: time.Duration(r.GetAtNanos())}
}

// size bounds a received number of bytes.
func size(n uint64) int { return int(min(n, math.MaxInt32)) }
