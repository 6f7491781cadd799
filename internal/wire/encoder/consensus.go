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

// ErrMessage means that a consensus message is of an unknown type or has an invalid field.
var ErrMessage = eris.New("unknown or malformed consensus message")

// ConsensusToMessage translates a message between control instances.
func ConsensusToMessage(m replicator.Message) (*messenger.ConsensusMessage, error) {
	out := &messenger.ConsensusMessage{From: uint64(m.From), To: uint64(m.To), Term: uint64(m.Term)}
	switch body := m.Body.(type) {
	case replicator.VoteRequest:
		out.Body = &messenger.ConsensusMessage_VoteRequest{VoteRequest: &messenger.VoteRequest{
			Term: uint64(body.Term), Last: positionToMessage(body.Last), Pre: body.PreVote,
			Restarted: convertRestarted[uint64, uint64](body.Restarted),
		}}
	case replicator.VoteAnswer:
		out.Body = &messenger.ConsensusMessage_VoteAnswer{VoteAnswer: &messenger.VoteAnswer{
			Term: uint64(body.Term), Granted: body.Granted, Pre: body.PreVote, Incarnation: uint64(body.Incarnation),
		}}
	case replicator.Append:
		a, err := appendToMessage(body)
		out.Body = &messenger.ConsensusMessage_Append{Append: a}
		return out, err
	case replicator.AppendAnswer:
		out.Body = &messenger.ConsensusMessage_AppendAnswer{AppendAnswer: &messenger.LogAppendAnswer{
			Match: uint64(body.Match), Rejected: body.Rejected, Prev: uint64(body.Prev),
			SentAt: readingToMessage(body.SentAt), ReadAt: readingToMessage(body.ReadAt),
		}}
	case replicator.SnapshotChunk:
		c, err := chunkToMessage(body)
		out.Body = &messenger.ConsensusMessage_Chunk{Chunk: c}
		return out, err
	case replicator.ChunkAnswer:
		out.Body = &messenger.ConsensusMessage_ChunkAnswer{ChunkAnswer: &messenger.SnapshotChunkAnswer{
			Position: positionToMessage(body.Position), Received: uint64(body.Received), SentAt: readingToMessage(body.SentAt),
		}}
	case replicator.Join:
		out.Body = &messenger.ConsensusMessage_Join{Join: joinToMessage(body)}
	case replicator.Probe:
		out.Body = &messenger.ConsensusMessage_Probe{Probe: &messenger.ProbeRequest{Unsafe: body.Unsafe}}
	case replicator.ProbeAnswer:
		out.Body = &messenger.ConsensusMessage_ProbeAnswer{ProbeAnswer: &messenger.ProbeAnswer{
			Empty: body.Empty, Unwritten: body.Unwritten, Volatile: body.Volatile,
		}}
	default:
		return nil, ErrMessage
	}
	return out, nil
}

// convertRestarted converts the incarnations of restarted members between their types in messages and in the elector. It returns nil
// for none.
func convertRestarted[K2, V2, K1, V1 ~uint64](restarted map[K1]V1) map[K2]V2 {
	if len(restarted) == 0 {
		return nil
	}
	out := make(map[K2]V2, len(restarted))
	for k, v := range restarted {
		out[K2(k)] = V2(v)
	}
	return out
}

