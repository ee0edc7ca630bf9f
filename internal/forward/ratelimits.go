package forward

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/quota"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/routing"
)

// quotaShares is this gateway's share of the workers' rate limits, including loans from other gateways. It implements balance.QuotaShares
// and is guarded by the mutex of the dispatcher.
type quotaShares struct {
	name string
	// now includes the time while the machine is suspended, because other gateways keep using their shares meanwhile.
	now          func() time.Time
	gateways     *quota.Holders
	loanRequests *quota.LoanRequests
	// loans from other gateways, by worker id.
	loans map[string]*quota.Loans
	// outgoingRequests and outgoingLoans are to be sent to the other gateways.
	outgoingRequests []peersync.LoanRequest
	outgoingLoans    []peersync.Loan
	// loanArrived is closed and replaced when a loan arrives.
	loanArrived chan struct{}
}

// Share implements balance.QuotaShares.
func (h *quotaShares) Share(worker string, perSecond float64) float64 {
	return h.gateways.Share(h.now(), worker, perSecond)
}

// Loans implements balance.QuotaShares.
func (h *quotaShares) Loans(worker string) int {
	if loans := h.loans[worker]; loans != nil {
		return loans.Available(h.now())
	}
	return 0
}

// UseLoan implements balance.QuotaShares.
func (h *quotaShares) UseLoan(worker string) bool {
	loans := h.loans[worker]
	if loans == nil || !loans.Spend(h.now()) {
		return false
	}
	if loans.Available(h.now()) == 0 {
		delete(h.loans, worker)
	}
	return true
}

// ShareLimits divides the workers' rate limits among the gateways that SetHolders names; this gateway has the given name. If it is not
// called, this gateway uses the whole limits. It must be called before the first request.
func (d *Dispatcher) ShareLimits(name string) {
	now := d.retries.now
	d.limits = &quotaShares{
		name: name, now: now, gateways: quota.NewHolders(name, retrybudget.ConfirmationTTL(d.settings.Budget.Window)), loanRequests: quota.NewLoanRequests(now()),
		loans: map[string]*quota.Loans{}, loanArrived: make(chan struct{}),
	}
	d.balancer.ShareLimits(d.limits)
}

// SetHolders sets the names of the gateways that share rate limits.
func (d *Dispatcher) SetHolders(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.updateQuotaGateways(func(gateways *quota.Holders) { gateways.SetGateways(d.retries.now(), names) })
}

// updateQuotaGateways changes the gateways that share rate limits. The mutex is held.
func (d *Dispatcher) updateQuotaGateways(change func(gateways *quota.Holders)) {
	if d.limits == nil {
		return
	}
	// Accrue under the old shares up to now, then start with the new ones.
	d.balancer.AccrueLimits(d.now())
	change(d.limits.gateways)
	d.balancer.AccrueLimits(d.now())
}

// gatewayCount returns how many gateways share limits. The mutex is held.
func (d *Dispatcher) gatewayCount() int {
	if d.limits == nil {
		return 1
	}
	return max(d.limits.gateways.MemberCount(d.limits.now()), 1)
}

// concurrencyShareOf returns this gateway's share of a concurrency limit.
func (d *Dispatcher) concurrencyShareOf(key string, bound int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return bound
	}
	return d.limits.gateways.ConcurrencyShare(d.limits.now(), key, bound)
}

// SetLimit sets the rate limit of a worker, which applies to all gateways together. age is the time since the worker announced it. It
// reports whether the limit has changed.
func (d *Dispatcher) SetLimit(worker string, perSecond float64, age time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	clear(d.saturationCache)
	return d.balancer.SetLimit(now, worker, perSecond, now.Add(-age))
}

// RemoveLimit removes the rate limit of a worker whose response announced none. age is the time since the request was sent; a limit
// announced later is kept. It reports whether a limit was removed.
func (d *Dispatcher) RemoveLimit(worker string, age time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.RemoveLimit(worker, d.now().Add(-age))
}

