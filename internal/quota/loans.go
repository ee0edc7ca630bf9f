package quota

import "time"

// loanTTL is how long after the loan request a loan may be used and answers are accepted. The lender counts lent requests
// as sent, so any window may contain the requests of a window that is longer by loanTTL.
const loanTTL = 500 * time.Millisecond

// Intervals between loan requests. The interval doubles while nothing is lent, since no gateway may have
// requests to spare. Each loan request goes to every gateway that takes requests, so the maximum grows with their number
// to bound the traffic: 64 gateways that all lack requests send each other 32 datagrams of about 200 bytes per second.
const (
	initialRequestInterval    = 100 * time.Millisecond
	maxRequestInterval        = loanTTL / 2
	requestIntervalPerGateway = 30 * time.Millisecond
)

// LoanRequests tracks the requests of this gateway for loans. It is a pure state machine and not safe for concurrent use.
//
// Invariant: a loan is used at most once, within loanTTL of the loan request that it answers. A lost answer loses the
// loan; answers that are late, duplicated or meant for an earlier process of this gateway are rejected.
type LoanRequests struct {
	// serial and requestedAt describe the last loan request; answered holds the answers accepted for it, one per lender and
	// limit.
	serial      int64
	requestedAt time.Time
	answered    map[answer]bool
	interval    time.Duration
}

// answer identifies the loan of one lender for one limit.
type answer struct{ lender, key string }

// NewLoanRequests returns the state of a process that starts now. Its serials are greater than those of earlier processes.
func NewLoanRequests(now time.Time) *LoanRequests {
	return &LoanRequests{serial: now.UnixNano(), answered: map[answer]bool{}}
}

// Start starts a loan request to the given number of gateways and returns its serial, or false if it is too early.
func (a *LoanRequests) Start(now time.Time, gateways int) (int64, bool) {
	if !a.requestedAt.IsZero() && now.Sub(a.requestedAt) < a.interval {
		return 0, false
	}
	if len(a.answered) > 0 || a.interval == 0 {
		a.interval = initialRequestInterval
	} else {
		a.interval = min(2*a.interval, max(maxRequestInterval, time.Duration(gateways)*requestIntervalPerGateway))
	}
	a.serial, a.requestedAt = a.serial+1, now
	clear(a.answered)
	return a.serial, true
}

// Accept returns when a loan that answers a loan request expires, or false if the loan must not be used.
func (a *LoanRequests) Accept(now time.Time, serial int64, lender, key string) (time.Time, bool) {
	expiry := a.requestedAt.Add(loanTTL)
	if serial != a.serial || a.requestedAt.IsZero() || !now.Before(expiry) || a.answered[answer{lender, key}] {
		return time.Time{}, false
	}
	a.answered[answer{lender, key}] = true
	return expiry, true
}

// Lend takes up to wanted requests from the quota for another gateway and returns how many it took.
func (q *Quota) Lend(now time.Time, share float64, wanted int) int {
	lent := 0
	for lent < wanted && q.Spend(now, share) {
		lent++
	}
	return lent
}

// Loans holds the requests of one limit that other gateways have lent. The zero value is empty.
type Loans struct{ expiries []time.Time }

// Add adds requests that may be used until expiry.
func (l *Loans) Add(count int, expiry time.Time) {
	for range min(count, maxLoanSize) {
		l.expiries = append(l.expiries, expiry)
	}
}

// maxLoanSize bounds the requests accepted from one answer, which is input from another process.
const maxLoanSize = 64

// Available returns how many lent requests may be used now.
func (l *Loans) Available(now time.Time) int {
	for len(l.expiries) > 0 && !now.Before(l.expiries[0]) {
		l.expiries = l.expiries[1:]
	}
	return len(l.expiries)
}

// Spend uses one lent request and reports whether there was one.
func (l *Loans) Spend(now time.Time) bool {
	if l.Available(now) == 0 {
		return false
	}
	l.expiries = l.expiries[1:]
	return true
}
