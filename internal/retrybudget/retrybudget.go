// Package retrybudget bounds how often all gateways together send requests to a worker once more. Each gateway earns repeats: a part
// of one with each request that it is asked itself, and its share of the allowance that all have in common, bit by bit as time passes.
// No messages are needed.
//
// What was earned is kept up to a bound, and dies with the process. So no process has to know what was spent before it began: the
// repeats of a window are at most what was kept when it began and what was earned within, whoever came and went meanwhile.
package retrybudget

import (
	"time"
)

// Settings of a budget.
type Settings struct {
	// Ratio of repeats to requests that is allowed within a window.
	Ratio float64
	// Allowance of repeats within a window that all gateways have in common.
	Allowance float64
	// Window in which requests and repeats are counted.
	Window time.Duration
	// Safety is the part of both that is earned, below 1.
	Safety float64
}

// DefaultSafety leaves room for what is kept of requests of before the window, a fifth of the ratio at a steady load, and for repeats
// that arrive some tenths of a second later than they were granted: 0.8 of 1.2 is 0.96.
const DefaultSafety = 0.8

const (
	// keptAllowance is the part of the allowance that may be kept; the rest is earned over a window. More would bear a larger burst
	// of failures, and take longer to be kept again: 0.8 and 0.2 four windows.
	storedFraction = 0.5
	// keptSlots are the slots, of which a window has slotsPerWindow, whose requests still count for what is kept: 2 s of 10 with the
	// one that is under way. More bears a larger burst and, as Safety has to make room for it, less of a lasting need. A gateway that
	// has just begun, without a share, has a whole repeat from some 3 requests a second on.
	capacitySlots  = 19
	slotsPerWindow = 100
)

// Budget counts what one gateway has earned for one group. It is not safe for concurrent use.
//
// Invariant: the repeats of any window are at most Safety × (Allowance × the largest share in it + Ratio × own requests from
// keptSlots + 1 slots before the window to its end). The sum over gateways, and over processes that follow each other, is bounded in
// the same way, as long as the shares of each moment are 1 together at the most.
type Budget struct {
	settings Settings
	// credits were earned until at, with a share of the allowance.
	credits   float64
	updatedAt time.Time
	share     float64
	// requests is a ring of slots; index counts slots since the zero time.
	requests    [capacitySlots + 1]int
	currentSlot int64
	// granted and denied count since the start.
	granted, denied int
}

// View is what a budget shows of itself.
type View struct {
	// Granted and Denied repeats since the start.
	Granted, Denied int
	// Left is how many repeats are left.
	Left float64
	// Share of the allowance that is earned at the moment.
	Share float64
}

// New returns a budget that has earned nothing.
func New(settings Settings) *Budget { return &Budget{settings: settings} }

// SetSettings replaces the bounds. What was earned stays, up to the new bound of what is kept.
func (b *Budget) SetSettings(now time.Time, settings Settings) {
	b.Earn(now, b.share)
	if settings.Window != b.settings.Window {
		// Slots of another length can't be told apart.
		b.requests = [capacitySlots + 1]int{}
	}
	b.settings = settings
	b.Earn(now, b.share)
}

// View returns what the budget shows of itself.
func (b *Budget) View(now time.Time, share float64) View {
	b.Earn(now, share)
	return View{Granted: b.granted, Denied: b.denied, Left: b.credits, Share: b.share}
}

// CountRequest notes a request that a caller sent. The share is that of this moment.
func (b *Budget) CountRequest(now time.Time, share float64) {
	b.Earn(now, share)
	b.requests[b.currentSlot%int64(len(b.requests))]++
	b.credits += b.settings.Safety * b.settings.Ratio
}

// Spend takes one repeat from the budget, and tells whether there was one.
func (b *Budget) Spend(now time.Time, share float64) bool {
	b.Earn(now, share)
	if b.credits < 1 {
		b.denied++
		return false
	}
	b.granted++
	b.credits--
	return true
}

// Begin has the budget keep a part of all that may be kept of the allowance, up to its own share of that.
func (b *Budget) Begin(now time.Time, share, fraction float64) {
	b.Earn(now, share)
	b.credits = min(b.credits+b.allowance(fraction)*storedFraction, b.capacity())
}

// Earn takes what has been earned until now. It is called whenever the share changes: between two calls the smaller one counts.
func (b *Budget) Earn(now time.Time, share float64) {
	if !b.updatedAt.IsZero() {
		elapsed := min(max(now.Sub(b.updatedAt), 0), b.settings.Window)
		b.credits += b.allowance(min(share, b.share)) * (1 - storedFraction) * float64(elapsed) / float64(b.settings.Window)
	}
	b.share = share
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
	b.advance(now)
	b.credits = min(b.credits, b.capacity())
}

// allowance is what a share of the allowance is worth in a window.
func (b *Budget) allowance(share float64) float64 {
	return b.settings.Safety * b.settings.Allowance * share
}

// most is how much may be kept.
func (b *Budget) capacity() float64 {
	requests := 0
	for _, count := range b.requests {
		requests += count
	}
	return b.allowance(b.share)*storedFraction + b.settings.Safety*b.settings.Ratio*float64(requests)
}

// advance moves the ring to the slot of now and empties the slots in between.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.settings.Window/slotsPerWindow)
	if slot <= b.currentSlot {
		return
	}
	oldest := max(b.currentSlot+1, slot-int64(len(b.requests))+1)
	for cleared := oldest; cleared <= slot; cleared++ {
		b.requests[cleared%int64(len(b.requests))] = 0
	}
	b.currentSlot = slot
}
