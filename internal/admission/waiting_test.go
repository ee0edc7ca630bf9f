package admission

import (
	"math"
	"testing"
)

// TestPeerCountsAreBounded guards against counts of another gateway that overflow the sums or make rates negative, because of which forecasts
// and demand would be wrong.
func TestPeerCountsAreBounded(t *testing.T) {
	controller := newTestController()
	for _, peer := range []string{"a", "b"} {
		controller.ApplyPeer(start, peer, []Count{
			{Work: Work{Group: "g", Urgency: 1, Amount: math.MaxInt}, Sent: -100, Started: -100},
			{Work: Work{Group: "g", Urgency: 8, Amount: math.MaxInt}, Sent: math.Inf(1), Started: math.NaN()},
			{Work: Work{Group: "g", Queue: queueRefused, Urgency: DefaultUrgency}, Sent: -100},
		})
	}
	if refused := controller.RefusedPerSecond(start, "g"); refused < 0 {
		t.Errorf("%v requests are refused a second", refused)
	}
	for urgency := range urgencies {
		order := controller.OrderOf(start, "g", QueueSlots, urgency)
		if !(order.YieldingShare >= 0 && order.YieldingShare <= 1 && order.UrgentLoad >= 0 && order.UrgentLoad <= maxUrgentLoad) {
			t.Errorf("urgency %d: order %+v", urgency, order)
		}
	}
}
