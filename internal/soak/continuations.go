package soak

import (
	"fmt"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// maxSecondRun is how long a worker may still process a request after another one has begun to continue it.
const maxSecondRun = 400 * time.Millisecond

// checkContinuations: a worker stops processing a request soon after another one has begun to run it, unless a fault keeps the gateway from telling it.
func checkContinuations(h *History) []Violation {
	requests := h.requestsByID()
	var found []Violation
	for _, work := range h.Work {
		limit, moved := movedBy(h.Runs[work.ID], work)
		if !moved || !work.Ended.After(limit) && !(work.Ended.IsZero() && h.CollectedAt.After(limit)) {
			continue
		}
		if h.hasFault(isPathToWorkerFault, work.Begun, limit) || h.wasInterrupted(requests[work.ID].Gateway, work.Begun, limit) {
			continue
		}
		found = append(found, Violation{"TWICE", work.ID, fmt.Sprintf("%s still processed it %s after another worker had begun to: %+v", work.Worker, maxSecondRun, h.Runs[work.ID])})
	}
	return found
}

// movedBy returns when a worker has to have stopped its work because the next run of the request began elsewhere, or false if none did.
func movedBy(runs []fleet.Run, work fleet.Work) (limit time.Time, moved bool) {
	for i, run := range runs {
		// The run of the work is the first one of its worker that began no earlier.
		if run.Worker != work.Worker || run.Begun.Before(work.Begun) {
			continue
		}
		if i+1 == len(runs) {
			return time.Time{}, false
		}
		return runs[i+1].Begun.Add(maxSecondRun), true
	}
	return time.Time{}, false
}

// isPathToWorkerFault reports whether a fault may keep the close of a connection from a worker.
func isPathToWorkerFault(f Fault) bool {
	_, isPath := f.(PathFault)
	return isPath || isWorkerPathFault(f)
}

// describeContinuations formats how many runs went on at another worker, and how many of their first workers were still at work then.
func (h *History) describeContinuations() string {
	moved, atWork := 0, 0
	for _, work := range h.Work {
		limit, isMoved := movedBy(h.Runs[work.ID], work)
		if !isMoved {
			continue
		}
		moved++
		if next := limit.Add(-maxSecondRun); work.Ended.IsZero() || work.Ended.After(next) {
			atWork++
		}
	}
	return fmt.Sprintf("%d runs went on at another worker, of which %d were still processed at the first one then", moved, atWork)
}
