package administrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// orderTimeout bounds the wait for a proposal to the log. It ends before callers switch to another instance, after 1 s.
const orderTimeout = 900 * time.Millisecond

// Errors of orders.
var (
	// ErrOrder means that an order is invalid or refused by the planner.
	ErrOrder = eris.New("order refused")
	// ErrUnavailable means that this instance does not know whether the order has been carried out, or cannot read the
	// newest state. Another instance may be able to answer.
	ErrUnavailable = eris.New("control instance cannot answer now")
)

// Orders carries out changes that operators have confirmed in advance, without creating a plan. The exported
// fields are set before first use.
type Orders struct {
	Log   Log
	World *registrar.World
	// Zones has the region of each zone that the settings name.
	Zones    map[registrar.ZoneName]registrar.RegionName
	Recorder *recorder.Recorder
}

// Replace applies a configuration of routes. A version that is not newer than the current one succeeds and changes nothing.
func (o *Orders) Replace(ctx context.Context, r planner.Replacement) error {
	err := o.replace(ctx, r)
	o.report("replace", err, zap.Uint64("version", uint64(r.Version)), zap.Int("routes", len(r.Routes)))
	return err
}

func (o *Orders) replace(ctx context.Context, r planner.Replacement) error {
	if err := r.Check(); err != nil {
		return eris.Wrap(ErrOrder, err.Error())
	}
	if r.Version <= o.World.Release().Version {
		return nil
	}
	for name, region := range o.Zones {
		r.Zones = append(r.Zones, registrar.Zone{Name: name, Region: region})
	}
	_, err := o.propose(ctx, planner.Command{Kind: planner.CommandReplace, Replacement: &r})
	return err
}

// Read returns the newest configuration of routes as its operator wrote it; nil before the first one. It includes every
// change that was confirmed before the call.
func (o *Orders) Read(ctx context.Context) ([]byte, error) {
	r, err := o.propose(ctx, planner.Command{Kind: planner.CommandRead})
	if err != nil || r.Version == 0 {
		return nil, err
	}
	return r.Document.Text()
}

// SwitchZone withdraws or returns a zone. A zone that is already in the requested state does not change.
func (o *Orders) SwitchZone(ctx context.Context, zone registrar.ZoneName, withdraw bool) error {
	err := o.switchZone(ctx, zone, withdraw)
	o.report("switch_zone", err, zap.String("zone", string(zone)), zap.Bool("withdraw", withdraw))
	return err
}

func (o *Orders) switchZone(ctx context.Context, zone registrar.ZoneName, withdraw bool) error {
	if _, ok := o.Zones[zone]; !ok {
		return eris.Wrapf(ErrOrder, "zone %q does not exist", zone)
	}
	kind := planner.ReturnZone
	if withdraw {
		kind = planner.WithdrawZone
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		// The planner refuses a command as stale if the zone was withdrawn or returned after the command's base revision, which
		// guards against delayed copies of the command. The caller still waits, so the command is proposed again with the
		// current revision.
		_, err := o.propose(ctx, planner.Command{
			Kind: planner.CommandApply, Base: o.World.Revision(),
			Intent: &planner.Intent{Kind: kind, Zone: &registrar.Zone{Name: zone}},
		})
		if !eris.Is(err, errStaleCommand) {
			return err
		}
		if !connector.Pause(ctx, catchUpPollInterval) {
			return eris.Wrap(ErrUnavailable, "the zone is being switched")
		}
	}
}

// errStaleCommand means that the zone was withdrawn or returned after the base revision of the command.
var errStaleCommand = eris.New("zone was switched meanwhile")

// propose writes a command to the log and returns its result.
func (o *Orders) propose(ctx context.Context, c planner.Command) (planner.Result, error) {
	var r planner.Result
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.AtMilli = time.Now().UnixMilli()
	entry, err := planner.EncodeCommand(c)
	if err != nil {
		return r, err
	}
	encoded, err := o.Log.Propose(ctx, entry)
	if err != nil {
		return r, eris.Wrap(ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(encoded, &r); err != nil {
		return r, eris.Wrap(err, "decode result")
	}
	switch f := r.Failure; {
	case f == nil:
		return r, nil
	case f.Code == planner.FailureStale:
		return r, errStaleCommand
	case f.Code == planner.FailureNotFound:
		// The settings name the zone, so the first configuration of routes will add it.
		return r, eris.Wrap(ErrUnavailable, f.Message)
	default:
		return r, eris.Wrap(ErrOrder, f.Message)
	}
}

func (o *Orders) report(order string, err error, fields ...zap.Field) {
	fields = append(fields, zap.String("order", order), zap.Uint64("revision", uint64(o.World.Revision())))
	if err != nil {
		o.Recorder.Warn(recorder.OrderRefused, append(fields, recorder.Err(err))...)
		return
	}
	o.Recorder.Info(recorder.OrderTaken, fields...)
}