// AllowHealthCheck takes a health check from the quota of a rate-limited worker, and reports whether the quota allowed it.
func (d *Dispatcher) AllowHealthCheck(worker string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.Spend(d.now(), worker)
}

// Parameters of requests for loans.
const (
	// maxWorkersPerLoanRequest is the maximum number of workers in one request for loans.
	maxWorkersPerLoanRequest = 8
	// requestsPerLoan is the number of requests to borrow per worker, to be used within the lifetime of the loan.
	requestsPerLoan = 16
	// loanWait is how long a request waits for a loan: long enough for a round trip between regions.
	loanWait = 50 * time.Millisecond
)

// borrow asks the other gateways for unused capacity of the rate-limited workers of a group, and reports whether a loan arrived in time. It
// returns false immediately if it asked recently or if no other gateway shares the limits.
func (d *Dispatcher) borrow(ctx context.Context, group *routing.Group) bool {
	loanArrived, requested := d.requestLoans(group)
	if !requested {
		return false
	}
	return arrivesWithin(ctx, loanArrived, loanWait)
}

// requestLoans queues a request for loans. It returns a channel that is closed when a loan arrives, or false if no request was queued.
func (d *Dispatcher) requestLoans(group *routing.Group) (<-chan struct{}, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil || d.peers.notify == nil || d.gatewayCount() == 1 {
		return nil, false
	}
	serial, allowed := d.limits.loanRequests.Start(d.limits.now(), d.gatewayCount())
	if !allowed {
		return nil, false
	}
	workers := d.balancer.OutOfQuota(d.now(), group.Name, runnerRole(group), maxWorkersPerLoanRequest)
	d.limits.outgoingRequests = append(d.limits.outgoingRequests, peersync.LoanRequest{Borrower: d.limits.name, Serial: serial, Workers: workers, MaxRequests: requestsPerLoan})
	d.peers.notify(true)
	return d.limits.loanArrived, true
}

// TakeLoans returns the requests for loans, and the loans, that are to be sent to the other gateways.
func (d *Dispatcher) TakeLoans() ([]peersync.LoanRequest, []peersync.Loan) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return nil, nil
	}
	requests, loans := d.limits.outgoingRequests, d.limits.outgoingLoans
	d.limits.outgoingRequests, d.limits.outgoingLoans = nil, nil
	return requests, loans
}

// ApplyLoans handles requests for loans and loans from another gateway.
func (d *Dispatcher) ApplyLoans(requests []peersync.LoanRequest, loans []peersync.Loan) {
	if len(requests) == 0 && len(loans) == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return
	}
	for _, request := range requests {
		d.lend(request)
	}
	for _, loan := range loans {
		if loan.Borrower == d.limits.name {
			d.acceptLoan(loan)
		}
	}
	if len(d.limits.outgoingLoans) > 0 && d.peers.notify != nil {
		d.peers.notify(true)
	}
}

// lend lends unused capacity to the gateway that asked for it. The mutex is held.
func (d *Dispatcher) lend(request peersync.LoanRequest) {
	for _, worker := range request.Workers[:min(len(request.Workers), maxWorkersPerLoanRequest)] {
		if count := d.balancer.Lend(d.now(), worker, min(request.MaxRequests, requestsPerLoan)); count > 0 {
			d.limits.outgoingLoans = append(d.limits.outgoingLoans, peersync.Loan{
				Borrower: request.Borrower, Serial: request.Serial, Lender: d.limits.name, Worker: worker, Count: count,
			})
		}
	}
}

// acceptLoan adds a loan if it answers the outstanding request. The mutex is held.
func (d *Dispatcher) acceptLoan(loan peersync.Loan) {
	until, accepted := d.limits.loanRequests.Accept(d.limits.now(), loan.Serial, loan.Lender, loan.Worker)
	if !accepted {
		return
	}
	if d.limits.loans[loan.Worker] == nil {
		d.limits.loans[loan.Worker] = &quota.Loans{}
	}
	d.limits.loans[loan.Worker].Add(loan.Count, until)
	clear(d.saturationCache)
	close(d.limits.loanArrived)
	d.limits.loanArrived = make(chan struct{})
}
