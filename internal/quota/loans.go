package quota

import "time"

// LoanLife is how long after it was asked for a loan may be used, and answers count: a request that wants it is there, and what is lent passes
// for used at the lender. Windows of the sum grow by as much.
const loanTTL = 500 * time.Millisecond

// Pauses between two questions for loans. They double while nothing is lent: where all gateways lack requests nobody has any to lend. Each
// question goes to all that take requests, so that the longest pause grows with them: 64 that all lack requests send each other 32 datagrams
// of some 200 bytes a second.
const (
	initialAskInterval    = 100 * time.Millisecond
	maxAskInterval        = loanTTL / 2
	askIntervalPerGateway = 30 * time.Millisecond
)

// Asks are the questions of this gateway for loans. It is a pure state machine and not safe for concurrent use.
//
// Invariant: what is lent is used once at the most, within LoanLife of the question that it answers, whatever becomes of messages: one that is
// lost loses it, and one that comes late, twice, or to the next life of the one that asked is not taken.
type Asks struct {
	// serial is that of the last question, asked when it was; the lenders of which it was answered are kept, each once for each bound.
	serial   int64
	askedAt  time.Time
	answered map[answer]bool
	interval time.Duration
}

// answer names what one lender lends of one bound.
type answer struct{ lender, key string }

// NewAsks returns the questions of a process that begins at a moment. Their serials are above those of processes before it.
func NewAsks(now time.Time) *Asks { return &Asks{serial: now.UnixNano(), answered: map[answer]bool{}} }

// Ask begins a question to so many gateways and returns its serial, or false while it is too early for another one.
func (a *Asks) Ask(now time.Time, gateways int) (int64, bool) {
	if !a.askedAt.IsZero() && now.Sub(a.askedAt) < a.interval {
		return 0, false
	}
	if len(a.answered) > 0 || a.interval == 0 {
		a.interval = initialAskInterval
	} else {
		a.interval = min(2*a.interval, max(maxAskInterval, time.Duration(gateways)*askIntervalPerGateway))
	}
	a.serial, a.askedAt = a.serial+1, now
	clear(a.answered)
	return a.serial, true
}

// Answer tells until when a loan may be used that answers a question, or false if it may not.
func (a *Asks) Answer(now time.Time, serial int64, lender, key string) (time.Time, bool) {
	expiry := a.askedAt.Add(loanTTL)
	if serial != a.serial || a.askedAt.IsZero() || !now.Before(expiry) || a.answered[answer{lender, key}] {
		return time.Time{}, false
	}
	a.answered[answer{lender, key}] = true
	return expiry, true
}

// Lend takes up to so many requests from the quota for another gateway, and returns how many.
func (q *Quota) Lend(now time.Time, share float64, wanted int) int {
	lent := 0
	for lent < wanted && q.Spend(now, share) {
		lent++
	}
	return lent
}

// Loans are requests of one bound that other gateways have lent. The zero value has none.
type Loans struct{ expiries []time.Time }

// Add takes requests that may be used until a moment.
func (l *Loans) Add(count int, expiry time.Time) {
	for range min(count, maxLoanSize) {
		l.expiries = append(l.expiries, expiry)
	}
}

// mostLent bounds what one answer lends, as it comes from another process.
const maxLoanSize = 64

// Left returns how many may be used now.
func (l *Loans) Left(now time.Time) int {
	for len(l.expiries) > 0 && !now.Before(l.expiries[0]) {
		l.expiries = l.expiries[1:]
	}
	return len(l.expiries)
}

// Spend uses one, and tells whether there was one.
func (l *Loans) Spend(now time.Time) bool {
	if l.Left(now) == 0 {
		return false
	}
	l.expiries = l.expiries[1:]
	return true
}
