package placement

import (
	"math"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

func TestPrefixTable(t *testing.T) {
	event := func(incarnation, sequence uint64, stored, evicted []uint64) engine.CacheEvent {
		return engine.CacheEvent{Engine: "e", Incarnation: incarnation, Sequence: sequence, Stored: stored, Evicted: evicted}
	}
	asked := []uint64{1, 2, 3, 4}
	tests := []struct {
		desc string
		do   func(table *PrefixTable)
		want int
	}{
		{"nothing is known", func(*PrefixTable) {}, 0},
		{"an own dispatch counts at once", func(table *PrefixTable) { table.RecordDispatch("e", 1, asked) }, 4},
		{"another engine's does not", func(table *PrefixTable) { table.RecordDispatch("f", 1, asked) }, 0},
		{"only leading blocks count", func(table *PrefixTable) { table.RecordDispatch("e", 1, []uint64{1, 2, 9, 4}) }, 2},
		{"a stored block counts", func(table *PrefixTable) { table.HandleCacheEvent(event(1, 1, []uint64{1}, nil)) }, 1},
		{"an evicted block does not", func(table *PrefixTable) {
			table.RecordDispatch("e", 1, asked)
			table.HandleCacheEvent(event(1, 1, nil, []uint64{3}))
		}, 2},
		{"a repeated event changes nothing", func(table *PrefixTable) {
			table.HandleCacheEvent(event(1, 1, nil, []uint64{1}))
			table.RecordDispatch("e", 1, asked)
			table.HandleCacheEvent(event(1, 1, nil, []uint64{1}))
		}, 4},
		{"a gap forgets the older half", func(table *PrefixTable) {
			table.RecordDispatch("e", 1, asked)
			table.HandleCacheEvent(event(1, 3, nil, nil))
		}, 2},
		{"a restart forgets all", func(table *PrefixTable) {
			table.RecordDispatch("e", 1, asked)
			table.HandleCacheEvent(event(2, 1, nil, nil))
		}, 0},
		{"an event from before a restart is ignored", func(table *PrefixTable) {
			table.RecordDispatch("e", 2, asked)
			table.HandleCacheEvent(event(1, 9, nil, asked))
		}, 4},
		{"a change of role forgets all", func(table *PrefixTable) {
			table.RecordDispatch("e", 1, asked)
			table.Forget("e")
		}, 0},
		{"the table is bounded and keeps leading blocks longest", func(table *PrefixTable) {
			table.RecordDispatch("e", 1, []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
			table.RecordDispatch("e", 1, []uint64{21, 22, 23, 24, 25})
		}, 3},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := NewPrefixTable(8)
			test.do(table)
			if got := table.CachedBlocks("e", asked); got != test.want {
				t.Errorf("%d blocks cached, want %d", got, test.want)
			}
		})
	}
}

func TestReadingMeter(t *testing.T) {
	var meter ReadingMeter
	speed := Speed{PromptTokensPerSecond: 1000}
	now := time.Unix(1000, 0)
	for range 400 {
		meter.Record(now, 25, speed)
		now = now.Add(50 * time.Millisecond)
	}
	if share := meter.Share(now); math.Abs(share-0.5) > 0.02 {
		t.Errorf("share %g while half of the time goes into prompts", share)
	}
	if share := meter.Share(now.Add(time.Minute)); share > 0.001 {
		t.Errorf("share %g after a minute without prompts", share)
	}
}
