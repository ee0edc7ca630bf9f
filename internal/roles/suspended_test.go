package roles

import (
	"context"
	"testing"
	"time"
)

// TestAHolderThatSleptGivesNoOrder suspends the machine of a holder for longer than its lease. The steady clock of the process does not
// count that time, and no key of the store has been heard to change.
func TestSuspendedHolderGivesNoOrders(t *testing.T) {
	orderer := &recordingOrderer{state: EngineState{Role: "decode"}}
	suspended := time.Duration(0)
	settings := DefaultControllerSettings()
	clock := settings.Now
	now := func() time.Time { return clock().Add(suspended) }
	c := newTestController(&fakeStore{}, orderer, &busyPrefillFleet{})
	// The clock that counts sleep is the one of the default settings, which a test can't suspend: it is set ahead in its place.
	c.settings.Now = now
	c.Leased(now(), 5, 3*time.Second)
	c.KeyChanged(now(), nil, 0, 0)
	c.step(context.Background())
	if _, may := c.Authority(); !may {
		t.Fatal("a holder with a lease may not call")
	}
	suspended = 4 * time.Second
	if fence, may := c.Authority(); may {
		t.Errorf("after 4 s asleep it may call with fence %d, with a lease of 3 s", fence)
	}
	before := len(orderer.orders)
	for range 5 {
		c.step(context.Background())
	}
	if len(orderer.orders) > before {
		t.Error("it gave an order")
	}
}
