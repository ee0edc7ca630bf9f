package admission

import (
	"fmt"
	"slices"
	"time"
)

// Settings configure a Controller.
type Settings struct {
	// FloorShare is the share of the tokens of each class that starts with the urgency of the most urgent class, so that no class starves.
	FloorShare float64
	// ShareSlack is how many times its fair share of the tokens a tenant may use before its requests are ordered behind those of others.
	ShareSlack float64
	// ShareWindow is the time over which the tokens of tenants are counted.
	ShareWindow time.Duration
	// MaxWaitFraction is the fraction of the time until its caller leaves for which a request waits at the gateway.
	MaxWaitFraction float64
	// MinRetryAfter is the shortest Retry-After time.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		FloorShare: 0.1, ShareSlack: 2, ShareWindow: 3 * time.Second, MaxWaitFraction: 0.25, MinRetryAfter: 150 * time.Millisecond,
	}
}

// The urgencies of contended requests by the rank of their priorities. A tenant that exceeds its share takes the second one. Ranks other than
// the first are no more urgent than DefaultUrgency, so that their requests never preempt urgent ones that started without contention.
var (
	inTimeUrgencies = [ranks][2]int{{1, 2}, {5, 6}, {7, 8}}
	lateUrgencies   = [ranks]int{8, 9, 9}
)

// ranks is the number of ranks into which the priorities of a group are divided.
const ranks = 3

// IsLate reports whether an urgency is that of a request that is late.
func IsLate(urgency int) bool { return urgency >= lateUrgencies[0] }

// Controller decides on the requests of groups of engines. It is not safe for concurrent use.
//
// Invariants:
//   - a request is refused or waits only while no slot is free for it;
//   - a request waits at most once, and never until its caller leaves;
//   - of the tokens of each class, at least FloorShare start with the urgency of the most urgent class, but for one request;
//   - in time, a request of a more urgent rank never has a later urgency than one of a less urgent rank, but for the floor.
type Controller struct {
	settings Settings
	groups   map[string]*groupState
}

// groupState is the state of one group.
type groupState struct {
	// priorities are the different priorities in ascending order, two at least.
	priorities []int
	floors     map[class]*floor
	sizes      map[int]*sizeTracker
	usage      *tenantUsage
	promises   promiseBook
	waiting    urgencyCounts
}

// class holds the requests that share a floor.
type class struct {
	rank        int
	late, large bool
}

// NewController returns a controller without groups, which starts all requests with the default urgency.
func NewController(settings Settings) *Controller {
	return &Controller{settings: settings, groups: map[string]*groupState{}}
}

// SetPriorities sets the priorities that the configuration uses in each group. Groups with fewer than two are not controlled. The state of
// groups that remain is kept.
func (c *Controller) SetPriorities(priorities map[string][]int) {
	for group := range c.groups {
		if len(priorities[group]) < 2 {
			delete(c.groups, group)
		}
	}
	for group, used := range priorities {
		used = slices.Compact(slices.Sorted(slices.Values(used)))
		if len(used) < 2 {
			delete(c.groups, group)
			continue
		}
		state, found := c.groups[group]
		if !found {
			state = &groupState{
				floors: map[class]*floor{}, sizes: map[int]*sizeTracker{},
				usage: newTenantUsage(c.settings.ShareWindow),
			}
			c.groups[group] = state
		}
		state.priorities = used
	}
}

// Controls reports whether the configuration of a group distinguishes priorities.
func (c *Controller) Controls(group string) bool { return c.groups[group] != nil }

// Decide decides on a request. The caller must place the request if the decision is a Start.
func (c *Controller) Decide(now time.Time, request Request, outlook Outlook) Decision {
	group, found := c.groups[request.Group]
	if !found {
		return Start{Urgency: DefaultUrgency}
	}
	large := group.isLarge(request)
	overShare := group.usage.exceedsShare(now, request.Tenant, c.settings.ShareSlack)
	late := outlook.late(now, request)
	if outlook.FreeAt.IsZero() && !late {
		group.usage.add(now, request.Tenant, request.Tokens)
		return Start{Urgency: DefaultUrgency}
	}
	rank := group.rankOf(request.Priority)
	if late && !outlook.FreeAt.IsZero() {
		if decision := c.holdBack(now, group, request, outlook); decision != nil {
			return decision
		}
	}
	group.usage.add(now, request.Tenant, request.Tokens)
	return c.start(group, request, class{rank: rank, late: late, large: large}, overShare)
}

