package roles

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
)

// losingOrderer is an engine whose responses to orders are lost. It carries the orders out if takesOrders is set.
type losingOrderer struct {
	recordingOrderer
	takesOrders bool
}

func (l *losingOrderer) Order(ctx context.Context, order Order) error {
	_ = l.recordingOrderer.Order(ctx, order)
	l.state.Busy = l.takesOrders
	return errors.Mark(errors.New("reset"), ErrOutcomeUnknown)
}

// TestLostResponseToOrder guards against an order that is taken for failed because its response was lost: requests would go to an engine that
// refuses them while it changes its role. Routing resumes to an engine that has not taken the order.
func TestLostResponseToOrder(t *testing.T) {
	for _, takesOrders := range []bool{true, false} {
		orderer, fleet := &losingOrderer{takesOrders: takesOrders}, &busyPrefillFleet{}
		orderer.state.Role = backend.RoleDecode
		controller := newTestController(&fakeStore{}, orderer, fleet)
		// Later changes of this fleet would resume routing to another engine.
		controller.settings.Planner.ChangeInterval = time.Hour
		controller.LeaseRenewed(boottime.Now(), 5, time.Minute)
		controller.KeyChanged(boottime.Now(), nil, 0)
		runSteps(controller, 6)
		if len(orderer.orders) == 0 {
			t.Fatal("no order was sent")
		}
		last := fleet.roleChanges[len(fleet.roleChanges)-1]
		if resumed := last == backend.RoleDecode; resumed == takesOrders {
			t.Errorf("takes orders %t: SetRoleChange was called with %v", takesOrders, fleet.roleChanges)
		}
	}
}
