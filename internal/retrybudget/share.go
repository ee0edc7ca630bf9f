package retrybudget

import (
	"math"
	"time"
)

// confirmationFraction is the confirmation TTL as a fraction of the window.
const confirmationFraction = 0.7

// freshnessFraction is the maximum age of the membership list as a fraction of the confirmation TTL. The rest allows for
// slow calls and for the delay of lists received from another gateway.
const freshnessFraction = 0.6

// MaxListAge returns how stale the membership list may become without losing the share: 4.2 s for a window of 10 s.
func MaxListAge(window time.Duration) time.Duration {
	return time.Duration(freshnessFraction * confirmationFraction * float64(window))
}

// Share is this gateway's share of the common allowance. It is not safe for concurrent use.
//
// The share is 1/n for the largest recent number of gateways n, and 0 while other gateways may not have read the
// registration of this one. A
// gateway that starts or returns waits until every other gateway that still has a share has read its registration in
// the store. A gateway that cannot confirm its registration gives up its share before the others divide by fewer. So a
// partition never makes a share larger.
type Share struct {
	window       time.Duration
	gatewayCount int
	// pendingCount replaces gatewayCount at pendingAt, if it is smaller.
	pendingCount int
	pendingAt    time.Time
	// countSince is when gatewayCount last changed.
	countSince time.Time
	// confirmedSince is the start of the uninterrupted confirmations of the registration, and lastConfirmed the last
	// one.
	confirmedSince, lastConfirmed time.Time
}

// NewShare returns the share of a gateway that is not registered yet.
func NewShare(window time.Duration) *Share {
	return &Share{window: window, gatewayCount: 1, pendingCount: 1}
}

// confirmationTTL is how long a confirmation remains valid.
func (s *Share) confirmationTTL() time.Duration { return ConfirmationTTL(s.window) }

// ConfirmationTTL returns how long a confirmation remains valid: 7 s for a window of 10 s.
func ConfirmationTTL(window time.Duration) time.Duration {
	return time.Duration(confirmationFraction * float64(window))
}

// ConfirmFirstStart confirms the registration in a new fleet, in which no gateway uses an older list. A share that was
// never confirmed then applies at once, and the returned fraction of the total storable credit is what its budgets start
// with; otherwise it is 0.
//
// The fractions of all gateways sum to at most 1: the k-th gateway to register sees at least k gateways and starts with
// at most 1/(k(k+1)). 1/k would exceed the allowance, as gateways that registered earlier may have spent what they stored
// under larger shares.
func (s *Share) ConfirmFirstStart(at time.Time) float64 {
	if !s.confirmedSince.IsZero() {
		s.Confirm(at)
		return 0
	}
	s.confirmedSince, s.lastConfirmed = at.Add(-s.confirmationTTL()), at
	return 1 / float64(s.gatewayCount*(s.gatewayCount+1))
}

// SetWindow changes the window.
func (s *Share) SetWindow(window time.Duration) { s.window = window }

// SetGatewayCount sets the number of gateways that divide the allowance. A decrease takes effect later: the last
// confirmation of a gateway that left the list remains valid for one confirmation TTL, and it may be listed again
// unnoticed for another.
func (s *Share) SetGatewayCount(now time.Time, gatewayCount int) {
	gatewayCount = max(gatewayCount, 1)
	s.applyPending(now)
	switch {
	case gatewayCount > s.gatewayCount:
		s.gatewayCount, s.pendingCount, s.countSince = gatewayCount, gatewayCount, now
	case gatewayCount == s.gatewayCount:
		s.pendingCount = gatewayCount
	case gatewayCount != s.pendingCount:
		s.pendingCount, s.pendingAt = gatewayCount, now.Add(2*s.confirmationTTL())
	}
}

// applyPending applies a pending decrease when it is due.
func (s *Share) applyPending(now time.Time) {
	if s.pendingCount != s.gatewayCount && !now.Before(s.pendingAt) {
		s.gatewayCount, s.countSince = s.pendingCount, s.pendingAt
	}
}

// Confirm records that, as of the given time, the store held the registration of this gateway and the membership list
// contained all changes made until then.
func (s *Share) Confirm(at time.Time) {
	if s.confirmedSince.IsZero() || at.Sub(s.lastConfirmed) > s.confirmationTTL() {
		s.confirmedSince = at
	}
	if at.After(s.lastConfirmed) {
		s.lastConfirmed = at
	}
}

// GatewayCount returns the number of gateways that divide the allowance.
func (s *Share) GatewayCount(now time.Time) int {
	s.applyPending(now)
	return s.gatewayCount
}

// At returns the share at the given time.
func (s *Share) At(now time.Time) float64 {
	s.applyPending(now)
	// The registration must have lasted for a confirmation TTL: a shorter one may go unnoticed.
	if s.confirmedSince.IsZero() || now.Sub(s.confirmedSince) < s.confirmationTTL() ||
		s.lastConfirmed.Sub(s.confirmedSince) < s.confirmationTTL() || now.Sub(s.lastConfirmed) > s.confirmationTTL() {
		return 0
	}
	return 1 / float64(s.gatewayCount)
}

// Since returns when the share at the given time took effect, or that time if there is no share.
func (s *Share) Since(now time.Time) time.Time {
	if s.At(now) == 0 {
		return now
	}
	effectiveSince := s.confirmedSince.Add(s.confirmationTTL())
	if s.countSince.After(effectiveSince) {
		effectiveSince = s.countSince
	}
	return effectiveSince
}

// entriesFraction is the fraction of the allowance that goes to the entries while there are standby gateways. The rest is
// for callers that reach a standby gateway at an old address.
const entriesFraction = 0.75

// EffectiveGatewayCount returns the number n for which 1/n is the share of a standby gateway or of an entry, given the
// number of entries and the total number of serving gateways. The shares of all gateways sum to at most 1.
func EffectiveGatewayCount(standby bool, entries, total int) int {
	switch {
	case entries >= total:
		return total
	case standby:
		return int(math.Ceil(float64(total-entries) / (1 - entriesFraction)))
	default:
		return int(math.Ceil(float64(entries) / entriesFraction))
	}
}
