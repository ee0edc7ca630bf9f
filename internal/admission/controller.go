package admission

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Settings configure a Controller.
type Settings struct {
	// Margin is the fraction of the objective within which an answer is expected that counts as in time although it waits for a slot.
	// Otherwise the queue of requests in time grows to just the length at which about half of them are late.
	Margin float64
	// FloorShare is the share of the tokens of each class that starts with the urgency of the most urgent class, so that no class starves.
	FloorShare float64
	// ShareSlack is how many times its fair share of the tokens a tenant may use before its requests are ordered behind those of others.
	ShareSlack float64
	// ShareWindow is the time over which the tokens of tenants are counted.
	ShareWindow time.Duration
	// MaxWaitFraction is the fraction of the time until its caller leaves for which a request waits at the gateway.
	MaxWaitFraction float64
	// MinRetryAfter is the shortest Retry-After time, and MaxRetryFraction the longest as a fraction of the time of the request that is left.
	// Callers don't wait longer.
	MinRetryAfter    time.Duration
	MaxRetryFraction float64
	// PromisedShare is the share of the slots that become free that is promised to callers who return.
	PromisedShare float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Margin: 0.8, FloorShare: 0.1, ShareSlack: 2, ShareWindow: 3 * time.Second, MaxWaitFraction: 0.25, MinRetryAfter: 150 * time.Millisecond,
		MaxRetryFraction: 0.33, PromisedShare: 0.1,
	}
}

// The urgencies of contended requests by the rank of their priorities. A tenant that exceeds its share takes the second one.
var (
	inTimeUrgencies = [ranks][2]int{{1, 2}, {3, 4}, {5, 6}, {7, 7}}
	lateUrgencies   = [ranks]int{8, 8, 9, 9}
)

// ranks is the number of ranks into which the priorities of a group are divided.
const ranks = 4

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
	priorities []Priority
	floors     map[class]*floor
	sizes      map[Priority]*sizeTracker
	usage      *tenantUsage
	promises   returnPromises
	// queued is what this gateway has at the queues of the engines, and peers what the others have.
	queued    queues
	peers     map[string]*peerCounts
	decayedAt time.Time
	// orderedAt is when a request was last ordered here because there was no room for it or it was late.
	orderedAt time.Time
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
func (c *Controller) SetPriorities(priorities map[string][]Priority) {
	for group := range c.groups {
		if len(priorities[group]) < 2 {
			delete(c.groups, group)
		}
	}
	for group, used := range priorities {
		used = slices.Compact(slices.SortedFunc(slices.Values(used), Priority.Compare))
		if len(used) < 2 {
			delete(c.groups, group)
			continue
		}
		state, found := c.groups[group]
		if !found {
			state = &groupState{
				floors: map[class]*floor{}, sizes: map[Priority]*sizeTracker{},
				usage: newTenantUsage(c.settings.ShareWindow),
			}
			c.groups[group] = state
		}
		state.priorities = used
		maps.DeleteFunc(state.sizes, func(priority Priority, _ *sizeTracker) bool { return !slices.Contains(used, priority) })
	}
}

// Controls reports whether the configuration of a group distinguishes priorities.
func (c *Controller) Controls(group string) bool { return c.groups[group] != nil }

// maxRequestTokens bounds the work of one request, since callers name its tokens.
const maxRequestTokens = 1 << 24

// Decide decides on a request. The caller must place the request if the decision is a Start.
func (c *Controller) Decide(now time.Time, request Request, outlook Outlook) Decision {
	group, found := c.groups[request.Group]
	if !found {
		return Start{Urgency: DefaultUrgency}
	}
	request.Tokens = min(max(request.Tokens, 1), maxRequestTokens)
	large := group.isLarge(request)
	decision := c.decide(now, group, request, outlook, large)
	switch decision.(type) {
	case Start:
		group.usage.add(now, request.Tenant, request.Tokens)
	case Refuse:
		group.countRefused(now)
	}
	return decision
}

// decide is Decide for a controlled group.
func (c *Controller) decide(now time.Time, group *groupState, request Request, outlook Outlook, large bool) Decision {
	full := !outlook.FreeAt.IsZero()
	late := outlook.late(now, request, c.margin(full))
	if !full && !late {
		return group.startUncontended(now, request.Priority)
	}
	group.orderedAt = now
	rank := group.rankOf(request.Priority)
	start := func(urgency int, why string) Decision {
		return Start{Urgency: urgency, Reason: fmt.Sprintf("%s: %s", request.Priority, why)}
	}
	if late && !request.Committed && group.promises.redeem(now, request.key) {
		return start(inTimeUrgencies[rank][1], "its caller returned when told")
	}
	if group.floorOf(class{rank: rank, late: late, large: large}).take(request.Tokens, c.settings.FloorShare) {
		return start(inTimeUrgencies[0][0], "within the floor that is kept for its class")
	}
	if late && full && !request.Committed {
		if decision := c.holdBack(now, group, request, outlook); decision != nil {
			return decision
		}
	}
	switch {
	case late:
		return start(lateUrgencies[rank], "it is late because of others and yields to requests in time")
	case group.usage.exceedsShare(now, request.Tenant, c.settings.ShareSlack):
		return start(inTimeUrgencies[rank][1], "its tenant exceeds its share")
	default:
		return start(inTimeUrgencies[rank][0], "in time although slots are taken")
	}
}

