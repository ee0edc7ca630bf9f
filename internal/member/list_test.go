package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/store"
)

// epoch is where the tests begin.
var epoch = time.Unix(1000, 0)

// registered returns the event of a registration.
func registered(name string, leaving bool) store.Event {
	value, _ := json.Marshal(Gateway{Name: name, Address: name + ":1", Leaving: leaving})
	return store.Event{Item: store.Item{Key: KeyPrefix + name, Value: value, Revision: 1}}
}

// names lists the names of gateways.
func names(gateways []Gateway) string {
	var result []string
	for _, gateway := range gateways {
		result = append(result, gateway.Name)
	}
	return fmt.Sprint(result)
}

// listOf returns the list of a gateway "a" with others registered.
func listOf(t *testing.T, others ...string) *List {
	t.Helper()
	list := NewList(Gateway{Name: "a", Address: "a:1"})
	for _, name := range others {
		if err := list.Apply(epoch, registered(name, false)); err != nil {
			t.Fatal(err)
		}
	}
	return list
}

func TestLapsesCountAtOnceUnlessTheStoreFailed(t *testing.T) {
	gone := store.Event{Item: store.Item{Key: KeyPrefix + "b", Revision: 2}, Deleted: true}
	list := listOf(t, "b", "c")
	_ = list.Apply(epoch, gone)
	if got := names(list.Serving(epoch)); got != "[a c]" {
		t.Errorf("after a lapse: %s", got)
	}
	list = listOf(t, "b", "c")
	list.Outage(epoch)
	_ = list.Apply(epoch, gone)
	if got := names(list.Serving(epoch)); got != "[a b c]" {
		t.Errorf("after a lapse around an outage: %s", got)
	}
	if got := names(list.Serving(epoch.Add(fadeTime + 1))); got != "[a c]" {
		t.Errorf("later: %s", got)
	}
	list = listOf(t, "b", "c")
	list.Outage(epoch)
	_ = list.Reset(epoch, []store.Item{registered("c", false).Item})
	_ = list.Apply(epoch, registered("b", false))
	if got := names(list.Serving(epoch.Add(fadeTime + 1))); got != "[a b c]" {
		t.Errorf("registered again after an outage: %s", got)
	}
}

func TestLeavingGatewaysGetNoCallers(t *testing.T) {
	list := listOf(t, "b", "c")
	_ = list.Apply(epoch, registered("b", true))
	list.Leave()
	if got := names(list.Serving(epoch)); got != "[c]" {
		t.Errorf("got %s", got)
	}
}

func TestSilentGatewaysGetNoCallersUnlessMostAreSilent(t *testing.T) {
	list := listOf(t, "b", "c", "d", "e")
	for _, name := range []string{"b", "c", "d"} {
		list.Heard(epoch, name)
	}
	later := epoch.Add(suspectAfter + time.Millisecond)
	list.Heard(later, "c")
	list.Heard(later, "d")
	// The one that was never heard is taken at the word of the store.
	if got := names(list.Reachable(later)); got != "[a c d e]" {
		t.Errorf("one silent: %s", got)
	}
	if got := names(list.Reachable(later.Add(time.Minute))); got != "[a b c d e]" {
		t.Errorf("most silent: %s", got)
	}
}

// TestGatewaysThatStandByAreNotSuspected guards a large fleet, in which only those are heard to which callers are sent.
func TestGatewaysThatStandByAreNotSuspected(t *testing.T) {
	list := listOf(t, "b", "c", "d", "e", "f", "g")
	for _, name := range []string{"b", "c", "d"} {
		list.Heard(epoch, name)
	}
	list.Unheard("d")
	later := epoch.Add(suspectAfter + time.Millisecond)
	list.Heard(later, "c")
	if got := names(list.Reachable(later)); got != "[a c d e f g]" {
		t.Errorf("one of those that are heard is silent: %s", got)
	}
	if got := names(list.Reachable(later.Add(time.Minute))); got != "[a b c d e f g]" {
		t.Errorf("all that are heard are silent: %s", got)
	}
}
