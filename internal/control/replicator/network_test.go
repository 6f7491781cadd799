package replicator_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	tick       = 10 * time.Millisecond
	snapshotAt = 15
)

type name = registrar.MachineName

// disk is what a member has made durable.
type disk struct {
	id       replicator.MemberID
	ballot   elector.Ballot
	snapshot replicator.Snapshot
	entries  []replicator.Entry
}

// swap is a command that replaces the value of a register and returns the old one.
type swap struct{ Value, Old string }

// member is an instance with a register as its state machine.
type member struct {
	name    name
	up      bool
	frozen  bool
	disk    disk
	replica *replicator.Replica
	pending replicator.Pending
	applied replicator.Index
	members replicator.Members
	value   string
	// joining is true once the group has been founded.
	joining bool
	// volatile is true if the member keeps nothing when it ends.
	volatile bool
	// failure is why the member has ended; nil if it has not.
	failure error
}

type delivery struct {
	at      time.Time
	from    name
	to      name
	message replicator.Message
}

// network runs members in one goroutine on a made-up clock and checks the invariants after each event.
type network struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	members []*member
	cut     map[[2]name]bool
	loss    float64
	queue   []delivery
	// leaders has the leader of each term.
	leaders map[replicator.Term]replicator.MemberID
	// history has the entry that was applied at each index.
	history map[replicator.Index]replicator.Entry
	// committed is the newest applied membership.
	committed   replicator.Members
	committedAt replicator.Index
	operations  []porcupine.Operation
	open        map[replicator.Token]int
	// confirmed has the times at which clients got results and the newest index confirmed by then.
	confirmed []confirmation
	vouched   int
	// bounded counts the comparisons of what a member knows with what a leader believes.
	bounded int
	// seeds are the instances that all others know; nil if all instances are in the settings and membership is not open.
	seeds []name
}

type confirmation struct {
	at    time.Time
	index replicator.Index
}

func newNetwork(t require.TestingT, seed uint64, n int) *network {
	w := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), start: time.Unix(1000, 0), cut: map[[2]name]bool{},
		leaders: map[replicator.Term]replicator.MemberID{}, history: map[replicator.Index]replicator.Entry{},
		open: map[replicator.Token]int{},
	}
	for i := range n {
		m := &member{name: name(fmt.Sprintf("control-%d", i))}
		m.disk.id = replicator.MemberID(w.rng.Uint64() | 1)
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		w.boot(m)
	}
	return w
}

func (w *network) known() map[name]netip.AddrPort {
	k := map[name]netip.AddrPort{}
	for _, m := range w.members {
		k[m.name] = netip.AddrPort{}
	}
	if w.seeds == nil {
		return k
	}
	clear(k)
	for _, s := range w.seeds {
		k[s] = addressOf(s)
	}
	return k
}

// addressOf returns the address of a member of an open group.
func addressOf(n name) netip.AddrPort {
	var number int
	_, err := fmt.Sscanf(string(n), "control-%d", &number)
	if err != nil {
		panic(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7)
}

// boot starts a member from its disk.
func (w *network) boot(m *member) {
	m.up, m.frozen, m.failure, m.pending = true, false, nil, replicator.Pending{}
	m.replica = &replicator.Replica{Self: m.disk.id, Name: m.name, Known: w.known(), Rand: w.rng, Keep: 5}
	if w.seeds != nil {
		m.replica.Open, m.replica.Joining, m.replica.Address = true, m.joining, addressOf(m.name)
		m.replica.Volatile = m.volatile
	}
	m.applied, m.members, m.value = m.disk.snapshot.Index, m.disk.snapshot.Members, string(m.disk.snapshot.State)
	require.NoError(w.t, m.replica.Start(w.now, replicator.State{
		Ballot: m.disk.ballot, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries),
	}))
}

