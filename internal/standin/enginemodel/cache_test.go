package enginemodel

import (
	"reflect"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

func TestCacheEvictsTheLeastRecentlyUsedBlock(t *testing.T) {
	log := &cacheLog{}
	cache := newPrefixCache(log)
	cache.resize(3)
	cache.store([]uint64{1, 2})
	cache.store([]uint64{7})
	if held := cache.lookup([]uint64{1, 2, 3}); held != 2 {
		t.Fatalf("holds %d blocks, want 2", held)
	}
	cache.store([]uint64{8})
	if held := cache.lookup([]uint64{1, 2, 3}); held != 2 {
		t.Fatalf("holds %d blocks after another one came, want 2", held)
	}
	cache.store([]uint64{9})
	if !reflect.DeepEqual(log.evicted, []uint64{7, 8}) {
		t.Fatalf("evicted %v", log.evicted)
	}
	cache.resize(1)
	cache.store([]uint64{1, 2, 3})
	if held := cache.lookup([]uint64{1, 2, 3}); held != 1 {
		t.Fatalf("holds %d blocks of a long prompt, want its first one", held)
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	b := newBench(func(s *Settings) { s.CacheEventLossProbability = 0.5 })
	b.do(engine.WatchCache{})
	var sequences []uint64
	for block := range uint64(40) {
		request := submit("r", 300, 1)
		request.RequestID = string(rune('a' + block))
		request.PrefixBlocks = []uint64{block}
		b.do(request)
		for _, event := range b.wait(20 * time.Second) {
			changes, ok := event.(engine.CacheEvent)
			if !ok {
				continue
			}
			if !reflect.DeepEqual(changes.Stored, []uint64{block}) || changes.Sequence != block+1 {
				t.Fatalf("got %+v for block %d", changes, block)
			}
			sequences = append(sequences, changes.Sequence)
		}
	}
	if len(sequences) < 10 || len(sequences) > 30 {
		t.Fatalf("%d of 40 events came", len(sequences))
	}
}

func TestCacheEventWaitsForIntervalAndLag(t *testing.T) {
	b := newBench(func(s *Settings) { s.CacheEventLossProbability = 0 })
	b.do(engine.WatchCache{})
	request := submit("r", 300, 1)
	request.PrefixBlocks = []uint64{1}
	b.do(request)
	b.wait(time.Second)
	finished := testStart.Add(b.at["r"])
	b.wait(finished.Add(3*time.Second - time.Nanosecond).Sub(b.now))
	if events := b.wait(0); len(events) != 0 {
		t.Fatalf("got %+v too early", events)
	}
	only[engine.CacheEvent](t, b.wait(time.Nanosecond))
}

func TestKVTransfer(t *testing.T) {
	source, target := newBench(nil), newBench(nil)
	request := submit("r", 600, 1)
	request.PrefixBlocks = []uint64{1, 2}
	source.do(request)
	source.wait(time.Minute)
	exported := only[engine.KVExported](t, source.do(engine.ExportKV{Blocks: []uint64{1, 2, 3}}))
	const blockBytes = 256 * 128 << 10
	if !reflect.DeepEqual(exported.Blocks, []uint64{1, 2}) || exported.Bytes != 2*blockBytes {
		t.Fatalf("got %+v", exported)
	}
	command := engine.ImportKV{
		ExpectedIncarnation: testIncarnation, TransferID: 3, Model: exported.Model,
		ModelVersion: exported.ModelVersion, Blocks: exported.Blocks,
	}
	if events := target.do(command); len(events) != 0 {
		t.Fatalf("got %+v at once", events)
	}
	imported := only[engine.KVImported](t, target.wait(17*time.Millisecond)) // 64 MiB at 4 GB/s take 16.8 ms
	if imported.Blocks != 2 || imported.TransferID != 3 || imported.Refusal != "" {
		t.Fatalf("got %+v", imported)
	}
	if held := target.cache.lookup(exported.Blocks); held != 2 {
		t.Fatalf("the target holds %d blocks", held)
	}
	command.ModelVersion = "2"
	if refused := only[engine.KVImported](t, target.do(command)); refused.Refusal != engine.RefusalModel {
		t.Fatalf("got %+v", refused)
	}
}

func TestChangeEmptiesTheCache(t *testing.T) {
	tests := []struct {
		desc    string
		keep    bool
		content engine.Configuration
		want    int
	}{
		{"role", false, configuration(engine.RolePrefill), 0},
		{"role, cache kept", true, configuration(engine.RolePrefill), 1},
		{"model", true, engine.Configuration{Role: engine.RoleDecode, Model: "grind"}, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := newBench(func(s *Settings) { s.KeepCacheOnRoleChange = test.keep })
			b.cache.store([]uint64{1})
			b.do(order(1, 1, test.content))
			if held := b.cache.lookup([]uint64{1}); held != test.want {
				t.Fatalf("holds %d blocks, want %d", held, test.want)
			}
		})
	}
}