// start returns the decision for a request that is placed although there is contention.
func (c *Controller) start(group *groupState, request Request, of class, overShare bool) Start {
	if group.floorOf(of).take(request.Tokens, c.settings.FloorShare) {
		return Start{
			Urgency: inTimeUrgencies[0][0],
			Reason:  fmt.Sprintf("priority %d: within the floor that is kept for its class", request.Priority),
		}
	}
	if of.late {
		return Start{
			Urgency: lateUrgencies[of.rank],
			Reason:  fmt.Sprintf("priority %d: it is late because of others and yields to requests in time", request.Priority),
		}
	}
	if overShare {
		return Start{
			Urgency: inTimeUrgencies[of.rank][1],
			Reason:  fmt.Sprintf("priority %d: its tenant exceeds its share", request.Priority),
		}
	}
	return Start{
		Urgency: inTimeUrgencies[of.rank][0],
		Reason:  fmt.Sprintf("priority %d: in time although slots are taken", request.Priority),
	}
}

// holdBack returns a Wait or a Refuse for a late request for which no slot is free, or nil to start it. A request that returned when told is
// started.
func (c *Controller) holdBack(now time.Time, group *groupState, request Request, outlook Outlook) Decision {
	if request.Committed || group.promises.redeem(now, request.key) {
		return nil
	}
	patience := request.Deadline.Sub(now)
	if outlook.YieldingStart > patience {
		at := group.promises.reserve(now.Add(c.retryAfter(outlook, patience)), outlook.SlotInterval, request.key)
		return Refuse{RetryAfter: at.Sub(now), Reason: fmt.Sprintf(
			"its answer is expected to start after %d ms, but its caller leaves after %d ms",
			outlook.YieldingStart.Milliseconds(), patience.Milliseconds())}
	}
	unloaded := outlook.Start - outlook.QueueWait
	wait := min(outlook.QueueWait-unloaded, time.Duration(c.settings.MaxWaitFraction*float64(patience)))
	if request.Waited || !outlook.Prefills || wait < minWait {
		return nil
	}
	return Wait{Until: now.Add(wait), Reason: fmt.Sprintf(
		"no slot is expected to be free for %d ms, and prefilling its prompt takes %d ms", outlook.QueueWait.Milliseconds(), unloaded.Milliseconds())}
}

// minWait is the shortest wait that is worth another decision.
const minWait = 20 * time.Millisecond

// retryAfter returns the time after which a request that returns is expected to start before its caller leaves.
func (c *Controller) retryAfter(outlook Outlook, patience time.Duration) time.Duration {
	return max(outlook.YieldingStart-max(patience, 0), c.settings.MinRetryAfter)
}

// key returns the number by which the request is recognized, or zero.
func (r Request) key() uint64 {
	if r.Key == nil {
		return 0
	}
	return r.Key()
}

// InTimeUrgency returns the urgency of contended requests in time with a priority, and LateUrgency that of late ones.
func (c *Controller) InTimeUrgency(group string, priority int) int {
	if state, found := c.groups[group]; found {
		return inTimeUrgencies[state.rankOf(priority)][0]
	}
	return DefaultUrgency
}

// LateUrgency returns the urgency of late requests with a priority.
func (c *Controller) LateUrgency(group string, priority int) int {
	if state, found := c.groups[group]; found {
		return lateUrgencies[state.rankOf(priority)]
	}
	return DefaultUrgency
}

// late reports whether the answer is expected too late only because of other requests. A request that would miss its objective at an idle
// engine is not late, since yielding gains nothing.
func (o Outlook) late(now time.Time, request Request) bool {
	unloaded := o.Start - o.QueueWait
	return request.Objective > 0 && now.Add(o.Start).After(request.Arrived.Add(request.Objective)) && unloaded <= request.Objective
}

// rankOf returns the rank of a priority; unknown ones take that of the next known one.
func (g *groupState) rankOf(priority int) int {
	index, _ := slices.BinarySearch(g.priorities, priority)
	index = min(index, len(g.priorities)-1)
	if len(g.priorities) <= ranks {
		return index
	}
	return index * ranks / len(g.priorities)
}

// floorOf returns the floor of a class.
func (g *groupState) floorOf(of class) *floor {
	found, exists := g.floors[of]
	if !exists {
		found = &floor{}
		g.floors[of] = found
	}
	return found
}

// isLarge reports whether a request belongs to the largest tenth of its priority, and records its size.
func (g *groupState) isLarge(request Request) bool {
	tracker, exists := g.sizes[request.Priority]
	if !exists {
		tracker = &sizeTracker{}
		g.sizes[request.Priority] = tracker
	}
	return tracker.add(request.Tokens)
}