// wipe makes a member lose its disk and start again.
func (w *network) wipe(m *member) {
	m.disk = disk{id: replicator.MemberID(w.rng.Uint64() | 1)}
	m.joining = w.seeds != nil
	w.boot(m)
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		due := w.queue
		w.queue = nil
		slices.SortStableFunc(due, func(a, b delivery) int { return a.at.Compare(b.at) })
		for _, q := range due {
			m := w.find(q.to)
			if m == nil {
				continue
			}
			if q.at.After(w.now) || m.frozen {
				w.queue = append(w.queue, q)
			} else if m.up && !w.cut[[2]name{q.from, q.to}] {
				w.step(m, replicator.Received{Message: q.message})
			}
		}
		for _, m := range w.members {
			if m.up && !m.frozen {
				w.step(m, replicator.Tick{})
			}
		}
		w.checkVouch()
	}
}

func (w *network) find(n name) *member {
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.name == n })
	if i < 0 {
		return nil
	}
	return w.members[i]
}

func (w *network) step(m *member, ev replicator.Event) {
	m.replica.Step(w.now, ev)
	e := m.replica.Take(w.now)
	if e.Failure != nil {
		m.up, m.failure = false, e.Failure
		return
	}
	m.write(e)
	for _, wr := range e.Written {
		w.written(m, wr)
	}
	if e.Install != nil {
		m.applied, m.members, m.value = e.Install.Index, e.Install.Members, string(e.Install.State)
		for _, o := range m.pending.Skip(m.applied) {
			w.finish(o, 0)
		}
	}
	for _, c := range e.Committed {
		w.apply(m, c)
	}
	m.replica.Applied(w.now, m.applied)
	for _, s := range e.Sends {
		w.post(m, s)
	}
	w.checkLeader(m)
}

func (m *member) write(e replicator.Effects) {
	if e.Install != nil {
		m.disk.snapshot, m.disk.entries = *e.Install, nil
	}
	if e.Ballot != nil {
		m.disk.ballot = *e.Ballot
	}
	for _, entry := range e.Append {
		i := slices.IndexFunc(m.disk.entries, func(o replicator.Entry) bool { return o.Index >= entry.Index })
		if i >= 0 {
			m.disk.entries = slices.Clone(m.disk.entries[:i])
		}
		m.disk.entries = append(m.disk.entries, entry)
	}
}

func (w *network) post(m *member, s replicator.Send) {
	if w.rng.Float64() < w.loss || w.seeds != nil && s.Address != addressOf(s.Name) {
		return
	}
	q := delivery{from: m.name, to: s.Name, message: s.Message, at: w.now.Add(time.Duration(w.rng.Int64N(int64(30 * time.Millisecond))))}
	w.queue = append(w.queue, q)
	if w.rng.Float64() < w.loss/2 {
		q.at = q.at.Add(500 * time.Millisecond)
		w.queue = append(w.queue, q)
	}
}

// apply checks log matching and state-machine equality: every member applies the same entry at an index.
func (w *network) apply(m *member, e replicator.Entry) {
	require.Equal(w.t, m.applied+1, e.Index, "%s skips an entry", m.name)
	if old, ok := w.history[e.Index]; ok {
		require.Equal(w.t, old, e, "%s applies another entry", m.name)
	}
	w.history[e.Index] = e
	m.applied = e.Index
	if e.Members != nil {
		m.members = e.Members
		if e.Index > w.committedAt {
			w.committed, w.committedAt = e.Members, e.Index
		}
	}
	old := m.value
	if e.Command != nil {
		m.value = string(e.Command)
	}
	if o, ok := m.pending.Apply(e.Position, []byte(old)); ok {
		w.finish(o, e.Index)
	}
	if m.applied%snapshotAt == 0 {
		m.disk.snapshot = replicator.Snapshot{Position: e.Position, Members: m.members, State: []byte(m.value)}
		m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(o replicator.Entry) bool { return o.Index <= e.Index })
		m.replica.Step(w.now, replicator.Snapshotted{Snapshot: m.disk.snapshot})
	}
}

