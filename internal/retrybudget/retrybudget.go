// Package retrybudget limits how often all gateways together retry requests at workers. Each gateway earns credit for
// retries on its own, without coordination: a fraction of a retry for each request that it receives, and over time its
// share of an allowance that all gateways have in common.
//
// Unspent credit is stored up to a capacity and lost when the process ends, so that a process needs no knowledge of
// what was spent before it started: the retries in a window are at most the credit stored at its start plus what is
// earned within it, whichever processes start and stop meanwhile.
package retrybudget

import (
	"time"
)

// Settings configures a budget.
type Settings struct {
	// Ratio is the allowed ratio of retries to requests within a window.
	Ratio float64
	// Allowance is the number of retries within a window, in addition to Ratio, that all gateways share.
	Allowance float64
	// Window is the interval in which requests and retries are counted.
	Window time.Duration
	// Safety is the fraction of Ratio and Allowance that is earned, at most 1.
	Safety float64
}

// DefaultSafety keeps retries within Ratio and Allowance although credit earned before a window may be spent in it, and
// retries may arrive some time after they were granted. At a steady load the credit from before is a fifth of the ratio:
// 0.8 of 1.2 is 0.96.
const DefaultSafety = 0.8

const (
	// storedFraction is the fraction of the allowance that may be stored; the rest is earned over a window. A larger
	// value absorbs larger bursts of failures but takes longer to refill: 0.8 takes four windows.
	storedFraction = 0.5
	// capacitySlots is how many slots, in addition to the current one, count requests towards the capacity. With
	// the current slot, they cover 2 s of a window of 10 s. A larger value absorbs larger bursts but requires a lower
	// Safety, which limits sustained retries. A gateway that has just started, without a share, stores a whole retry
	// from about 3 requests per second on.
	capacitySlots  = 19
	slotsPerWindow = 100
)

// Budget holds the retry credit of one gateway for one group. It is not safe for concurrent use.
//
// Invariant: the retries in any window are at most Safety × (Allowance × the largest share in it + Ratio × the
// gateway's requests from capacitySlots + 1 slots before the window to its end). The sum over gateways and over
// successive processes is bounded in the same way, as long as the shares never add up to more than 1.
type Budget struct {
	settings Settings
	// credits is the number of retries earned up to updatedAt, with the given share of the allowance.
	credits   float64
	updatedAt time.Time
	share     float64
	// requests is a ring of request counts per slot; currentSlot counts slots since the Unix epoch.
	requests    [capacitySlots + 1]int
	currentSlot int64
	// granted and denied count retries since the start of the process.
	granted, denied int
}

// View is a snapshot of a budget.
type View struct {
	// Granted and Denied count retries since the start of the process.
	Granted, Denied int
	// Left is the number of retries left.
	Left float64
	// Share is the gateway's current share of the allowance.
	Share float64
}

// New returns a budget without credit.
func New(settings Settings) *Budget { return &Budget{settings: settings} }

// SetSettings replaces the settings. Credit is kept up to the new capacity.
func (b *Budget) SetSettings(now time.Time, settings Settings) {
	b.Accrue(now, b.share)
	if settings.Window != b.settings.Window {
		// Counts in slots of another length cannot be converted.
		b.requests = [capacitySlots + 1]int{}
	}
	b.settings = settings
	b.Accrue(now, b.share)
}

// View returns a snapshot of the budget.
func (b *Budget) View(now time.Time, share float64) View {
	b.Accrue(now, share)
	return View{Granted: b.granted, Denied: b.denied, Left: b.credits, Share: b.share}
}

// CountRequest counts a request from a caller. The share is the current one.
func (b *Budget) CountRequest(now time.Time, share float64) {
	b.Accrue(now, share)
	b.requests[b.currentSlot%int64(len(b.requests))]++
	b.credits += b.settings.Safety * b.settings.Ratio
}

// Check reports whether there is a retry in the budget. If not, it counts as denied.
func (b *Budget) Check(now time.Time, share float64) bool {
	b.Accrue(now, share)
	if b.credits < 1 {
		b.denied++
		return false
	}
	return true
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time, share float64) bool {
	if !b.Check(now, share) {
		return false
	}
	b.granted++
	b.credits--
	return true
}

// AddInitialCredit adds a fraction of the storable part of the whole allowance, up to the capacity of the budget.
func (b *Budget) AddInitialCredit(now time.Time, share, fraction float64) {
	b.Accrue(now, share)
	b.credits = min(b.credits+b.allowance(fraction)*storedFraction, b.capacity())
}

// Accrue adds the credit earned up to now. Call it whenever the share changes: between two calls the smaller share
// applies.
func (b *Budget) Accrue(now time.Time, share float64) {
	if !b.updatedAt.IsZero() {
		elapsed := min(max(now.Sub(b.updatedAt), 0), b.settings.Window)
		b.credits += b.allowance(min(share, b.share)) * (1 - storedFraction) * float64(elapsed) / float64(b.settings.Window)
	}
	b.share = share
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
	b.advanceSlots(now)
	b.credits = min(b.credits, b.capacity())
}

// allowance returns the retries per window that a share of the allowance permits.
func (b *Budget) allowance(share float64) float64 {
	return b.settings.Safety * b.settings.Allowance * share
}

// capacity returns the maximum credit.
func (b *Budget) capacity() float64 {
	requests := 0
	for _, count := range b.requests {
		requests += count
	}
	return b.allowance(b.share)*storedFraction + b.settings.Safety*b.settings.Ratio*float64(requests)
}

// advanceSlots moves the ring to the current slot and clears the slots in between.
func (b *Budget) advanceSlots(now time.Time) {
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
