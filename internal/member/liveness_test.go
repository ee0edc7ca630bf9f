package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// largeList returns the list of a gateway in a fleet of 30 gateways in three zones, of which g00 to g05 are entries.
func largeList(own string) *List {
	list := NewList(testGateway(own))
	for i := range 30 {
		gateway := testGateway(fmt.Sprintf("g%02d", i))
		list.register(KeyPrefix+gateway.Name, gateway)
	}
	return list
}

// testGateway returns a gateway whose zone is derived from its number.
func testGateway(name string) Gateway {
	var number int
	_, _ = fmt.Sscanf(name, "g%d", &number)
	return Gateway{Name: name, Zone: string(rune('a' + number%3)), Cores: 0.4}
}

// recordHeartbeats records a response of the store and heartbeats of gateways.
func recordHeartbeats(list *List, now time.Time, names ...string) {
	list.StoreAnswered(now)
	for _, name := range names {
		list.HeartbeatReceived(now, name)
	}
}

// entriesAt returns the entries at a time.
func entriesAt(list *List, now time.Time) []Gateway {
	entries, _ := list.Entries(now)
	return entries
}

// suspectsAt returns the gateways that are suspected to be down at a time.
func suspectsAt(list *List, now time.Time) []Gateway {
	_, suspects := list.Entries(now)
	return suspects
}

const allEntries = "[g00 g01 g02 g03 g04 g05]"

// TestSilentEntryIsReplacedInItsZone guards against keeping a silent entry, and against replacing it in another zone.
func TestSilentEntryIsReplacedInItsZone(t *testing.T) {
	list := largeList("g00")
	recordHeartbeats(list, startTime, "g01", "g02", "g03", "g04", "g05")
	if got := gatewayNames(entriesAt(list, startTime)); got != allEntries {
		t.Fatalf("initially: %s", got)
	}
	later := startTime.Add(heartbeatTimeout + time.Millisecond)
	recordHeartbeats(list, later, "g02", "g03", "g04", "g05")
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Fatalf("g01 silent: %s", got)
	}
	if got := gatewayNames(suspectsAt(list, later)); got != "[g01]" {
		t.Errorf("got suspects %s", got)
	}
	// The gateway that replaced it sends no heartbeat either.
	later = later.Add(firstHeartbeatTimeout + time.Millisecond)
	recordHeartbeats(list, later, "g02", "g03", "g04", "g05")
	list.Entries(later)
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g10]" {
		t.Fatalf("g07 silent too: %s", got)
	}
	recordHeartbeats(list, later, "g01")
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("g01 sends heartbeats again: %s", got)
	}
}

// TestAllEntriesAreReplacedOnlyWhileConnected guards against a disconnected gateway that replaces all entries.
func TestAllEntriesAreReplacedOnlyWhileConnected(t *testing.T) {
	list := largeList("g20")
	list.EntriesReported(startTime, []string{"g00", "g01", "g02", "g03", "g04", "g05"}, nil)
	list.Entries(startTime)
	later := startTime.Add(connectedWindow + time.Millisecond)
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("not connected: %s", got)
	}
	list.StoreAnswered(later)
	if got := gatewayNames(entriesAt(list, later)); got != "[g06 g07 g08 g09 g10 g11]" {
		t.Errorf("connected to the store: %s", got)
	}
}

// TestStandbyFollowsReportedEntries guards against a standby gateway that keeps an entry which others have replaced.
func TestStandbyFollowsReportedEntries(t *testing.T) {
	list := largeList("g20")
	list.EntriesReported(startTime, []string{"g00", "g01", "g02", "g03", "g04", "g05"}, nil)
	list.Entries(startTime)
	list.EntriesReported(startTime, []string{"g00", "g02", "g03", "g04", "g05", "g07"}, nil)
	if got := gatewayNames(entriesAt(list, startTime)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Errorf("after the report that g01 was replaced: %s", got)
	}
	// If it becomes an entry itself, it gets no more reports and must receive heartbeats.
	later := startTime.Add(firstHeartbeatTimeout)
	recordHeartbeats(list, later, "g00", "g02", "g03", "g04", "g05", "g07")
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Errorf("after heartbeats: %s", got)
	}
}

