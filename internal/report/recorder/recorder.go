// Package recorder writes structured logs with numbered events. docs/events.md lists the events.
package recorder

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a numbered kind of log entry. Numbers are never reused.
type Event struct {
	Number  int
	Message string
}

// Events of machines, heartbeats, proposals, the intent API and cold upstreams.
var (
	MachineStarted   = Event{1001, "machine started"}
	MachineStopped   = Event{1002, "machine stopped"}
	MachineFailed    = Event{1003, "machine failed"}
	KeysReloaded     = Event{1101, "key files read again"}
	ReloadFailed     = Event{1102, "cannot read key files again"}
	StopBegun        = Event{1103, "planned stop begun"}
	SettingsReloaded = Event{1104, "settings file read again"}
	SettingsRefused  = Event{1105, "settings file refused"}
	NeedsRestart     = Event{1106, "changed setting needs a restart"}
	FlowsCut         = Event{1107, "plain UDP flows cut at the drain deadline"}
	HeartbeatFailed  = Event{2001, "heartbeat failed"}
	RevisionEnforced = Event{2002, "revision enforced"}
	AnnounceRefused  = Event{2003, "announcement refused"}
	ListenFailed     = Event{3001, "cannot listen on service address"}
	ProposalFailed   = Event{4001, "proposal failed"}
	BurnStoreFailed  = Event{4301, "cannot keep burn counts on disk"}
	RequestServed    = Event{5001, "intent API request served"}
	UpstreamCold     = Event{5101, "upstream taken for cold"}
	UpstreamWarm     = Event{5102, "upstream taken for warm"}
)

// Recorder writes events.
type Recorder struct {
	log     *zap.Logger
	limiter flowLimiter
	// queue is nil if the recorder discards all events.
	queue *queue
}

// New returns a recorder that writes JSON lines without waiting for the writer. The caller calls Close to write the
// queued lines and to stop the goroutine of the recorder.
func New(w io.Writer) *Recorder {
	q := newQueue(w)
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return &Recorder{log: zap.New(zapcore.NewCore(encoder, q, zap.InfoLevel)), queue: q}
}

// Close waits until the queued lines are written, at most for flushTimeout. Events recorded after Close are lost.
func (r *Recorder) Close() {
	if r.queue != nil {
		r.queue.close()
	}
}

// Lost returns the number of lines that were dropped because the writer was too slow.
func (r *Recorder) Lost() uint64 {
	if r.queue == nil {
		return 0
	}
	return r.queue.dropped.Load()
}

// Discard returns a recorder that writes nothing.
func Discard() *Recorder { return &Recorder{log: zap.NewNop()} }

// Info writes an event of normal operation.
func (r *Recorder) Info(e Event, fields ...zap.Field) {
	r.log.Info(e.Message, append(fields, zap.Int("event", e.Number))...)
}

// Warn writes an event that an operator may want to investigate.
func (r *Recorder) Warn(e Event, fields ...zap.Field) {
	r.log.Warn(e.Message, append(fields, zap.Int("event", e.Number))...)
}

// Error writes an event that needs action by an operator.
func (r *Recorder) Error(e Event, fields ...zap.Field) {
	r.log.Error(e.Message, append(fields, zap.Int("event", e.Number))...)
}

// Err returns the log field for an error. It holds the message without the stack trace that eris adds, which would be repeated
// with each failed heartbeat.
func Err(err error) zap.Field { return zap.String("error", err.Error()) }