// propose makes a client swap the register at a member.
func (w *network) propose(m *member) {
	n := len(w.operations)
	token := replicator.Token(n + 1)
	value := fmt.Sprint("v", n)
	w.operations = append(w.operations, porcupine.Operation{
		ClientId: n, Input: swap{Value: value}, Call: w.now.Sub(w.start).Nanoseconds(), Return: int64(1) << 62,
	})
	w.open[token] = n
	w.step(m, replicator.Proposed{Token: token, Command: []byte(value)})
}

func (w *network) written(m *member, wr replicator.Written) {
	if wr.Err != nil {
		w.finish(replicator.Outcome{Token: wr.Token, Err: wr.Err}, 0)
		return
	}
	if o, ok := m.pending.Add(wr); ok {
		w.finish(o, 0)
	}
}

func (w *network) finish(o replicator.Outcome, at replicator.Index) {
	n, ok := w.open[o.Token]
	if !ok {
		return
	}
	delete(w.open, o.Token)
	op := &w.operations[n]
	switch in := op.Input.(swap); {
	case o.Err == nil:
		op.Output = swap{Value: in.Value, Old: string(o.Result)}
		op.Return = w.now.Sub(w.start).Nanoseconds() + 1
		if k := len(w.confirmed); k > 0 {
			at = max(at, w.confirmed[k-1].index)
		}
		w.confirmed = append(w.confirmed, confirmation{at: w.now, index: at})
	case o.Err == replicator.ErrNotLeader || o.Err == replicator.ErrDropped:
		op.Input = swap{}
		op.Output = swap{}
		op.Return = op.Call + 1
	}
}

// checkLeader checks that a term has one leader.
func (w *network) checkLeader(m *member) {
	for _, s := range m.replica.Status() {
		if !s.Leader || s.ID != m.disk.id {
			continue
		}
		if old, ok := w.leaders[m.disk.ballot.Term]; ok {
			require.Equal(w.t, old, s.ID, "two leaders in term %d", m.disk.ballot.Term)
		}
		w.leaders[m.disk.ballot.Term] = s.ID
	}
}

// checkVouch checks that a member holds every entry that was confirmed before the age it vouches for.
func (w *network) checkVouch() {
	for _, m := range w.members {
		if !m.up || m.frozen {
			continue
		}
		age, ok := m.replica.Vouch(w.now)
		if !ok {
			continue
		}
		w.vouched++
		w.checkKnowledge(m, w.now.Add(-age))
		i, found := slices.BinarySearchFunc(w.confirmed, w.now.Add(-age), func(c confirmation, t time.Time) int {
			return c.at.Compare(t)
		})
		// Only what was confirmed strictly before counts.
		_ = found
		if i > 0 {
			require.GreaterOrEqual(w.t, m.applied, w.confirmed[i-1].index, "%s vouches for age %s", m.name, age)
		}
	}
}

// checkKnowledge checks that no leader believes that a member, which may be cut off, knows less than it does.
func (w *network) checkKnowledge(m *member, known time.Time) {
	for _, l := range w.members {
		if !l.up || l == m {
			continue
		}
		for _, k := range l.replica.Knowledge(w.now) {
			if k.Name == m.name {
				w.bounded++
				require.False(w.t, known.After(k.Until), "%s vouches as of %s after the bound of %s", m.name, known.Sub(k.Until), l.name)
			}
		}
	}
}

// healthy reports whether the committed membership consists of the disks that exist.
func (w *network) healthy() bool {
	if len(w.committed) != len(w.members) {
		return false
	}
	for _, c := range w.committed {
		if m := w.find(c.Name); !c.Voter || m == nil || m.disk.id != c.ID {
			return false
		}
	}
	return true
}

// registerModel is a register that swap replaces. The empty swap stands for a proposal that did nothing.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(swap)
		if in.Value == "" {
			return true, state
		}
		out, known := output.(swap)
		return !known || out.Old == state.(string), in.Value
	},
	Equal: func(a, b any) bool { return cmp.Compare(a.(string), b.(string)) == 0 },
	DescribeOperation: func(in, out any) string {
		b, _ := json.Marshal([]any{in, out})
		return string(b)
	},
}
