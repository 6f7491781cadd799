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

// TestConsensusRoundTrip guards against fields that get lost between control instances.
func TestConsensusRoundTrip(t *testing.T) {
	at := replicator.Position{Index: 7, Term: 3}
	r := replicator.Reading{Session: 1 << 63, At: -time.Second}
	members := replicator.Members{{ID: 1<<64 - 1, Name: "control-0", Voter: true}, {Name: "b", Returning: true}}
	for _, b := range []replicator.Body{
		replicator.VoteRequest{Request: elector.Request{From: 5, Term: 4, Last: at, Pre: true}},
		replicator.VoteAnswer{Answer: elector.Answer{From: 5, Term: 4, Granted: true, Pre: true}},
		replicator.Append{Prev: at, Commit: 6, SentAt: r, Echo: r, Entries: []replicator.Entry{
			{Position: replicator.Position{Index: 8, Term: 3}, Command: []byte("c")},
			{Position: replicator.Position{Index: 9, Term: 3}, Members: members},
		}},
		replicator.AppendAnswer{Match: 4, Rejected: true, Prev: 9, SentAt: r, ReadAt: r},
		replicator.SnapshotChunk{Position: at, Members: members, Offset: 3, Total: 9, Data: []byte("d"), SentAt: r},
		replicator.ChunkAnswer{Position: at, Received: 3, SentAt: r},
		replicator.Join{},
		replicator.Probe{},
		replicator.ProbeAnswer{Empty: true},
	} {
		want := replicator.Message{From: 5, To: 1 << 63, Term: 4, Body: b}
		m, err := encoder.ConsensusToMessage(want)
		require.NoError(t, err)
		raw, err := proto.Marshal(m)
		require.NoError(t, err)
		var back messenger.ConsensusMessage
		require.NoError(t, proto.Unmarshal(raw, &back))
		got, err := encoder.ConsensusFromMessage(&back)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
