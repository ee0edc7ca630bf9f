package forward

import (
	"cmp"
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/routing"
)

// wantedResponse describes the response that a request wants of an engine.
type wantedResponse struct {
	rule string
	// events is the expected number of events, spread the standard deviation of its logarithm, and maxEvents the most that are allowed.
	events, spread, maxEvents float64
	// hinted is the number of events that the request named, or zero.
	hinted         float64
	pauseObjective time.Duration
	// startBy is when the first event is wanted, and deadline when the caller leaves; zero if unknown.
	startBy, deadline time.Time
	// isWhole is set if no part of the response has been sent before.
	isWhole bool
}

// newWantedResponse returns the response that a request wants, or nil if its rule is not known. The mutex is held.
func (d *Dispatcher) newWantedResponse(request *Request, group *routing.Group, options PlaceOptions) *wantedResponse {
	if options.Rule == nil {
		return nil
	}
	perEvent := float64(max(group.Engine.TokensPerEvent, 1))
	wanted := &wantedResponse{
		rule:           options.Rule.Name,
		hinted:         math.Ceil(float64(request.Demand.ExpectedOutputTokens) / perEvent),
		maxEvents:      math.Ceil(float64(request.Demand.OutputTokens) / perEvent),
		pauseObjective: options.Rule.EventGapObjective,
		deadline:       options.Deadline,
		isWhole:        request.ResumeAfter == "" && len(options.Excluded) == 0,
	}
	if options.Objective > 0 {
		wanted.startBy = d.now().Add(options.Remaining)
	}
	wanted.events, wanted.spread = d.lengths.Expect(d.now(), wanted.rule, wanted.hinted)
	return wanted
}

// forModel returns the response as the model describes it. It is zero if w is nil.
func (w *wantedResponse) forModel(now time.Time) enginemodel.Response {
	if w == nil {
		return enginemodel.Response{}
	}
	response := enginemodel.Response{Events: w.events, MaxEvents: w.maxEvents, Spread: w.spread, PauseObjective: w.pauseObjective}
	if !w.startBy.IsZero() {
		// Zero would mean that there is no objective.
		response.StartWithin = cmp.Or(w.startBy.Sub(now), -1)
	}
	if !w.deadline.IsZero() {
		response.Remaining = max(w.deadline.Sub(now), 1)
	}
	return response
}

// observeEvents makes the assignment observe the events of a decode engine's response. The mutex is held.
func (a *Assignment) observeEvents(wanted *wantedResponse) *Assignment {
	if wanted != nil && a.Worker.Role == backend.RoleDecode {
		a.wanted, a.stream = wanted, a.dispatcher.model.NewStream(a.Worker)
	}
	return a
}

// maxForwarding is the time that forwarding an event may take for the time until the next one to count as the engine's.
const maxForwarding = 5 * time.Millisecond

// eventArrived records that an event of the response has arrived. Forwarding is the time that the caller took to accept the one before, in which
// the arrival of this one went unnoticed.
func (a *Assignment) eventArrived(forwarding time.Duration) {
	if a.stream == nil {
		return
	}
	d := a.dispatcher
	d.mutex.Lock()
	if forwarding > maxForwarding {
		a.stream.Interrupt()
	}
	interval := a.stream.Event(d.now())
	d.mutex.Unlock()
	if interval > 0 && d.onInterval != nil {
		d.onInterval(a.Worker.Group, interval)
	}
}

// observeLength records the number of events of a complete response. The mutex is held.
func (a *Assignment) observeLength(now time.Time) {
	if a.stream != nil && a.wanted.isWhole {
		a.dispatcher.lengths.Observe(now, a.wanted.rule, a.wanted.hinted, a.stream.Events())
	}
}

// Course is the course of a response at a decode engine.
type Course struct {
	// Expected is the forecast with which the engine was picked.
	Expected enginemodel.Forecast
	// Events is the number of events, and LongestPause the longest time between two of them.
	Events       int
	LongestPause time.Duration
	// PauseObjective is the objective for the longest pause; zero if there is none.
	PauseObjective time.Duration
}

// course returns the course of the response so far. It is zero at workers that are no decode engines.
func (a *Assignment) course() Course {
	if a.stream == nil {
		return Course{}
	}
	return Course{
		Expected: a.Score.Forecast, Events: a.stream.Events(), LongestPause: a.stream.Longest(), PauseObjective: a.wanted.pauseObjective,
	}
}

// OnInterval sets a callback that gets the group of an engine and the time between two events of its response. It must be called before the
// first request.
func (d *Dispatcher) OnInterval(onInterval func(group string, interval time.Duration)) {
	d.onInterval = onInterval
}
