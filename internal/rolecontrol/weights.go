package rolecontrol

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// loadTimeFactor is how many times the load time that the weight store named an engine may take to become ready.
const loadTimeFactor = 2

// weightLeave is the leave of the weight store to load a model. It is asked before the engine is drained, so that an engine
// never stands empty in the queue of the store.
type weightLeave struct {
	// wanted is the configuration for which the leave was asked.
	wanted engine.Configuration
	// request is under way since sentAt; zero when there is none.
	request platform.RequestID
	sentAt  time.Time
	retryAt time.Time
	granted bool
	// loadTime is how long the store says the load takes.
	loadTime time.Duration
}

// needsWeights tells whether a change loads a model, a version or adapters.
func needsWeights(from, to engine.Configuration) bool {
	return from.Model != to.Model || from.ModelVersion != to.ModelVersion || !slices.Equal(from.Adapters, to.Adapters)
}

// mayLoad tells whether the change to the target may start as far as the weight store is concerned, and asks it if not.
func (c *Core) mayLoad(now time.Time, control *engineControl, record Record, effects *core.Effects) bool {
	wanted := control.target.Configuration
	if !needsWeights(record.Configuration, wanted) {
		control.weights = weightLeave{}
		return true
	}
	if !sameConfiguration(control.weights.wanted, wanted) {
		control.weights = weightLeave{wanted: wanted}
	}
	leave := &control.weights
	switch {
	case leave.granted:
		return true
	case leave.request != 0 && !c.reached(now, control, leave.sentAt.Add(c.settings.RequestTimeout)):
		return false
	case !c.reached(now, control, leave.retryAt):
		return false
	}
	c.askWeights(now, control, wanted, effects)
	return false
}

// askWeights asks the weight store for leave.
func (c *Core) askWeights(now time.Time, control *engineControl, wanted engine.Configuration, effects *core.Effects) {
	leave := &control.weights
	delete(c.requests, leave.request)
	leave.request = c.ids.Next()
	leave.sentAt = now
	c.requests[leave.request] = control
	effects.Ask(leave.request, platform.FetchWeights{Model: wanted.Model, Version: wanted.ModelVersion, Zone: control.zone})
	c.reached(now, control, now.Add(c.settings.RequestTimeout))
}

// handleWeightsResponse takes the answer of the weight store; false if the response is to something else.
func (c *Core) handleWeightsResponse(now time.Time, control *engineControl, response platform.Response, effects *core.Effects) bool {
	leave := &control.weights
	if leave.request == 0 || leave.request != response.ID {
		return false
	}
	leave.request = 0
	if response.Failure != platform.FailureNone {
		leave.retryAt = now.Add(max(response.RetryAfter, c.settings.OrderRetry))
		record, _ := c.records.get(control.name)
		c.decide(control, decision.KindDrain, "waits", "the weight store has no room for another load yet: "+string(response.Failure), record, effects)
		return true
	}
	leave.granted = true
	leave.loadTime = response.Duration
	return true
}
