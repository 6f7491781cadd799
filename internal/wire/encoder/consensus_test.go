package encoder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
)

// TestConsensusRoundTrip guards against message fields that are lost between control instances.
func TestConsensusRoundTrip(t *testing.T) {
	position := replicator.Position{Index: 7, Term: 3}
	reading := replicator.ClockReading{Session: 1 << 63, At: -time.Second}
	members := replicator.Members{{ID: 1<<64 - 1, Name: "control-0", Voter: true}, {Name: "b", Returning: true}}
	for _, body := range []replicator.Body{
		replicator.VoteRequest{Request: elector.Request{From: 5, Term: 4, Last: position, PreVote: true, Restarted: map[elector.MemberID]elector.Incarnation{5: 7, 6: 8}}},
		replicator.VoteAnswer{Answer: elector.Answer{From: 5, Term: 4, Granted: true, PreVote: true, Incarnation: 9}},
		replicator.Append{Prev: position, Commit: 6, SentAt: reading, Echo: reading, Entries: []replicator.Entry{
			{Position: replicator.Position{Index: 8, Term: 3}, Command: []byte("c")},
			{Position: replicator.Position{Index: 9, Term: 3}, Members: members},
		}},
		replicator.AppendAnswer{Match: 4, Rejected: true, Prev: 9, SentAt: reading, ReadAt: reading},
		replicator.SnapshotChunk{Position: position, Members: members, Offset: 3, Total: 9, Data: []byte("d"), SentAt: reading},
		replicator.ChunkAnswer{Position: position, Received: 3, SentAt: reading},
		replicator.Join{},
		replicator.Probe{},
		replicator.ProbeAnswer{Empty: true},
	} {
		want := replicator.Message{From: 5, To: 1 << 63, Term: 4, Body: body}
		m, err := encoder.ConsensusToMessage(want)
		require.NoError(t, err)
		encoded, err := proto.Marshal(m)
		require.NoError(t, err)
		var decoded messenger.ConsensusMessage
		require.NoError(t, proto.Unmarshal(encoded, &decoded))
		got, err := encoder.ConsensusFromMessage(&decoded)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
