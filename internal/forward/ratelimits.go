package forward

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/quota"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/routing"
)

// limitShare is what this gateway holds of what workers with limits take, and what others have lent it. It implements balance.Holdings, and is
// guarded by the mutex of the dispatcher.
type limitHoldings struct {
	name string
	// now goes on while the machine sleeps, as what others may do does.
	now     func() time.Time
	holders *quota.Holders
	asks    *quota.Asks
	// loans are those of other gateways, by the ids of the workers.
	loans map[string]*quota.Loans
	// toAsk and toLend are to be told to the others.
	outgoingAsks  []loadshare.Ask
	outgoingLoans []loadshare.Loan
	// lent is closed when a loan comes.
	loanArrived chan struct{}
}

// Part is part of balance.Holdings.
func (s *limitHoldings) Part(worker string, perSecond float64) float64 {
	return s.holders.Part(s.now(), worker, perSecond)
}

// Lent is part of balance.Holdings.
func (s *limitHoldings) Lent(worker string) int {
	if loans := s.loans[worker]; loans != nil {
		return loans.Left(s.now())
	}
	return 0
}

// UseLent is part of balance.Holdings.
func (s *limitHoldings) UseLent(worker string) bool {
	loans := s.loans[worker]
	if loans == nil || !loans.Spend(s.now()) {
		return false
	}
	if loans.Left(s.now()) == 0 {
		delete(s.loans, worker)
	}
	return true
}

// ShareLimits has this gateway send to workers that name limits only what it holds of these, as one of the gateways that SetHolders names,
// and what others lend it. Without it the whole is its own. It is called before the first request.
func (d *Dispatcher) ShareLimits(name string) {
	now := d.retries.now
	d.limits = &limitHoldings{
		name: name, now: now, holders: quota.NewHolders(name, retrybudget.ValidFor(d.settings.Budget.Window)), asks: quota.NewAsks(now()),
		loans: map[string]*quota.Loans{}, loanArrived: make(chan struct{}),
	}
	d.balancer.ShareLimits(d.limits)
}

// SetHolders tells which gateways hold parts of limits, by name.
func (d *Dispatcher) SetHolders(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.updateHolders(func(holders *quota.Holders) { holders.SetGateways(d.retries.now(), names) })
}

// changeHolders changes who holds parts of limits. The mutex is held.
func (d *Dispatcher) updateHolders(change func(holders *quota.Holders)) {
	if d.limits == nil {
		return
	}
	d.balancer.EarnLimits(d.now())
	change(d.limits.holders)
	d.balancer.EarnLimits(d.now())
}

// sharers returns how many gateways share bounds. The mutex is held.
func (d *Dispatcher) gatewayCount() int {
	if d.limits == nil {
		return 1
	}
	return max(d.limits.holders.Gateways(d.limits.now()), 1)
}

// places returns how many of a bound of places belong to this gateway.
func (d *Dispatcher) placesOf(key string, bound int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return bound
	}
	return d.limits.holders.Places(d.limits.now(), key, bound)
}

// Limit has a worker get only so many requests a second of all gateways together, as it said so long ago, and tells whether that is news.
func (d *Dispatcher) Limit(worker string, perSecond float64, ago time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	clear(d.saturation)
	return d.balancer.Limit(now, worker, perSecond, now.Add(-ago))
}

// Unlimit ends the limit of a worker that named none in the answer to a request which was sent so long ago, and tells whether there was one.
func (d *Dispatcher) Unlimit(worker string, ago time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.Unlimit(worker, d.now().Add(-ago))
}

// MayAsk takes a question from what this gateway may send to a worker, if that names a limit, and tells whether there was one left.
func (d *Dispatcher) MayAsk(worker string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.Spend(d.now(), worker)
}

// Bounds of a question for loans.
const (
	// mostAsked bounds the workers that one question names: a datagram of some 200 bytes.
	maxWorkersPerAsk = 8
	// wantedOfEach is how many requests are wanted of each: what comes within the life of a loan through a gateway that is busy.
	requestsPerAsk = 16
	// loanWait is how long the request that asks waits for an answer: the ways there and back between regions, and a turn of two processors.
	loanWait = 50 * time.Millisecond
)

// borrow asks the other gateways for what they hold and do not need of the limits of a group's workers, unless it is too early for that, and
// tells whether a loan came soon.
func (d *Dispatcher) borrow(ctx context.Context, group *routing.Group) bool {
	loanArrived, asked := d.requestLoans(group)
	if !asked {
		return false
	}
	timer := time.NewTimer(loanWait)
	defer timer.Stop()
	select {
	case <-loanArrived:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ask has a question for loans told to the others, and returns what is closed when a loan comes.
func (d *Dispatcher) requestLoans(group *routing.Group) (<-chan struct{}, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil || d.peers.notify == nil || d.gatewayCount() == 1 {
		return nil, false
	}
	serial, allowed := d.limits.asks.Ask(d.limits.now(), d.gatewayCount())
	if !allowed {
		return nil, false
	}
	workers := d.balancer.Lacking(d.now(), group.Name, runnerRole(group), maxWorkersPerAsk)
	d.limits.outgoingAsks = append(d.limits.outgoingAsks, loadshare.Ask{Asker: d.limits.name, Serial: serial, Workers: workers, Wanted: requestsPerAsk})
	d.peers.notify(true)
	return d.limits.loanArrived, true
}

// DrainLoans returns the questions for loans, and the loans, that are to be told to the other gateways.
func (d *Dispatcher) DrainLoans() ([]loadshare.Ask, []loadshare.Loan) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return nil, nil
	}
	asks, loans := d.limits.outgoingAsks, d.limits.outgoingLoans
	d.limits.outgoingAsks, d.limits.outgoingLoans = nil, nil
	return asks, loans
}

// HearLoans takes the questions and loans of another gateway.
func (d *Dispatcher) HearLoans(asks []loadshare.Ask, loans []loadshare.Loan) {
	if len(asks) == 0 && len(loans) == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limits == nil {
		return
	}
	for _, ask := range asks {
		d.lend(ask)
	}
	for _, loan := range loans {
		if loan.Asker == d.limits.name {
			d.acceptLoan(loan)
		}
	}
	if len(d.limits.outgoingLoans) > 0 && d.peers.notify != nil {
		d.peers.notify(true)
	}
}

// lend gives an asker what is left here of what it asks for. The mutex is held.
func (d *Dispatcher) lend(ask loadshare.Ask) {
	for _, worker := range ask.Workers[:min(len(ask.Workers), maxWorkersPerAsk)] {
		if count := d.balancer.Lend(d.now(), worker, min(ask.Wanted, requestsPerAsk)); count > 0 {
			d.limits.outgoingLoans = append(d.limits.outgoingLoans, loadshare.Loan{
				Asker: ask.Asker, Serial: ask.Serial, Lender: d.limits.name, Worker: worker, Count: count,
			})
		}
	}
}

// take takes a loan if it answers the question that is open. The mutex is held.
func (d *Dispatcher) acceptLoan(loan loadshare.Loan) {
	until, isAnswer := d.limits.asks.Answer(d.limits.now(), loan.Serial, loan.Lender, loan.Worker)
	if !isAnswer {
		return
	}
	if d.limits.loans[loan.Worker] == nil {
		d.limits.loans[loan.Worker] = &quota.Loans{}
	}
	d.limits.loans[loan.Worker].Add(loan.Count, until)
	clear(d.saturation)
	close(d.limits.loanArrived)
	d.limits.loanArrived = make(chan struct{})
}
