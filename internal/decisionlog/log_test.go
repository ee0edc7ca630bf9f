package decisionlog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/decision"
)

// TestLatestReturnsNewestInOrder guards against lost or reordered decisions once the ring buffer wraps around.
func TestLatestReturnsNewestInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 10).Draw(t, "capacity")
		count := rapid.IntRange(0, 40).Draw(t, "count")
		since := rapid.IntRange(0, 40).Draw(t, "since")
		log := New("gateway-a", capacity)
		for i := range count {
			log.Append(time.Unix(int64(i), 0), decision.Record{Subject: fmt.Sprint(i + 1)})
		}
		got := log.Latest(uint64(since))
		first := max(count-capacity, since)
		if len(got) != max(count-first, 0) {
			t.Fatalf("%d decisions, want those above %d of %d", len(got), first, count)
		}
		for i, record := range got {
			want := uint64(first + i + 1)
			if record.Sequence != want || record.Subject != fmt.Sprint(want) || record.Process != "gateway-a" {
				t.Fatalf("decision %d is %+v, want number %d", i, record, want)
			}
		}
	})
}

// TestSlowFollowerDoesNotBlock guards against a slow follower that blocks the log, old records that are sent to a new
// follower, and records that are sent after the end of a subscription.
func TestSlowFollowerDoesNotBlock(t *testing.T) {
	log := New("gateway-a", 4)
	log.Append(time.Now(), decision.Record{Subject: "before"})
	records, stop := log.Follow()
	for i := range 2 * followerBuffer {
		log.Append(time.Now(), decision.Record{Subject: fmt.Sprint(i)})
	}
	if first := <-records; first.Subject != "0" || first.Sequence != 2 {
		t.Errorf("first record is %+v, want number 2 about 0", first)
	}
	stop()
	log.Append(time.Now(), decision.Record{})
	if len(records) != followerBuffer-1 {
		t.Errorf("%d decisions are buffered, want %d", len(records), followerBuffer-1)
	}
}
