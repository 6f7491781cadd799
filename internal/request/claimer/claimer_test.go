package claimer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var start = time.UnixMilli(1_000_000_000)

type always bool

func (a always) Valid(time.Time) bool { return bool(a) }

func newOwner() *claimer.Owner {
	return &claimer.Owner{StartedAt: start, Directory: &claimer.Directory{}, Lease: always(true)}
}

func claim(customer registrar.CustomerName, deadline time.Time, attempt uint64) claimer.Call {
	return claimer.Call{
		Kind: claimer.Claim, Deadline: deadline, Attempt: claimer.Attempt{Machine: "agent-0", Number: attempt},
		Request: claimer.RequestKey{Service: "order-desk", Customer: customer, Key: "k"},
	}
}

// TestRestartedOwnerAbstains guards against an owner that grants a claim which it may have granted to another attempt before
// it restarted. After 65 s it abstains for no key.
func TestRestartedOwnerAbstains(t *testing.T) {
	for _, c := range []struct {
		name          string
		now, deadline time.Duration
		want          claimer.Verdict
	}{
		{"claimable before the start", 30 * time.Second, 60 * time.Second, claimer.Abstained},
		{"within the clock error", 6 * time.Second, 65 * time.Second, claimer.Abstained},
		{"claimable only since the start", 6 * time.Second, 66 * time.Second, claimer.Granted},
		{"any key after 65 s", 65*time.Second + time.Millisecond, 65*time.Second + 2*time.Millisecond, claimer.Granted},
		{"expired", 80 * time.Second, 70 * time.Second, claimer.Abstained},
		{"too far ahead", 80 * time.Second, 141 * time.Second, claimer.Abstained},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newOwner().Handle(start.Add(c.now), claim("estate", start.Add(c.deadline), 1))
			require.Equal(t, c.want, r.Verdict)
		})
	}
}

// TestCustomersDoNotShareAnswers guards against handing the answer of one customer to another that uses the same key.
func TestCustomersDoNotShareAnswers(t *testing.T) {
	o := newOwner()
	now := start.Add(70 * time.Second)
	c := claim("estate", now.Add(time.Second), 1)
	require.Equal(t, claimer.Granted, o.Handle(now, c).Verdict)
	c.Kind, c.Answer = claimer.Finish, &claimer.Answer{Status: 200, Body: []byte("job 1")}
	o.Handle(now, c)
	require.Equal(t, claimer.Answered, o.Handle(now, claim("estate", now.Add(time.Second), 2)).Verdict)
	r := o.Handle(now, claim("mill", now.Add(time.Second), 3))
	require.Equal(t, claimer.Granted, r.Verdict)
	require.Nil(t, r.Answer)
	now = now.Add(claimer.KeepAnswer + 2*time.Second)
	o.Expire(now)
	require.Equal(t, claimer.Abstained, o.Handle(now, claim("estate", now.Add(-claimer.KeepAnswer-time.Second), 4)).Verdict)
}

func view(silent ...int) registrar.ServiceView {
	var v registrar.ServiceView
	for i := range 6 {
		u := registrar.UpstreamView{ControlAddress: netip.MustParseAddrPort("127.0.0.1:7000")}
		u.Machine, u.Zone = registrar.MachineName(fmt.Sprintf("agent-%d", i)), registrar.ZoneName(fmt.Sprintf("johor-%d", i%3))
		for _, s := range silent {
			u.Silent = u.Silent || s == i
		}
		v.Upstreams = append(v.Upstreams, u)
	}
	return v
}

// TestOldOwnersCount guards the joint majorities: the owners before a change count for every key that they may have granted,
// also when a resend asks after the key's deadline, and not for later keys.
func TestOldOwnersCount(t *testing.T) {
	d := &claimer.Directory{}
	d.Update(start, view())
	changed := start.Add(200 * time.Second)
	k := claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: "k"}
	sets, known := d.Sets(k, changed.Add(60*time.Second))
	require.True(t, known)
	require.Len(t, sets, 1)
	require.Len(t, sets[0], claimer.OwnerCount)
	zones := map[byte]bool{}
	var gone []int
	for _, p := range sets[0] {
		i := p.Machine[len(p.Machine)-1] - '0'
		zones[i%3] = true
		gone = append(gone, int(i))
	}
	require.Len(t, zones, 3, "owners share a zone")
	d.Update(changed, view(gone...))
	asked := changed.Add(110 * time.Second)
	d.Update(asked, view(append(gone, (gone[0]+1)%6, (gone[0]+3)%6, (gone[1]+3)%6)...))
	sets, _ = d.Sets(k, asked.Add(-60*time.Second))
	require.Len(t, sets, 3, "the owners that may have granted an expired key are forgotten")
	sets, _ = d.Sets(k, changed.Add(68*time.Second))
	require.Len(t, sets, 2)
	sets, _ = d.Sets(k, asked.Add(68*time.Second))
	require.Len(t, sets, 1)
	_, known = d.Sets(k, start.Add(67*time.Second))
	require.False(t, known, "owners before the start are not known")
}

// TestParseKey guards the form of keys: two spellings of a deadline must not make two keys of one request.
func TestParseKey(t *testing.T) {
	for key, want := range map[string]error{
		"1000001000-a":                     nil,
		"1000061000-a":                     claimer.ErrTooFar,
		"01000001000-a":                    claimer.ErrKey,
		"+1000001000-a":                    claimer.ErrKey,
		"1000001000-":                      claimer.ErrKey,
		"1000001000":                       claimer.ErrKey,
		"job-7":                            claimer.ErrKey,
		"1000001000-\xff":                  claimer.ErrKey,
		"1000001000-" + fmt.Sprint(view()): claimer.ErrKey,
	} {
		_, err := claimer.ParseKey(start, key)
		require.ErrorIs(t, err, want, key)
	}
}
