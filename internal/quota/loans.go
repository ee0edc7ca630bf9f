package quota

import "time"

// loanTTL is how long after the loan request a loan may be used and responses are accepted. The lender counts lent
// requests as sent, so a window may also contain requests that were lent up to loanTTL before it.
const loanTTL = 500 * time.Millisecond

// Intervals between loan requests. The interval doubles while nothing is lent, since there may be no gateway with unused
// requests. Each loan request goes to every gateway that takes requests, so the maximum grows with their number to bound
// the traffic: it is maxRequestInterval, or requestIntervalPerGateway times their number if that is longer.
const (
	initialRequestInterval    = 100 * time.Millisecond
	maxRequestInterval        = loanTTL / 2
	requestIntervalPerGateway = 30 * time.Millisecond
)

// LoanRequests tracks the requests of this gateway for loans. It is a pure state machine and not safe for concurrent use.
//
// Invariant: a loan is used at most once, within loanTTL of its loan request. A lost response loses the loan; responses
// that are late, duplicated or meant for an earlier process of this gateway are rejected.
type LoanRequests struct {
	// serial and requestedAt describe the last loan request; accepted holds the responses accepted for it, one per lender
	// and limit. interval is the minimum time between two loan requests.
	serial      int64
	requestedAt time.Time
	accepted    map[response]bool
	interval    time.Duration
}

// response identifies the response of one lender for one limit.
type response struct{ lender, key string }

// NewLoanRequests returns the state of a process that starts now. Its serials are greater than those of earlier processes.
func NewLoanRequests(now time.Time) *LoanRequests {
	return &LoanRequests{serial: now.UnixNano(), accepted: map[response]bool{}}
}

// Start starts a loan request to the given number of gateways and returns its serial, or false if it is too early.
func (r *LoanRequests) Start(now time.Time, gateways int) (int64, bool) {
	if !r.requestedAt.IsZero() && now.Sub(r.requestedAt) < r.interval {
		return 0, false
	}
	if len(r.accepted) > 0 || r.interval == 0 {
		r.interval = initialRequestInterval
	} else {
		r.interval = min(2*r.interval, max(maxRequestInterval, time.Duration(gateways)*requestIntervalPerGateway))
	}
	r.serial, r.requestedAt = r.serial+1, now
	clear(r.accepted)
	return r.serial, true
}

// Accept records the response of a lender to a loan request. It returns when the loan expires, or false if the loan must
// not be used.
func (r *LoanRequests) Accept(now time.Time, serial int64, lender, key string) (time.Time, bool) {
	expiry := r.requestedAt.Add(loanTTL)
	if serial != r.serial || r.requestedAt.IsZero() || !now.Before(expiry) || r.accepted[response{lender, key}] {
		return time.Time{}, false
	}
	r.accepted[response{lender, key}] = true
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

// maxLoanSize bounds the requests accepted from one response, which is input from another process.
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