// TestOnlyLiveGatewaysAreAdvertised guards against directing callers to dead machines: the registrations of standby
// gateways expire late.
func TestOnlyLiveGatewaysAreAdvertised(t *testing.T) {
	entry := largeList("g00")
	if got := gatewayNames(entry.AdvertisedGateways(startTime)); got != "[g00]" {
		t.Errorf("without heartbeats: %s", got)
	}
	recordHeartbeats(entry, startTime, "g01", "g02", "g03", "g04", "g05")
	if got := gatewayNames(entry.AdvertisedGateways(startTime)); got != allEntries {
		t.Errorf("with heartbeats of all entries: %s", got)
	}
	later := startTime.Add(heartbeatTimeout + time.Millisecond)
	recordHeartbeats(entry, later, "g02", "g03", "g04", "g05")
	if got := gatewayNames(entry.AdvertisedGateways(later)); got != "[g00 g02 g03 g04 g05]" {
		t.Errorf("g07 replaced g01 and sent no heartbeat yet: %s", got)
	}
	standby := largeList("g20")
	standby.EntriesReported(startTime, []string{"g00", "g02", "g03", "g04", "g05", "g07"}, []string{"g00", "g02", "g03", "g04", "g05"})
	if got := gatewayNames(standby.AdvertisedGateways(startTime)); got != "[g00 g02 g03 g04 g05]" {
		t.Errorf("after the report that g07 sent no heartbeat yet: %s", got)
	}
	if got := gatewayNames(standby.AdvertisedGateways(startTime.Add(reportedLiveWindow + time.Millisecond))); got != "[g20]" {
		t.Errorf("without further reports: %s", got)
	}
}

// TestNoGatewayIsSuspectedAfterResume guards against suspecting all entries after this process was suspended.
func TestNoGatewayIsSuspectedAfterResume(t *testing.T) {
	list := largeList("g00")
	recordHeartbeats(list, startTime, "g01", "g02", "g03", "g04", "g05")
	list.Entries(startTime)
	later := startTime.Add(time.Minute)
	list.Resumed(later)
	list.StoreAnswered(later)
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("after resuming: %s", got)
	}
}

// TestEntriesConverge guards against entries that stay down, beyond the time to detect one dead gateway after the other, as
// long as each zone has two live gateways.
func TestEntriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := largeList("g00")
		alive := map[string]bool{"g00": true}
		for i := 1; i < 30; i++ {
			alive[fmt.Sprintf("g%02d", i)] = rapid.IntRange(0, 2).Draw(t, "alive") > 0
		}
		now := startTime
		// In the worst case all ten gateways of a zone are tried in turn, each for firstHeartbeatTimeout and until the
		// next check. None is tried twice, as that takes less than unresponsivePause.
		const checkInterval, perZone = 100 * time.Millisecond, 10
		for range perZone * int(firstHeartbeatTimeout/checkInterval+2) {
			now = now.Add(checkInterval)
			list.StoreAnswered(now)
			for _, entry := range entriesAt(list, now) {
				if alive[entry.Name] {
					list.HeartbeatReceived(now, entry.Name)
				}
			}
		}
		silent := 0
		for _, entry := range entriesAt(list, now) {
			if !alive[entry.Name] {
				silent++
			}
		}
		living := map[string]int{}
		for name, lives := range alive {
			if lives {
				living[testGateway(name).Zone]++
			}
		}
		if silent > 0 && living["a"] >= 2 && living["b"] >= 2 && living["c"] >= 2 {
			t.Fatalf("%d of the entries %s are down", silent, gatewayNames(entriesAt(list, now)))
		}
	})
}

// TestRegisteredEntriesDoNotDependOnHeartbeats guards against gateways that return different registered entries because
// they received different heartbeats.
func TestRegisteredEntriesDoNotDependOnHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := largeList("g00"), largeList("g07")
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			name := fmt.Sprintf("g%02d", rapid.IntRange(0, 29).Draw(t, "name"))
			recordHeartbeats(rapid.SampledFrom([]*List{one, other}).Draw(t, "hears"), now, name)
			entriesAt(one, now)
			entriesAt(other, now)
		}
		if a, b := fmt.Sprint(one.RegisteredEntries(now)), fmt.Sprint(other.RegisteredEntries(now)); a != b {
			t.Fatalf("got %s and %s", a, b)
		}
	})
}