// ConsensusFromMessage translates a received message between control instances.
func ConsensusFromMessage(m *messenger.ConsensusMessage) (replicator.Message, error) {
	out := replicator.Message{
		From: replicator.MemberID(m.GetFrom()), To: replicator.MemberID(m.GetTo()), Term: replicator.Term(m.GetTerm()),
	}
	var err error
	switch body := m.GetBody().(type) {
	case *messenger.ConsensusMessage_VoteRequest:
		out.Body = replicator.VoteRequest{Request: elector.Request{
			From: out.From, Term: elector.Term(body.VoteRequest.GetTerm()), Last: positionFromMessage(body.VoteRequest.GetLast()),
			PreVote:   body.VoteRequest.GetPre(),
			Restarted: convertRestarted[elector.MemberID, elector.Incarnation](body.VoteRequest.GetRestarted()),
		}}
	case *messenger.ConsensusMessage_VoteAnswer:
		out.Body = replicator.VoteAnswer{Answer: elector.Answer{
			From: out.From, Term: elector.Term(body.VoteAnswer.GetTerm()), Granted: body.VoteAnswer.GetGranted(),
			PreVote: body.VoteAnswer.GetPre(), Incarnation: elector.Incarnation(body.VoteAnswer.GetIncarnation()),
		}}
	case *messenger.ConsensusMessage_Append:
		out.Body, err = appendFromMessage(body.Append)
	case *messenger.ConsensusMessage_AppendAnswer:
		a := body.AppendAnswer
		out.Body = replicator.AppendAnswer{
			Match: replicator.Index(a.GetMatch()), Rejected: a.GetRejected(), Prev: replicator.Index(a.GetPrev()),
			SentAt: readingFromMessage(a.GetSentAt()), ReadAt: readingFromMessage(a.GetReadAt()),
		}
	case *messenger.ConsensusMessage_Chunk:
		out.Body, err = chunkFromMessage(body.Chunk)
	case *messenger.ConsensusMessage_ChunkAnswer:
		out.Body = replicator.ChunkAnswer{
			Position: positionFromMessage(body.ChunkAnswer.GetPosition()), Received: clampSize(body.ChunkAnswer.GetReceived()),
			SentAt: readingFromMessage(body.ChunkAnswer.GetSentAt()),
		}
	case *messenger.ConsensusMessage_Join:
		out.Body, err = joinFromMessage(body.Join)
	case *messenger.ConsensusMessage_Probe:
		out.Body = replicator.Probe{Unsafe: body.Probe.GetUnsafe()}
	case *messenger.ConsensusMessage_ProbeAnswer:
		out.Body = replicator.ProbeAnswer{
			Empty: body.ProbeAnswer.GetEmpty(), Unwritten: body.ProbeAnswer.GetUnwritten(), Volatile: body.ProbeAnswer.GetVolatile(),
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
		return replicator.Join{}, eris.Wrapf(ErrMessage, "address %q of a joining instance", j.GetAddress())
	}
	return replicator.Join{Relayed: &replicator.Member{
		ID: replicator.MemberID(j.GetMember()), Name: registrar.MachineName(j.GetName()), Address: address,
		Volatile: j.GetVolatile(),
	}}, nil
}

func appendToMessage(a replicator.Append) (*messenger.LogAppend, error) {
	out := &messenger.LogAppend{
		Prev: positionToMessage(a.Prev), Commit: uint64(a.Commit), SentAt: readingToMessage(a.SentAt),
		Echo: readingToMessage(a.Echo),
	}
	for _, e := range a.Entries {
		members, err := membersToMessage(e.Members)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, &messenger.LogEntry{
			Position: positionToMessage(e.Position), Command: e.Command, Members: members,
		})
	}
	return out, nil
}

func appendFromMessage(a *messenger.LogAppend) (replicator.Append, error) {
	out := replicator.Append{
		Prev: positionFromMessage(a.GetPrev()), Commit: replicator.Index(a.GetCommit()), SentAt: readingFromMessage(a.GetSentAt()),
		Echo: readingFromMessage(a.GetEcho()),
	}
	for i, e := range a.GetEntries() {
		members, err := membersFromMessage(e.GetMembers())
		if err != nil {
			return out, err
		}
		position := positionFromMessage(e.GetPosition())
		if position.Index != out.Prev.Index+replicator.Index(i)+1 {
			return out, eris.Wrapf(ErrMessage, "entry %d in an append after entry %d", position.Index, out.Prev.Index)
		}
		out.Entries = append(out.Entries, replicator.Entry{Position: position, Command: e.GetCommand(), Members: members})
	}
	return out, nil
}

func chunkToMessage(c replicator.SnapshotChunk) (*messenger.SnapshotChunk, error) {
	members, err := membersToMessage(c.Members)
	return &messenger.SnapshotChunk{
		Position: positionToMessage(c.Position), Members: members, Offset: uint64(c.Offset), Total: uint64(c.Total), Data: c.Data,
		SentAt: readingToMessage(c.SentAt),
	}, err
}

func chunkFromMessage(c *messenger.SnapshotChunk) (replicator.SnapshotChunk, error) {
	members, err := membersFromMessage(c.GetMembers())
	return replicator.SnapshotChunk{
		Position: positionFromMessage(c.GetPosition()), Members: members, Offset: clampSize(c.GetOffset()),
		Total: clampSize(c.GetTotal()), Data: c.GetData(), SentAt: readingFromMessage(c.GetSentAt()),
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

func positionToMessage(p replicator.Position) *messenger.LogPosition {
	return &messenger.LogPosition{Index: uint64(p.Index), Term: uint64(p.Term)}
}

func positionFromMessage(p *messenger.LogPosition) replicator.Position {
	return replicator.Position{Index: replicator.Index(p.GetIndex()), Term: replicator.Term(p.GetTerm())}
}

func readingToMessage(r replicator.ClockReading) *messenger.ClockReading {
	return &messenger.ClockReading{Session: r.Session, AtNanos: int64(r.At)}
}

func readingFromMessage(r *messenger.ClockReading) replicator.ClockReading {
	return replicator.ClockReading{Session: r.GetSession(), At: time.Duration(r.GetAtNanos())}
}

// clampSize limits a received size in bytes to math.MaxInt32, so that it fits in an int on 32-bit platforms too.
func clampSize(n uint64) int { return int(min(n, math.MaxInt32)) }
