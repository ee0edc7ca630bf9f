package admission

import (
	"math"
	"testing"
	"time"
)

// TestPromisesOfPeersExpire guards against promises of another gateway that never expire and leave no place for those of this one.
func TestPromisesOfPeersExpire(t *testing.T) {
	controller := newTestController()
	for key := range uint64(maxPromises) {
		after := time.Duration(math.MaxInt64)
		if key%2 == 0 {
			after = time.Second
		}
		controller.ApplyPromises(start, []Promise{{Group: "g", Key: key + 1, After: after}, {Group: "g", Key: key + maxPromises, After: -time.Hour}})
	}
	request := Request{
		ID: "r", Group: "g", Deadline: start.Add(20 * time.Second), Expires: start.Add(30 * time.Second), Key: func() uint64 { return math.MaxUint64 },
	}
	controller.PromiseReturn(start.Add(10*time.Second), request, time.Millisecond)
	if _, promised := controller.groups["g"].promises.due[math.MaxUint64]; !promised {
		t.Errorf("no promise is recorded beside %d expired ones", len(controller.groups["g"].promises.due))
	}
}

// TestNoPromiseWithoutSlots guards against room that is promised to all callers while no engine is in service.
func TestNoPromiseWithoutSlots(t *testing.T) {
	controller := newTestController()
	request := Request{ID: "r", Group: "g", Deadline: start.Add(time.Second), Expires: start.Add(9 * time.Second), Key: func() uint64 { return 7 }}
	if after, controlled := controller.PromiseReturn(start, request, 0); !controlled || after < DefaultSettings().MinRetryAfter {
		t.Errorf("got %v, %t", after, controlled)
	}
	if promised := len(controller.groups["g"].promises.due); promised > 0 {
		t.Errorf("%d promises are made although no slot becomes free", promised)
	}
}
