package forward

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/routing"
)

// lentTo returns a dispatcher that holds nothing of the limits of its three workers, and has asked for them.
func askForLoans(t *testing.T) (*Dispatcher, loadshare.Ask, <-chan struct{}) {
	t.Helper()
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	d.ShareLimits("one")
	d.ShareWith(func(bool) {})
	d.SetHolders([]string{"one", "other"})
	for _, id := range d.balancer.IDs() {
		d.Limit(id, 5, 0)
	}
	group := routing.Group{Name: "g"}
	lent, asked := d.requestLoans(&group)
	asks, _ := d.DrainLoans()
	if !asked || len(asks) != 1 || len(asks[0].Workers) == 0 {
		t.Fatalf("asked %t: %+v", asked, asks)
	}
	if _, again := d.requestLoans(&group); again {
		t.Error("it asked again at once")
	}
	return d, asks[0], lent
}

// TestALoanIsUsedOnceByTheOneThatAsked tells a loan, twice, to one that asked, to another one, and too late.
func TestLoanIsUsedOnceByAsker(t *testing.T) {
	for _, test := range []struct {
		desc  string
		alter func(loan *loadshare.Loan)
		wait  time.Duration
		used  int
	}{
		{desc: "an answer, told twice", alter: func(*loadshare.Loan) {}, used: 2},
		{desc: "the answer to another one", alter: func(l *loadshare.Loan) { l.Asker = "third" }},
		{desc: "the answer to a question of before", alter: func(l *loadshare.Loan) { l.Serial-- }},
		{desc: "a late answer", alter: func(*loadshare.Loan) {}, wait: 600 * time.Millisecond},
	} {
		d, ask, lent := askForLoans(t)
		worker := ask.Workers[0]
		loan := loadshare.Loan{Asker: ask.Asker, Serial: ask.Serial, Lender: "other", Worker: worker, Count: 2}
		test.alter(&loan)
		time.Sleep(test.wait)
		d.HearLoans(nil, []loadshare.Loan{loan, loan})
		select {
		case <-lent:
		default:
			if test.used > 0 {
				t.Errorf("%s: the one that waits is not told", test.desc)
			}
		}
		used := 0
		for d.MayAsk(worker) {
			used++
		}
		if used != test.used {
			t.Errorf("%s: %d requests were lent, expected %d", test.desc, used, test.used)
		}
	}
}

// TestOnlyWhatIsHeldIsLent has one that holds nothing asked for a loan, and one that holds everything.
func TestOnlyHeldCapacityIsLent(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	d.ShareLimits("one")
	id := d.balancer.IDs()[0]
	d.Limit(id, 5, 0)
	d.HearLoans([]loadshare.Ask{{Asker: "other", Serial: 1, Workers: []string{id, "nobody"}, Wanted: 4}}, nil)
	if _, loans := d.DrainLoans(); len(loans) != 0 {
		t.Errorf("one that holds nothing lends %+v", loans)
	}
	d.SetHolders([]string{"one"})
	now := d.retries.now()
	d.ConfirmShare(now.Add(-8 * time.Second))
	d.ConfirmShare(now.Add(-time.Second))
	time.Sleep(250 * time.Millisecond)
	d.HearLoans([]loadshare.Ask{{Asker: "other", Serial: 1, Workers: []string{id}, Wanted: 4}}, nil)
	if _, loans := d.DrainLoans(); len(loans) != 1 || loans[0].Count != 1 || loans[0].Lender != "one" || loans[0].Asker != "other" {
		t.Errorf("one that holds a request lends %+v", loans)
	}
	if d.MayAsk(id) {
		t.Error("what is lent is still here")
	}
}
