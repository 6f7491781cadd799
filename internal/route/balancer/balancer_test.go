package balancer_test

import (
	"encoding/binary"
	"math"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// upstreamIDs contains ids that differ in each of the four bytes, because all four are hashed.
var upstreamIDs = []registrar.UpstreamID{1, 2, 3, 255, 256, 7_800, 65_535, 65_536, 70_001, 1 << 24, 1<<24 + 1, math.MaxUint32}

func members(t *rapid.T, label string) []registrar.Member {
	// The weights include equal ones, similar ones and ones far apart, so that close scores and ties occur.
	weight := rapid.SampledFrom([]registrar.Weight{0, 0, 1, 250, 1000, 1000, 1200, 2000, 64_000, math.MaxUint32})
	var all []registrar.Member
	for i, w := range rapid.SliceOfN(weight, 0, len(upstreamIDs)).Draw(t, label) {
		if w > 0 || rapid.IntRange(0, 9).Draw(t, "weightless") == 0 {
			all = append(all, registrar.Member{Upstream: upstreamIDs[i], Weight: w})
		}
	}
	return all
}

// referenceChoice returns the members with the two highest scores, computed from the definition of the score.
func referenceChoice(service registrar.ServiceID, b balancer.Bucket, all []registrar.Member) balancer.Choice {
	var c balancer.Choice
	var first, second float64
	for _, m := range all {
		key := binary.LittleEndian.AppendUint32(nil, uint32(service))
		key = binary.LittleEndian.AppendUint16(key, uint16(b))
		key = binary.LittleEndian.AppendUint32(key, uint32(m.Upstream))
		u := (float64(xxhash.Sum64(key)>>11) + 0.5) / (1 << 53)
		s := float64(m.Weight) / -math.Log(u)
		switch {
		case c.Owner == 0 || s > first || s == first && m.Upstream < c.Owner:
			c.Second, second = c.Owner, first
			c.Owner, first = m.Upstream, s
		case c.Second == 0 || s > second || s == second && m.Upstream < c.Second:
			c.Second, second = m.Upstream, s
		}
	}
	return c
}

// TestTables guards against machines that disagree about the owner of a bucket because one of them derived its table from earlier
// generations, another computed it from scratch, and a third runs an earlier version, which computed all scores.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := registrar.ServiceID(rapid.Uint32().Draw(t, "service"))
		var derived *balancer.Table
		for i := range rapid.IntRange(1, 5).Draw(t, "generations") {
			g := registrar.Generation{Revision: registrar.Revision(i + 1), Members: members(t, "members")}
			derived = balancer.NewTable(service, g, derived)
			fresh := balancer.NewTable(service, g, nil)
			for b := range balancer.Bucket(balancer.BucketCount) {
				want := referenceChoice(service, b, g.Members)
				if fresh.Choice(b) != want || derived.Choice(b) != want {
					require.Equal(t, want, fresh.Choice(b), "fresh, bucket %d", b)
					require.Equal(t, want, derived.Choice(b), "derived, bucket %d", b)
				}
			}
		}
	})
}

// TestBucketOf guards against a change of the flow hash between versions: machines of different versions would then map a flow to
// different buckets.
func TestBucketOf(t *testing.T) {
	for _, tc := range []struct {
		caller, service string
		want            balancer.Bucket
	}{
		{"100.64.0.7:40001", "198.18.0.1:443", 1431},
		{"[2001:db8::1]:5", "[2001:db8::2]:443", 1035},
		{"10.0.0.1:1", "10.0.0.2:2", 3259},
	} {
		f := registrar.Flow{Caller: netip.MustParseAddrPort(tc.caller), Service: netip.MustParseAddrPort(tc.service)}
		require.Equal(t, tc.want, balancer.BucketOf(f))
	}
}
