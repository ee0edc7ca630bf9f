package enginemodel

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// CutCause is why a run ended before its answer was whole.
type CutCause string

// The causes.
const (
	CutChange CutCause = "change" // an order changed the configuration under the run
	CutCancel CutCause = "cancel" // a client cancelled the run
	CutCrash  CutCause = "crash"  // the engine process ended
)

// RunRecord names one run for an Observer.
type RunRecord struct {
	Engine       string
	Incarnation  uint64
	RequestID    string
	PromptDigest uint64
	MaxTokens    uint32
	// ContinueFrom is the number of tokens that the run did not have to produce.
	ContinueFrom uint32
}

// Observer is told what an engine really did, for checkers and measurements. A run starts when it enters the batch; a
// run that is cancelled while it waits in the queue has not started. Methods must not call the model.
type Observer interface {
	// RunStarted is called when an engine begins to work on a run.
	RunStarted(now time.Time, run RunRecord)
	// RunFinished is called when an answer is whole.
	RunFinished(now time.Time, run RunRecord)
	// RunCut is called when a started run ends before its answer is whole.
	RunCut(now time.Time, run RunRecord, cause CutCause)
	// OrderHandled is called for each order; refusal is empty when it was accepted.
	OrderHandled(now time.Time, order engine.Order, accepted bool, refusal engine.Refusal)
}

// NopObserver is an Observer that does nothing. Embed it to watch only some calls.
type NopObserver struct{}

// RunStarted does nothing.
func (NopObserver) RunStarted(time.Time, RunRecord) {}

// RunFinished does nothing.
func (NopObserver) RunFinished(time.Time, RunRecord) {}

// RunCut does nothing.
func (NopObserver) RunCut(time.Time, RunRecord, CutCause) {}

// OrderHandled does nothing.
func (NopObserver) OrderHandled(time.Time, engine.Order, bool, engine.Refusal) {}
