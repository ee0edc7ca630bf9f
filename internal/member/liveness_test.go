package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// largeList returns the list of a gateway of a fleet of 30 gateways in three zones, in which g00 to g05 are entries.
func largeList(own string) *List {
	list := NewList(testGateway(own))
	for i := range 30 {
		gateway := testGateway(fmt.Sprintf("g%02d", i))
		list.register(KeyPrefix+gateway.Name, gateway)
	}
	return list
}

// gatewayOf returns a gateway whose zone follows from its number.
func testGateway(name string) Gateway {
	var number int
	_, _ = fmt.Sscanf(name, "g%d", &number)
	return Gateway{Name: name, Zone: string(rune('a' + number%3)), Cores: 0.4}
}

// hear tells the list at a moment that these were heard.
func hearFrom(list *List, now time.Time, names ...string) {
	list.Connected(now)
	for _, name := range names {
		list.Heard(now, name)
	}
}

// entriesAt returns the entries at a moment, and suspectsAt those that have fallen silent.
func entriesAt(list *List, now time.Time) []Gateway {
	entries, _ := list.Entries(now)
	return entries
}

func suspectsAt(list *List, now time.Time) []Gateway {
	_, suspects := list.Entries(now)
	return suspects
}

const allEntries = "[g00 g01 g02 g03 g04 g05]"

func TestSilentEntryIsReplacedInItsZone(t *testing.T) {
	list := largeList("g00")
	hearFrom(list, startTime, "g01", "g02", "g03", "g04", "g05")
	if got := gatewayNames(entriesAt(list, startTime)); got != allEntries {
		t.Fatalf("at first %s", got)
	}
	later := startTime.Add(heartbeatTimeout + time.Millisecond)
	hearFrom(list, later, "g02", "g03", "g04", "g05")
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Fatalf("g01 silent: %s", got)
	}
	if got := gatewayNames(suspectsAt(list, later)); got != "[g01]" {
		t.Errorf("suspects %s", got)
	}
	// The one that took its place says nothing either.
	later = later.Add(entryAnswerTimeout + time.Millisecond)
	hearFrom(list, later, "g02", "g03", "g04", "g05")
	list.Entries(later)
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g10]" {
		t.Fatalf("g07 silent too: %s", got)
	}
	hearFrom(list, later, "g01")
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("g01 is heard again: %s", got)
	}
}

func TestAllEntriesAreReplacedOnlyWhileConnected(t *testing.T) {
	list := largeList("g20")
	list.Told(startTime, []string{"g00", "g01", "g02", "g03", "g04", "g05"}, nil)
	list.Entries(startTime)
	later := startTime.Add(connectedWindow + time.Millisecond)
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("nobody answers: %s", got)
	}
	list.Connected(later)
	if got := gatewayNames(entriesAt(list, later)); got != "[g06 g07 g08 g09 g10 g11]" {
		t.Errorf("the store answers: %s", got)
	}
}

func TestStandbyFollowsReportedEntries(t *testing.T) {
	list := largeList("g20")
	list.Told(startTime, []string{"g00", "g01", "g02", "g03", "g04", "g05"}, nil)
	list.Entries(startTime)
	list.Told(startTime, []string{"g00", "g02", "g03", "g04", "g05", "g07"}, nil)
	if got := gatewayNames(entriesAt(list, startTime)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Errorf("told that g01 is replaced: %s", got)
	}
	// One that takes its place is told nothing any more, and has to hear the others.
	later := startTime.Add(entryAnswerTimeout)
	hearFrom(list, later, "g00", "g02", "g03", "g04", "g05", "g07")
	if got := gatewayNames(entriesAt(list, later)); got != "[g00 g02 g03 g04 g05 g07]" {
		t.Errorf("later: %s", got)
	}
}

// TestOnlyGatewaysThatLiveAreNamed guards against naming machines that have long been off: those that stood by are registered for long.
func TestOnlyLiveGatewaysAreNamed(t *testing.T) {
	entry := largeList("g00")
	if got := gatewayNames(entry.Named(startTime)); got != "[g00]" {
		t.Errorf("nobody was heard: %s", got)
	}
	hearFrom(entry, startTime, "g01", "g02", "g03", "g04", "g05")
	if got := gatewayNames(entry.Named(startTime)); got != allEntries {
		t.Errorf("all were heard: %s", got)
	}
	later := startTime.Add(heartbeatTimeout + time.Millisecond)
	hearFrom(entry, later, "g02", "g03", "g04", "g05")
	if got := gatewayNames(entry.Named(later)); got != "[g00 g02 g03 g04 g05]" {
		t.Errorf("g07 was picked in place of g01 and said nothing yet: %s", got)
	}
	standby := largeList("g20")
	standby.Told(startTime, []string{"g00", "g02", "g03", "g04", "g05", "g07"}, []string{"g00", "g02", "g03", "g04", "g05"})
	if got := gatewayNames(standby.Named(startTime)); got != "[g00 g02 g03 g04 g05]" {
		t.Errorf("told that g07 said nothing yet: %s", got)
	}
	if got := gatewayNames(standby.Named(startTime.Add(reportedLiveWindow + time.Millisecond))); got != "[g20]" {
		t.Errorf("told nothing any more: %s", got)
	}
}

func TestNoGatewayIsSuspectedAfterResume(t *testing.T) {
	list := largeList("g00")
	hearFrom(list, startTime, "g01", "g02", "g03", "g04", "g05")
	list.Entries(startTime)
	later := startTime.Add(time.Minute)
	list.Resumed(later)
	list.Connected(later)
	if got := gatewayNames(entriesAt(list, later)); got != allEntries {
		t.Errorf("just resumed: %s", got)
	}
}

// TestEntriesSettle plays gateways that are heard or not, and checks that the own view comes to rest at entries that are all
// heard, within the time in which those that say nothing are noticed one after the other.
func TestEntriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := largeList("g00")
		alive := map[string]bool{"g00": true}
		for i := 1; i < 30; i++ {
			alive[fmt.Sprintf("g%02d", i)] = rapid.IntRange(0, 2).Draw(t, "alive") > 0
		}
		now := startTime
		// The ten of a zone are tried in turn at the worst, each for answerTime and until the next look; none is tried twice, because
		// all of that is less than unresponsiveTime.
		const look, inZone = 100 * time.Millisecond, 10
		for range inZone * int(entryAnswerTimeout/look+2) {
			now = now.Add(look)
			list.Connected(now)
			for _, entry := range entriesAt(list, now) {
				if alive[entry.Name] {
					list.Heard(now, entry.Name)
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
			t.Fatalf("%d of the entries %s say nothing", silent, gatewayNames(entriesAt(list, now)))
		}
	})
}

// TestThoseThatTheStoreNamesDoNotDependOnWhoIsHeard keeps two gateways of one mind that hear different ones.
func TestRegisteredDoesNotDependOnHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := largeList("g00"), largeList("g07")
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			name := fmt.Sprintf("g%02d", rapid.IntRange(0, 29).Draw(t, "name"))
			hearFrom(rapid.SampledFrom([]*List{one, other}).Draw(t, "hears"), now, name)
			entriesAt(one, now)
			entriesAt(other, now)
		}
		if a, b := fmt.Sprint(one.Registered(now)), fmt.Sprint(other.Registered(now)); a != b {
			t.Fatalf("%s and %s", a, b)
		}
	})
}
