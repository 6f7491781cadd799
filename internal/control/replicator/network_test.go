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
	tick = 10 * time.Millisecond
	// snapshotInterval is the number of entries between snapshots.
	snapshotInterval = 15
)

type name = registrar.MachineName

// disk is the durable state of a member.
type disk struct {
	id       replicator.MemberID
	ballot   elector.Ballot
	snapshot replicator.Snapshot
	entries  []replicator.Entry
}

// swap is a command that replaces the value of a register and returns the old value.
type swap struct{ Value, Old string }

// member is an instance with a register as its state machine.
type member struct {
	name name
	up   bool
	// frozen is true while the process is suspended: it handles no events and receives its messages later.
	frozen  bool
	disk    disk
	replica *replicator.Replica
	pending replicator.Pending
	applied replicator.Index
	members replicator.Members
	value   string
	// joining is true if the log exists already when the member starts.
	joining bool
	// volatile is true if the member stores nothing on disk.
	volatile bool
	// failure is the error that stopped the member, or nil.
	failure error
}

// delivery is a message in flight that arrives at a time.
type delivery struct {
	arrivesAt time.Time
	from      name
	to        name
	message   replicator.Message
}

// network runs members in one goroutine on a simulated clock and checks the invariants after each event.
type network struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	members []*member
	// cut has the links, sender and receiver, that lose all messages.
	cut map[[2]name]bool
	// loss is the probability that a message is lost.
	loss  float64
	queue []delivery
	// leaders has the leader of each term.
	leaders map[replicator.Term]replicator.MemberID
	// history has the entry that was applied at each index.
	history map[replicator.Index]replicator.Entry
	// committed is the newest applied membership.
	committed   replicator.Members
	committedAt replicator.Index
	operations  []porcupine.Operation
	// unfinished maps the proposals without an outcome to their indexes in operations.
	unfinished map[replicator.Token]int
	// confirmed has the times at which clients received results, and the newest index confirmed by then.
	confirmed []confirmation
	// ageChecks counts the checks of a member that claimed an age of its state.
	ageChecks int
	// boundChecks counts the comparisons of such an age with the bound that a leader holds.
	boundChecks int
	// seeds are the instances in the settings of all members if the membership is open. They are nil if it is not and all
	// instances are in the settings.
	seeds []name
}

// confirmation is the time at which a client received a result and the newest index confirmed by then.
type confirmation struct {
	confirmedAt time.Time
	index       replicator.Index
}

func newNetwork(t require.TestingT, seed uint64, n int) *network {
	w := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), start: time.Unix(1000, 0), cut: map[[2]name]bool{},
		leaders: map[replicator.Term]replicator.MemberID{}, history: map[replicator.Index]replicator.Entry{},
		unfinished: map[replicator.Token]int{},
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

// configuredAddresses returns the addresses of the instances in the settings.
func (w *network) configuredAddresses() map[name]netip.AddrPort {
	addresses := map[name]netip.AddrPort{}
	for _, m := range w.members {
		addresses[m.name] = netip.AddrPort{}
	}
	if w.seeds == nil {
		return addresses
	}
	clear(addresses)
	for _, s := range w.seeds {
		addresses[s] = addressOf(s)
	}
	return addresses
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
	m.replica = &replicator.Replica{
		Self: m.disk.id, Name: m.name, ConfiguredAddresses: w.configuredAddresses(), Rand: w.rng, Keep: 5,
	}
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

// run advances the clock in steps of one tick and delivers the messages that are due.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		inFlight := w.queue
		w.queue = nil
		slices.SortStableFunc(inFlight, func(a, b delivery) int { return a.arrivesAt.Compare(b.arrivesAt) })
		for _, q := range inFlight {
			m := w.find(q.to)
			if m == nil {
				continue
			}
			if q.arrivesAt.After(w.now) || m.frozen {
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
		w.checkStateAge()
	}
}

// find returns the member with a name, or nil if it was removed.
func (w *network) find(n name) *member {
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.name == n })
	if i < 0 {
		return nil
	}
	return w.members[i]
}

// step makes a member handle an event and carries out the effects.
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
		w.send(m, s)
	}
	w.checkLeader(m)
}

// write stores the ballot, the entries and an installed snapshot on the disk.
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

