package rolecontrol

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

const (
	fakeChangeTime = 3 * time.Second
	// fakeReportAge is how old a load report of the fake engine can be.
	fakeReportAge = 700 * time.Millisecond
)

// acceptedOrder is an order that a fake engine took.
type acceptedOrder struct {
	incarnation   uint64
	fence         engine.Fence
	configuration engine.Configuration
}

// fakeEngine is a small engine that follows the rules of the engine port. A change ends its runs, as at a real one; the
// engine counts them.
type fakeEngine struct {
	name          string
	incarnation   uint64
	fence         engine.Fence
	configuration engine.Configuration
	changingUntil time.Time
	// runs holds the end of each run.
	runs   map[string]time.Time
	report engine.Status
	// crashesOn is a model version that the engine crashes on while it loads it.
	crashesOn string

	accepted  []acceptedOrder
	completed int
	cut       []string
}

func newFakeEngine(name string) *fakeEngine {
	return &fakeEngine{name: name, incarnation: 1, runs: map[string]time.Time{}}
}

// crash restarts the engine, which forgets everything.
func (e *fakeEngine) crash() {
	e.incarnation++
	e.fence = engine.Fence{}
	e.configuration = engine.Configuration{}
	e.changingUntil = time.Time{}
	e.runs = map[string]time.Time{}
	e.report = engine.Status{}
}

// advance ends what has ended by now.
func (e *fakeEngine) advance(now time.Time) {
	for id, end := range e.runs {
		if !end.After(now) {
			delete(e.runs, id)
			e.completed++
		}
	}
	if !e.changingUntil.IsZero() && !e.changingUntil.After(now) {
		e.changingUntil = time.Time{}
		if e.crashesOn != "" && e.configuration.ModelVersion == e.crashesOn {
			e.crash()
		}
	}
}

func (e *fakeEngine) handle(now time.Time, command engine.Command, runTime time.Duration) engine.Event {
	e.advance(now)
	switch command := command.(type) {
	case engine.Probe:
		return e.loadReport(now)
	case engine.Order:
		return e.order(now, command)
	case engine.Submit:
		return e.submit(now, command, runTime)
	default:
		panic(fmt.Sprintf("fake engine: command %T", command))
	}
}

func (e *fakeEngine) loadReport(now time.Time) engine.Status {
	if now.Sub(e.report.AsOf) > fakeReportAge {
		e.report = engine.Status{
			Engine: e.name, Incarnation: e.incarnation, AsOf: now, Fence: e.fence, Configuration: e.configuration,
			Changing: !e.changingUntil.IsZero(), Running: len(e.runs),
		}
	}
	return e.report
}

func (e *fakeEngine) order(now time.Time, order engine.Order) engine.OrderResult {
	refusal := e.checkOrder(order)
	if refusal == "" {
		e.fence = order.Fence
		e.accepted = append(e.accepted, acceptedOrder{e.incarnation, order.Fence, order.Configuration})
		if !sameConfiguration(order.Configuration, e.configuration) {
			e.cut = append(e.cut, slices.Sorted(maps.Keys(e.runs))...)
			e.runs = map[string]time.Time{}
			e.configuration = order.Configuration
			e.changingUntil = now.Add(fakeChangeTime)
		}
	}
	return engine.OrderResult{
		Engine: e.name, Incarnation: e.incarnation, Fence: order.Fence, Accepted: refusal == "", Refusal: refusal,
		Current: e.fence,
	}
}

func (e *fakeEngine) checkOrder(order engine.Order) engine.Refusal {
	switch {
	case order.ExpectedIncarnation != e.incarnation:
		return engine.RefusalIncarnation
	case order.Fence.Epoch < e.fence.Epoch:
		return engine.RefusalEpoch
	case order.Fence.Generation < e.fence.Generation:
		return engine.RefusalGeneration
	case order.Fence.Generation == e.fence.Generation && !sameConfiguration(order.Configuration, e.configuration):
		return engine.RefusalConflict
	}
	return ""
}

func (e *fakeEngine) submit(now time.Time, submit engine.Submit, runTime time.Duration) engine.Event {
	refused := engine.Refused{Engine: e.name, Incarnation: e.incarnation, Generation: e.fence.Generation, RequestID: submit.RequestID}
	switch {
	case submit.ExpectedIncarnation != e.incarnation:
		refused.Refusal = engine.RefusalIncarnation
	case submit.ExpectedGeneration != e.fence.Generation:
		refused.Refusal = engine.RefusalGeneration
	case !e.changingUntil.IsZero():
		refused.Refusal = engine.RefusalChanging
	default:
		e.runs[submit.RequestID] = now.Add(runTime)
		return engine.Tokens{Engine: e.name, Incarnation: e.incarnation, RequestID: submit.RequestID}
	}
	return refused
}
