package fleet

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestLedgerCountsDuplicateRuns(t *testing.T) {
	tests := []struct {
		desc       string
		once       bool
		runs       int
		duplicates int
	}{
		{desc: "once as it must be", once: true, runs: 1, duplicates: 0},
		{desc: "not at all", once: true, runs: 0, duplicates: 0},
		{desc: "three times", once: true, runs: 3, duplicates: 2},
		{desc: "three times, which this work may", once: false, runs: 3, duplicates: 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			ledger := newLedger(time.Second, nil)
			if test.once {
				ledger.ExpectOnce(testStart, "cafe/1")
			}
			for range test.runs {
				ledger.RunStarted(testStart, enginemodel.RunRecord{RequestID: "cafe/1"})
			}
			if got := ledger.Runs("cafe/1"); got != test.runs {
				t.Errorf("%d runs, want %d", got, test.runs)
			}
			if got := ledger.DuplicateRuns(); got != test.duplicates {
				t.Errorf("%d duplicate runs, want %d", got, test.duplicates)
			}
		})
	}
}

func TestLedgerForgetsOldRequests(t *testing.T) {
	ledger := newLedger(time.Second, nil)
	ledger.RunStarted(testStart, enginemodel.RunRecord{RequestID: "cafe/1"})
	ledger.RunStarted(testStart.Add(ledgerRetention+1), enginemodel.RunRecord{RequestID: "cafe/2"})
	if ledger.Runs("cafe/1") != 0 || ledger.Runs("cafe/2") != 1 {
		t.Errorf("runs are %d and %d, want 0 and 1", ledger.Runs("cafe/1"), ledger.Runs("cafe/2"))
	}
}

func TestLedgerCountsRoleChanges(t *testing.T) {
	ledger := newLedger(4*time.Second, nil)
	var observer enginemodel.Observer = engineObserver{Ledger: ledger, engine: "engine-a-1"}
	order := func(after time.Duration, role engine.Role, accepted bool) {
		configuration := engine.Configuration{Role: role, Model: "model"}
		observer.OrderHandled(testStart.Add(after), engine.Order{Configuration: configuration}, accepted, "")
	}
	order(0, engine.RolePrefill, true)
	order(time.Second, engine.RolePrefill, true) // restated
	order(2*time.Second, engine.RoleDecode, false)
	if got := ledger.RoleChanges(); got != 0 {
		t.Errorf("%d role changes before the first", got)
	}
	order(3*time.Second, engine.RoleDecode, true)
	if got := ledger.RoleChanges(); got != 1 {
		t.Errorf("%d role changes, want 1", got)
	}
	if got, want := ledger.Roles(testStart.Add(6*time.Second)), (Roles{Changing: 1}); got != want {
		t.Errorf("roles during the change are %+v, want %+v", got, want)
	}
	if got, want := ledger.Roles(testStart.Add(7*time.Second)), (Roles{Decode: 1}); got != want {
		t.Errorf("roles after the change are %+v, want %+v", got, want)
	}
}
