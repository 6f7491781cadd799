package driver

import (
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

// The kinds of journal records.
const (
	kindBallot journaler.Kind = 1
	kindEntry  journaler.Kind = 2
	// kindReset records that a snapshot, whose position is in the record, replaced the whole log before it.
	kindReset journaler.Kind = 3
)

// The kinds of log entries.
const (
	entryCommand byte = 1
	entryMembers byte = 2
	entryEmpty   byte = 3
)

// positionSize is the encoded size of an index and a term, in bytes.
const positionSize = 16

func appendPosition(b []byte, p replicator.Position) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, uint64(p.Index)), uint64(p.Term))
}

func decodePosition(b []byte) (replicator.Position, error) {
	if len(b) < positionSize {
		return replicator.Position{}, eris.Wrap(journaler.ErrCorrupt, "record is too short")
	}
	return replicator.Position{
		Index: replicator.Index(binary.BigEndian.Uint64(b)), Term: replicator.Term(binary.BigEndian.Uint64(b[8:])),
	}, nil
}

func encodeReset(p replicator.Position) journaler.Record {
	return journaler.Record{Kind: kindReset, Body: appendPosition(nil, p)}
}

func encodeBallot(b elector.Ballot) journaler.Record {
	body := binary.BigEndian.AppendUint64(nil, uint64(b.Term))
	return journaler.Record{Kind: kindBallot, Body: binary.BigEndian.AppendUint64(body, uint64(b.VotedFor))}
}

func decodeBallot(b []byte) (elector.Ballot, error) {
	if len(b) != positionSize {
		return elector.Ballot{}, eris.Wrap(journaler.ErrCorrupt, "ballot record has the wrong size")
	}
	return elector.Ballot{
		Term: elector.Term(binary.BigEndian.Uint64(b)), VotedFor: elector.MemberID(binary.BigEndian.Uint64(b[8:])),
	}, nil
}

func encodeEntry(e replicator.Entry) (journaler.Record, error) {
	body := appendPosition(make([]byte, 0, positionSize+1+len(e.Command)), e.Position)
	switch {
	case e.Members != nil:
		m, err := json.Marshal(e.Members)
		if err != nil {
			return journaler.Record{}, eris.Wrap(err, "encode members")
		}
		body = append(append(body, entryMembers), m...)
	case e.Command != nil:
		body = append(append(body, entryCommand), e.Command...)
	default:
		body = append(body, entryEmpty)
	}
	return journaler.Record{Kind: kindEntry, Body: body}, nil
}

func decodeEntry(b []byte) (replicator.Entry, error) {
	p, err := decodePosition(b)
	if err != nil {
		return replicator.Entry{}, err
	}
	e := replicator.Entry{Position: p}
	if len(b) == positionSize {
		return e, eris.Wrap(journaler.ErrCorrupt, "entry record has no kind")
	}
	body := b[positionSize+1:]
	switch b[positionSize] {
	case entryMembers:
		err = eris.Wrap(json.Unmarshal(body, &e.Members), "decode members")
	case entryCommand:
		e.Command = body
	case entryEmpty:
	default:
		err = eris.Wrapf(journaler.ErrCorrupt, "unknown entry kind %d", b[positionSize])
	}
	return e, err
}

func encodeSnapshot(s replicator.Snapshot) ([]byte, error) {
	m, err := json.Marshal(s.Members)
	if err != nil {
		return nil, eris.Wrap(err, "encode members")
	}
	b := appendPosition(make([]byte, 0, positionSize+4+len(m)+len(s.State)), s.Position)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m)))
	return append(append(b, m...), s.State...), nil
}

func decodeSnapshot(b []byte) (s replicator.Snapshot, err error) {
	if s.Position, err = decodePosition(b); err != nil {
		return s, err
	}
	b = b[positionSize:]
	if len(b) < 4 || uint64(binary.BigEndian.Uint32(b)) > uint64(len(b)-4) {
		return s, eris.Wrap(journaler.ErrCorrupt, "snapshot is too short")
	}
	n := int(binary.BigEndian.Uint32(b))
	s.State = b[4+n:]
	return s, eris.Wrap(json.Unmarshal(b[4:4+n], &s.Members), "decode members")
}
