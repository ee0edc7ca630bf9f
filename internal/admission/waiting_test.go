package admission

import (
	"fmt"
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

// TestNumberOfPeersIsBounded guards against senders of ever new names whose counts take up memory and time of each decision, and against a
// limit that keeps out a gateway which is known.
func TestNumberOfPeersIsBounded(t *testing.T) {
	controller := newTestController()
	counts := []Count{{Work: Work{Group: "g", Urgency: 9, Amount: 1}}}
	for i := range 2 * maxPeers {
		controller.ApplyPeer(start, fmt.Sprint("peer", i), counts)
	}
	if peers := len(controller.groups["g"].peers); peers != maxPeers {
		t.Errorf("counts of %d gateways are kept, want %d", peers, maxPeers)
	}
	counts[0].Amount = 7
	controller.ApplyPeer(start, "peer0", counts)
	if waiting := controller.groups["g"].peers["peer0"].queued[QueueSlots].waiting[9]; waiting != 7 {
		t.Errorf("%d requests of a known gateway wait, want 7", waiting)
	}
	later := start.Add(2 * peerTimeout)
	controller.ApplyPeer(later, "new", counts)
	if controller.groups["g"].peers["new"] == nil {
		t.Error("a gateway is kept out by others that are silent")
	}
}
