package forward

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// askForLoans returns a dispatcher that holds no share of its workers' limits, after it has asked for loans.
func askForLoans(t *testing.T) (*Dispatcher, peersync.LoanRequest, <-chan struct{}) {
	t.Helper()
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	d.ShareLimits("one")
	d.NotifyUpdates(func(bool) {})
	d.SetHolders([]string{"one", "other"})
	for _, id := range d.balancer.IDs() {
		d.SetLimit(id, 5, 0)
	}
	group := routing.Group{Name: "g"}
	loanArrived, asked := d.requestLoans(&group)
	requests, _ := d.TakeLoans()
	if !asked || len(requests) != 1 || len(requests[0].Workers) == 0 {
		t.Fatalf("asked: %t, got %+v", asked, requests)
	}
	if _, again := d.requestLoans(&group); again {
		t.Error("the dispatcher asked again immediately")
	}
	return d, requests[0], loanArrived
}

// TestLoanIsUsedOnceByBorrower guards against using capacity twice: loans that are delivered twice, are late, or are meant for another
// gateway or an earlier request.
func TestLoanIsUsedOnceByBorrower(t *testing.T) {
	for _, test := range []struct {
		desc  string
		alter func(loan *peersync.Loan)
		wait  time.Duration
		used  int
	}{
		{desc: "delivered twice", alter: func(*peersync.Loan) {}, used: 2},
		{desc: "for another gateway", alter: func(l *peersync.Loan) { l.Borrower = "third" }},
		{desc: "for an earlier request", alter: func(l *peersync.Loan) { l.Serial-- }},
		{desc: "too late", alter: func(*peersync.Loan) {}, wait: 600 * time.Millisecond},
	} {
		d, request, loanArrived := askForLoans(t)
		worker := request.Workers[0]
		loan := peersync.Loan{Borrower: request.Borrower, Serial: request.Serial, Lender: "other", Worker: worker, Count: 2}
		test.alter(&loan)
		time.Sleep(test.wait)
		d.ApplyLoans(nil, []peersync.Loan{loan, loan})
		select {
		case <-loanArrived:
		default:
			if test.used > 0 {
				t.Errorf("%s: the waiting request is not notified", test.desc)
			}
		}
		used := 0
		for d.AllowHealthCheck(worker) {
			used++
		}
		if used != test.used {
			t.Errorf("%s: the loan allows %d requests, want %d", test.desc, used, test.used)
		}
	}
}

// TestOnlyHeldCapacityIsLent guards against lending capacity that the lender does not hold or still uses.
func TestOnlyHeldCapacityIsLent(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	d.ShareLimits("one")
	id := d.balancer.IDs()[0]
	d.SetLimit(id, 5, 0)
	d.ApplyLoans([]peersync.LoanRequest{{Borrower: "other", Serial: 1, Workers: []string{id, "nobody"}, MaxRequests: 4}}, nil)
	if _, loans := d.TakeLoans(); len(loans) != 0 {
		t.Errorf("a gateway that holds nothing lent %+v", loans)
	}
	d.SetHolders([]string{"one"})
	now := d.retries.now()
	d.ConfirmShare(now.Add(-8 * time.Second))
	d.ConfirmShare(now.Add(-time.Second))
	time.Sleep(250 * time.Millisecond)
	d.ApplyLoans([]peersync.LoanRequest{{Borrower: "other", Serial: 1, Workers: []string{id}, MaxRequests: 4}}, nil)
	if _, loans := d.TakeLoans(); len(loans) != 1 || loans[0].Count != 1 || loans[0].Lender != "one" || loans[0].Borrower != "other" {
		t.Errorf("a gateway that holds one request lent %+v", loans)
	}
	if d.AllowHealthCheck(id) {
		t.Error("lent capacity can still be used")
	}
}
