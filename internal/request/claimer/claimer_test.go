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

type fixedLease bool

func (a fixedLease) Valid(time.Time) bool { return bool(a) }

func newOwner() *claimer.Owner {
	return &claimer.Owner{StartedAt: start, Directory: &claimer.Directory{}, Lease: fixedLease(true)}
}

func claim(customer registrar.CustomerName, deadline time.Time, attempt uint64) claimer.Call {
	return claimer.Call{
		Kind: claimer.Claim, Deadline: deadline, Attempt: claimer.Attempt{Machine: "agent-0", Number: attempt},
		Request: claimer.RequestKey{Service: "order-desk", Customer: customer, Key: "k"},
	}
}

// TestRestartedOwnerAbstains guards against an owner that grants a claim which it may have granted to another attempt before its
// restart. From 65 s after the restart it grants claims on all keys.
func TestRestartedOwnerAbstains(t *testing.T) {
	for _, c := range []struct {
		name          string
		now, deadline time.Duration
		want          claimer.Verdict
	}{
		{"claimable before the restart", 30 * time.Second, 60 * time.Second, claimer.Abstained},
		{"within the clock error", 6 * time.Second, 65 * time.Second, claimer.Abstained},
		{"claimable only after the restart", 6 * time.Second, 66 * time.Second, claimer.Granted},
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

// TestCustomersDoNotShareAnswers guards against returning the answer of one customer to another that uses the same key.
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
	now = now.Add(claimer.AnswerRetention + 2*time.Second)
	o.Expire(now)
	require.Equal(t, claimer.Abstained, o.Handle(now, claim("estate", now.Add(-claimer.AnswerRetention-time.Second), 4)).Verdict)
}

func serviceView(silent ...int) registrar.ServiceView {
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

// TestOldOwnersCount guards against leaving out the owners before a change for a key that they may have granted, also when the
// request is resent after the deadline of the key, and against requiring them for later keys.
func TestOldOwnersCount(t *testing.T) {
	d := &claimer.Directory{}
	d.Update(start, serviceView())
	changedAt := start.Add(200 * time.Second)
	k := claimer.RequestKey{Service: "order-desk", Customer: "estate", Key: "k"}
	sets, known := d.Sets(k, changedAt.Add(60*time.Second))
	require.True(t, known)
	require.Len(t, sets, 1)
	require.Len(t, sets[0], claimer.OwnerCount)
	zones := map[byte]bool{}
	var owners []int
	for _, p := range sets[0] {
		i := p.Machine[len(p.Machine)-1] - '0'
		zones[i%3] = true
		owners = append(owners, int(i))
	}
	require.Len(t, zones, 3, "owners are in the same zone")
	d.Update(changedAt, serviceView(owners...))
	secondChangeAt := changedAt.Add(110 * time.Second)
	d.Update(secondChangeAt, serviceView(append(owners, (owners[0]+1)%6, (owners[0]+3)%6, (owners[1]+3)%6)...))
	sets, _ = d.Sets(k, secondChangeAt.Add(-60*time.Second))
	require.Len(t, sets, 3, "owners that may have granted an expired key are missing")
	sets, _ = d.Sets(k, changedAt.Add(68*time.Second))
	require.Len(t, sets, 2)
	sets, _ = d.Sets(k, secondChangeAt.Add(68*time.Second))
	require.Len(t, sets, 1)
	_, known = d.Sets(k, start.Add(67*time.Second))
	require.False(t, known, "owners before the first configuration cannot be known")
}

// TestParseKey guards against malformed keys and against two spellings of a deadline, which would make two keys of one request.
func TestParseKey(t *testing.T) {
	for key, want := range map[string]error{
		"1000001000-a":    nil,
		"1000061000-a":    claimer.ErrTooFar,
		"01000001000-a":   claimer.ErrKey,
		"+1000001000-a":   claimer.ErrKey,
		"1000001000-":     claimer.ErrKey,
		"1000001000":      claimer.ErrKey,
		"job-7":           claimer.ErrKey,
		"1000001000-\xff": claimer.ErrKey,
		"1000001000-" + fmt.Sprint(serviceView()): claimer.ErrKey,
	} {
		_, err := claimer.ParseKey(start, key)
		require.ErrorIs(t, err, want, key)
	}
}