// send puts a message in flight, loses it or duplicates it.
func (w *network) send(m *member, s replicator.Send) {
	if w.rng.Float64() < w.loss || w.seeds != nil && s.Address != addressOf(s.Name) {
		return
	}
	q := delivery{
		from: m.name, to: s.Name, message: s.Message,
		arrivesAt: w.now.Add(time.Duration(w.rng.Int64N(int64(30 * time.Millisecond)))),
	}
	w.queue = append(w.queue, q)
	if w.rng.Float64() < w.loss/2 {
		q.arrivesAt = q.arrivesAt.Add(500 * time.Millisecond)
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
	if m.applied%snapshotInterval == 0 {
		m.disk.snapshot = replicator.Snapshot{Position: e.Position, Members: m.members, State: []byte(m.value)}
		m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(o replicator.Entry) bool { return o.Index <= e.Index })
		m.replica.Step(w.now, replicator.Snapshotted{Snapshot: m.disk.snapshot})
	}
}

// propose makes a client propose a swap at a member.
func (w *network) propose(m *member) {
	n := len(w.operations)
	token := replicator.Token(n + 1)
	value := fmt.Sprint("v", n)
	w.operations = append(w.operations, porcupine.Operation{
		ClientId: n, Input: swap{Value: value}, Call: w.now.Sub(w.start).Nanoseconds(), Return: int64(1) << 62,
	})
	w.unfinished[token] = n
	w.step(m, replicator.Proposed{Token: token, Command: []byte(value)})
}

// written handles the log position or the error of a proposal.
func (w *network) written(m *member, wr replicator.Written) {
	if wr.Err != nil {
		w.finish(replicator.Outcome{Token: wr.Token, Err: wr.Err}, 0)
		return
	}
	if o, ok := m.pending.Add(wr); ok {
		w.finish(o, 0)
	}
}

// finish records the outcome of a proposal, and the index of its entry if it was applied.
func (w *network) finish(o replicator.Outcome, entryIndex replicator.Index) {
	n, ok := w.unfinished[o.Token]
	if !ok {
		return
	}
	delete(w.unfinished, o.Token)
	op := &w.operations[n]
	switch in := op.Input.(swap); {
	case o.Err == nil:
		op.Output = swap{Value: in.Value, Old: string(o.Result)}
		op.Return = w.now.Sub(w.start).Nanoseconds() + 1
		if k := len(w.confirmed); k > 0 {
			entryIndex = max(entryIndex, w.confirmed[k-1].index)
		}
		w.confirmed = append(w.confirmed, confirmation{confirmedAt: w.now, index: entryIndex})
	case o.Err == replicator.ErrNotLeader || o.Err == replicator.ErrDropped:
		op.Input = swap{}
		op.Output = swap{}
		op.Return = op.Call + 1
	}
}

// checkLeader checks that each term has at most one leader.
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

// checkStateAge checks that the state of a member holds every entry that was confirmed before the age that the member claims.
func (w *network) checkStateAge() {
	for _, m := range w.members {
		if !m.up || m.frozen {
			continue
		}
		age, ok := m.replica.StateAge(w.now)
		if !ok {
			continue
		}
		w.ageChecks++
		w.checkBounds(m, w.now.Add(-age))
		i, found := slices.BinarySearchFunc(w.confirmed, w.now.Add(-age), func(c confirmation, t time.Time) int {
			return c.confirmedAt.Compare(t)
		})
		// Only entries confirmed strictly before that time are compared.
		_ = found
		if i > 0 {
			require.GreaterOrEqual(w.t, m.applied, w.confirmed[i-1].index, "%s claims a state of age %s", m.name, age)
		}
	}
}

// checkBounds checks that no member, also one that is cut off, claims a newer state than the bound that a leader holds for it.
func (w *network) checkBounds(m *member, upToDateAt time.Time) {
	for _, l := range w.members {
		if !l.up || l == m {
			continue
		}
		for _, k := range l.replica.PeerBounds(w.now) {
			if k.Name == m.name {
				w.boundChecks++
				require.False(w.t, upToDateAt.After(k.Until), "%s claims a state newer by %s than the bound of %s", m.name,
					upToDateAt.Sub(k.Until), l.name)
			}
		}
	}
}

// healthy reports whether the committed members are voters and are exactly the existing members with their current disks.
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

// registerModel is the sequential model of the register. The empty swap stands for a proposal without effect.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(swap)
		if in.Value == "" {
			return true, state
		}
		out, finished := output.(swap)
		return !finished || out.Old == state.(string), in.Value
	},
	Equal: func(a, b any) bool { return cmp.Compare(a.(string), b.(string)) == 0 },
	DescribeOperation: func(in, out any) string {
		b, _ := json.Marshal([]any{in, out})
		return string(b)
	},
}
