package configuration

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/store"
)

// fault is a failure injected into one write to a memoryStore.
type fault int

const (
	// faultNone applies the write and responds.
	faultNone fault = iota
	// faultBusy rejects the write.
	faultBusy
	// faultResponseLost applies the write and loses the response.
	faultResponseLost
	// faultWriteLost loses the write.
	faultWriteLost
	// faultWriteDelayed loses the response and applies the write before the next call, if its condition holds then.
	faultWriteDelayed
)

// errNoResponse is the error that a client gets for a lost response.
var errNoResponse = errors.New("no response")

// memoryStore holds one document. Each write takes the next of the faults; later writes succeed.
type memoryStore struct {
	store.Store
	value     []byte
	revision  store.Revision
	faults    []fault
	lateWrite *store.Transaction
	// failReads is the number of reads that are still to fail.
	failReads int
}

func (m *memoryStore) List(context.Context, string) ([]store.Item, store.Revision, error) {
	m.applyLateWrite()
	if m.failReads > 0 {
		m.failReads--
		return nil, 0, errNoResponse
	}
	if m.revision == 0 {
		return nil, 0, nil
	}
	return []store.Item{{Key: StoreKey, Value: m.value, Revision: m.revision}}, m.revision, nil
}

func (m *memoryStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	m.applyLateWrite()
	next := faultNone
	if len(m.faults) > 0 {
		next, m.faults = m.faults[0], m.faults[1:]
	}
	switch next {
	case faultBusy:
		return 0, store.ErrBusy
	case faultWriteLost:
		return 0, errNoResponse
	case faultWriteDelayed:
		m.lateWrite = &transaction
		return 0, errNoResponse
	}
	if !m.applyIfUnchanged(transaction) {
		return 0, store.ErrConflict
	}
	if next == faultResponseLost {
		return 0, errNoResponse
	}
	return m.revision, nil
}

// applyLateWrite applies a pending write of faultWriteDelayed.
func (m *memoryStore) applyLateWrite() {
	if m.lateWrite != nil {
		m.applyIfUnchanged(*m.lateWrite)
		m.lateWrite = nil
	}
}

// applyIfUnchanged applies a write if its condition holds.
func (m *memoryStore) applyIfUnchanged(transaction store.Transaction) bool {
	if transaction.Conditions[0].Revision != m.revision {
		return false
	}
	m.revision++
	m.value = transaction.Puts[0].Value
	return true
}

// TestEditsAreAppliedOnce guards against an edit that is lost or applied twice when the store rejects, loses or delays writes,
// or loses their responses.
func TestEditsAreAppliedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := []fault{faultBusy, faultResponseLost, faultWriteLost, faultWriteDelayed}
		m := &memoryStore{
			faults:    rapid.SliceOfN(rapid.SampledFrom(faults), 0, 2).Draw(t, "faults"),
			failReads: rapid.IntRange(0, 1).Draw(t, "failed reads"),
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		request := EditRequest{ChangeID: "mine", Edits: []Edit{SetLabel("w1", "pool", "x")}}
		result := propose(ctx, m, request, time.Millisecond)
		if !result.Accepted || result.Revision != 1 || result.Err != nil {
			t.Fatalf("got %+v", result)
		}
		m.applyLateWrite()
		document, _, err := Read(ctx, m)
		if err != nil || document.Revision != 1 || document.WorkerLabels["w1"]["pool"] != "x" {
			t.Fatalf("the store holds %+v, %v", document, err)
		}
	})
}

// TestProposeReportsOutcomeOnTimeout guards against an edit that is reported as not written while a write may still take
// effect.
func TestProposeReportsOutcomeOnTimeout(t *testing.T) {
	repeated := func(f fault) (faults []fault) {
		for range 1000 {
			faults = append(faults, f)
		}
		return faults
	}
	tests := []struct {
		desc   string
		faults []fault
		want   error
	}{
		{"the store rejects writes", repeated(faultBusy), ErrStoreUnavailable},
		{"writes are lost", repeated(faultWriteLost), ErrOutcomeUnknown},
	}
	for _, test := range tests {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		result := Propose(ctx, &memoryStore{faults: test.faults}, EditRequest{ChangeID: "mine", Edits: []Edit{SetLabel("w1", "pool", "x")}})
		cancel()
		if result.Accepted || !errors.Is(result.Err, test.want) {
			t.Errorf("%s: got %+v, want %v", test.desc, result, test.want)
		}
	}
}

// TestProposeRejectsInvalidInput guards against a retry of requests that cannot succeed.
func TestProposeRejectsInvalidInput(t *testing.T) {
	if result := Propose(context.Background(), &memoryStore{}, EditRequest{}); !errors.Is(result.Err, ErrNoChangeID) {
		t.Errorf("without a change id: %+v", result)
	}
	unreadable := &memoryStore{value: []byte("{"), revision: 1}
	if result := Propose(context.Background(), unreadable, EditRequest{ChangeID: "mine"}); !errors.Is(result.Err, ErrUnreadable) {
		t.Errorf("with an unreadable document: %+v", result)
	}
}
