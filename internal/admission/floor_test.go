package admission

import (
	"testing"
)

// TestSizeEstimateLeavesZero guards against a first request without known tokens after which all others of its priority count as large.
func TestSizeEstimateLeavesZero(t *testing.T) {
	var sizes sizeTracker
	large := 0
	for i := range 1000 {
		if sizes.add(min(i, 1)*100) && i >= 500 {
			large++
		}
	}
	if large > 100 {
		t.Errorf("%d of the last 500 equal requests are large", large)
	}
}

// TestSizesOfDroppedPrioritiesAreForgotten guards against size estimates that add up over the changes of a configuration.
func TestSizesOfDroppedPrioritiesAreForgotten(t *testing.T) {
	controller := newTestController()
	for priority := range 100 {
		controller.SetPriorities(map[string][]Priority{"g": {{Rule: priority}, {Rule: 1000}}})
		controller.Decide(start, Request{Group: "g", Priority: Priority{Rule: priority}, Tokens: 1, Arrived: start}, Outlook{})
	}
	if sizes := len(controller.groups["g"].sizes); sizes > 2 {
		t.Errorf("%d size estimates for 2 priorities", sizes)
	}
}