// startUncontended returns the decision for a request for which there is room. While others are ordered it has the urgency of its rank, so
// that none is preempted by a less urgent one when the memory of its engine runs out.
func (g *groupState) startUncontended(now time.Time, priority Priority) Start {
	g.decay(now)
	if !g.contended(now) {
		return Start{Urgency: DefaultUrgency}
	}
	return Start{Urgency: inTimeUrgencies[g.rankOf(priority)][0], Reason: fmt.Sprintf("%s: other requests of the group are ordered", priority)}
}

// holdBack returns a Wait or a Refuse for a late request whose plan has no free slot, or nil to start it.
func (c *Controller) holdBack(now time.Time, group *groupState, request Request, outlook Outlook) Decision {
	patience := request.Deadline.Sub(now)
	refused := outlook.YieldingStart > patience
	unloaded := outlook.Start - outlook.QueueWait
	wait := min(outlook.QueueWait-unloaded, time.Duration(c.settings.MaxWaitFraction*float64(patience)))
	waits := !request.Waited && outlook.Prefills && wait >= minWait
	if !refused && !waits || outlook.SlotFree != nil && outlook.SlotFree() {
		return nil
	}
	if refused {
		return Refuse{RetryAfter: c.retryAfter(now, group, request, outlook), Reason: fmt.Sprintf(
			"its answer is expected to start after %d ms, but its caller leaves after %d ms",
			outlook.YieldingStart.Milliseconds(), patience.Milliseconds())}
	}
	return Wait{Until: now.Add(wait), Reason: fmt.Sprintf(
		"no slot is expected to be free for %d ms, and prefilling its prompt takes %d ms", outlook.QueueWait.Milliseconds(), unloaded.Milliseconds())}
}

// minWait is the shortest wait that is worth another decision.
const minWait = 20 * time.Millisecond

// retryAfter returns the time after which a request that returns is expected to start before its caller leaves, and promises room to as many
// callers as PromisedShare allows. Callers without a promise are told times up to the longest that they wait.
func (c *Controller) retryAfter(now time.Time, group *groupState, request Request, outlook Outlook) time.Duration {
	longest := max(time.Duration(c.settings.MaxRetryFraction*float64(request.Expires.Sub(now))), c.settings.MinRetryAfter)
	wanted := min(max(outlook.YieldingStart-max(request.Deadline.Sub(now), 0), c.settings.MinRetryAfter), longest)
	interval := time.Duration(float64(outlook.SlotInterval) / c.settings.PromisedShare)
	if at, promised := group.promises.reserve(now, now.Add(wanted), now.Add(longest), interval, request.key); promised {
		return at.Sub(now)
	}
	return wanted + time.Duration(hashFraction(request.ID)*float64(longest-wanted))
}

// PromiseReturn returns the time after which the caller of a request that all tried engines refused should return, and promises it room then.
// It returns false for groups that are not controlled.
func (c *Controller) PromiseReturn(now time.Time, request Request, slotInterval time.Duration) (time.Duration, bool) {
	group, found := c.groups[request.Group]
	if !found {
		return 0, false
	}
	group.countRefused(now)
	return c.retryAfter(now, group, request, Outlook{SlotInterval: slotInterval}), true
}

// hashFraction returns a pseudo-random number in [0, 1) that depends only on the id.
func hashFraction(id string) float64 {
	const parts = 1 << 16
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return float64(digest.Sum64()%parts) / parts
}

// key returns the number by which the request is recognized, or zero.
func (r Request) key() uint64 {
	if r.Key == nil {
		return 0
	}
	return r.Key()
}

// InTimeUrgency returns the urgency of contended requests in time with a priority; DefaultUrgency for groups that are not controlled.
func (c *Controller) InTimeUrgency(group string, priority Priority) int {
	if state, found := c.groups[group]; found {
		return inTimeUrgencies[state.rankOf(priority)][0]
	}
	return DefaultUrgency
}

// LateUrgency returns the urgency of late requests with a priority; DefaultUrgency for groups that are not controlled.
func (c *Controller) LateUrgency(group string, priority Priority) int {
	if state, found := c.groups[group]; found {
		return lateUrgencies[state.rankOf(priority)]
	}
	return DefaultUrgency
}

// margin returns the fraction of the objective that counts as in time.
func (c *Controller) margin(full bool) float64 {
	if full {
		return c.settings.Margin
	}
	return 1
}

// late reports whether the answer is expected after a fraction of the objective only because of other requests. A request that would miss its
// objective at an idle engine is not late, since yielding gains nothing.
func (o Outlook) late(now time.Time, request Request, margin float64) bool {
	unloaded := o.Start - o.QueueWait
	latest := request.Arrived.Add(time.Duration(margin * float64(request.Objective)))
	return request.Objective > 0 && now.Add(o.Start).After(latest) && unloaded <= request.Objective
}

// rankOf returns the rank of a priority; unknown ones take that of the next known one.
func (g *groupState) rankOf(priority Priority) int {
	index, _ := slices.BinarySearchFunc(g.priorities, priority, Priority.Compare)
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
