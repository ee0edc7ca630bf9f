package roles

import (
	"context"
	"testing"
	"time"
)

// TestSuspendedHolderGivesNoOrders guards against orders after the machine was suspended for longer than the lease: the monotonic clock of
// the process does not include the suspension, and no change of the key has arrived.
func TestSuspendedHolderGivesNoOrders(t *testing.T) {
	orderer := &recordingOrderer{state: EngineState{Role: "decode"}}
	suspended := time.Duration(0)
	settings := DefaultControllerSettings()
	clock := settings.Now
	now := func() time.Time { return clock().Add(suspended) }
	c := newTestController(&fakeStore{}, orderer, &busyPrefillFleet{})
	// A test cannot suspend the machine, so it sets the clock forward.
	c.settings.Now = now
	c.LeaseRenewed(now(), 5, 3*time.Second)
	c.KeyChanged(now(), nil, 0)
	c.step(context.Background())
	if _, may := c.Authority(); !may {
		t.Fatal("a holder with a lease may not call")
	}
	suspended = 4 * time.Second
	if fence, may := c.Authority(); may {
		t.Errorf("the holder may call with fence %d after a suspension of 4 s with a lease of 3 s", fence)
	}
	before := len(orderer.orders)
	for range 5 {
		c.step(context.Background())
	}
	if len(orderer.orders) > before {
		t.Error("the holder sent an order after the suspension")
	}
}
