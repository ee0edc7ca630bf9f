package admission

// urgencyCounts counts requests by urgency.
type urgencyCounts [urgencies]int

// urgencies is the number of urgencies that engines distinguish.
const urgencies = 10

// Sent records that a request was sent to the queue of a decode engine of a group.
func (c *Controller) Sent(group string, urgency int) { c.count(group, urgency, 1) }

// Left records that a request that was sent has left the queue: its answer started, or the attempt ended.
func (c *Controller) Left(group string, urgency int) { c.count(group, urgency, -1) }

// count adds to the count of one urgency.
func (c *Controller) count(group string, urgency, n int) {
	if state, found := c.groups[group]; found && urgency >= 0 && urgency < urgencies {
		state.waiting[urgency] = max(state.waiting[urgency]+n, 0)
	}
}

// YieldingShare returns the share of the requests of a group that wait at decode engines and are less urgent than the given urgency; zero if
// nothing is known. Requests of the same urgency are served in order of arrival.
func (c *Controller) YieldingShare(group string, urgency int) float64 {
	state, found := c.groups[group]
	if !found {
		return 0
	}
	total, yielding := 0, 0
	for other, n := range state.waiting {
		total += n
		if other > urgency {
			yielding += n
		}
	}
	if total == 0 {
		return 0
	}
	return float64(yielding) / float64(total)
}
