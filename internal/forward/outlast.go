package forward

import "time"

// maxCutRisk is the highest probability with which a response may outlast a stopping gateway that accepts its request.
const maxCutRisk = 0.25

// gatewayEnds returns when this gateway ends the request if it is unfinished. It is zero if the gateway does not stop, the deadline comes first, or
// the request may have run.
func (c *call) gatewayEnds() time.Time {
	schedule := c.handler.draining.Load()
	if schedule == nil || !c.deadline.After(schedule.FinishBy) || c.relay.started || c.attempts.final() != decisionNotRun {
		return time.Time{}
	}
	return schedule.FinishBy
}

// outlasts reports whether the response of a plan is known to end too late for a gateway that stops. It does not while the pace of the engine is
// not known. The mutex is held.
func (d *Dispatcher) outlasts(prompt *promptContext, chosen plan, options PlaceOptions) bool {
	if options.GatewayEnds.IsZero() || prompt.wanted == nil {
		return false
	}
	now, engine := d.now(), chosen.runner.Worker
	remaining := options.GatewayEnds.Sub(now) - secondsDuration(chosen.timeToFirstEvent)
	if remaining <= 0 {
		return true
	}
	response := prompt.wanted.forModel(now)
	response.Remaining = remaining
	return d.model.Forecast(now, engine, response, d.balancer.TotalLoad(engine.ID)).DeadlineRisk > maxCutRisk
}
