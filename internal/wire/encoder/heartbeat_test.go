package encoder_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestDigestOfOtherVersion guards against a full state in every reply to nodes of another version during an upgrade. Two versions
// whose objects have different fields compute different digests of the same configuration.
func TestDigestOfOtherVersion(t *testing.T) {
	for version, want := range map[uint32]uint64{encoder.Protocol: 7, encoder.Protocol + 1: 0} {
		m, err := encoder.HeartbeatToMessage(leaser.Heartbeat{Digest: 7})
		require.NoError(t, err)
		m.Protocol = version
		h, err := encoder.HeartbeatFromMessage(m)
		require.NoError(t, err)
		require.Equal(t, want, h.Digest, "version %d", version)
	}
}

// TestLargeReply guards against replies that a slow link cannot transfer within the timeout of a heartbeat; each retry would then
// transfer the reply from its start. Some installations add 1,500 routes at once. On a link of 3 Mbit/s these must take at most
// a quarter of the timeout of 0.7 s, as an update and as a full state.
func TestLargeReply(t *testing.T) {
	const maxSize = 3_000_000 / 8 * 7 / 10 / 4 // bytes
	var changes []registrar.Change
	var routes []registrar.Route
	for i := range 1500 {
		r := registrar.Route{
			Name:    registrar.RouteName(fmt.Sprintf("r-%x", i*7919)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), uint16(8000+i%40)),
			Kind:    "idempotent", Timeout: registrar.Millis(500 + i%9), Targets: []registrar.Target{{Service: "desk", Weight: 1000}},
		}
		routes = append(routes, r)
		changes = append(changes, registrar.Change{Kind: registrar.PutRoute, Route: &r})
	}
	for name, reply := range map[string]subscriber.Reply{
		"update": {Revision: 8, Updates: []registrar.Update{{Revision: 7}, {Revision: 8, Changes: changes}}},
		"state":  {Revision: 8, State: &registrar.State{Revision: 8, Routes: routes}},
	} {
		t.Run(name, func(t *testing.T) {
			var e encoder.ReplyEncoder
			for _, compress := range []bool{false, true, true} {
				m, err := e.ToMessage(reply, compress)
				require.NoError(t, err)
				t.Logf("compress %t: %d bytes", compress, proto.Size(m))
				if compress {
					require.LessOrEqual(t, proto.Size(m), maxSize)
				}
				got, err := encoder.ReplyFromMessage(m)
				require.NoError(t, err)
				require.Equal(t, reply.Updates, got.Updates)
				require.Equal(t, reply.State, got.State)
			}
		})
	}
}
