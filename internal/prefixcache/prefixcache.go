// Package prefixcache tracks which engines have the KV cache of which shared prompt segments, according to the requests
// that gateways sent. Like the engines, the table evicts the least recently used segments when a cache is full.
package prefixcache

import (
	"container/list"
	"iter"
)

// Holder is an engine that has a segment in its cache.
type Holder struct {
	Worker string
	// Cached is false while the segment is still being prefilled or fetched.
	Cached bool
}

// Table is the state of all engine caches. It is a pure state machine and not safe for concurrent use.
type Table struct {
	workers map[string]*engineCache
	// holders maps the key of a segment to the engines that have it, in the order in which they got it.
	holders map[string][]string
}

// engineCache is the cache of one engine, the most recently used segment first.
type engineCache struct {
	capacity int
	tokens   int
	lru      *list.List
	segments map[string]*list.Element
}

// segment is a cached segment. A segment without a key can't be used by other requests.
type segment struct {
	key    string
	tokens int
	cached bool
}

// New returns an empty table.
func New() *Table {
	return &Table{workers: map[string]*engineCache{}, holders: map[string][]string{}}
}

// Add records that an engine with the given cache capacity in tokens has a segment, or is about to have it, and marks
// the segment as used. The size of a segment that is present does not change.
func (t *Table) Add(worker string, capacity int, key string, tokens int, cached bool) {
	cache, exists := t.workers[worker]
	if !exists {
		cache = &engineCache{lru: list.New(), segments: map[string]*list.Element{}}
		t.workers[worker] = cache
	}
	cache.capacity = capacity
	if element, found := cache.segments[key]; found {
		cache.lru.MoveToFront(element)
		existing := element.Value.(*segment)
		existing.cached = existing.cached || cached
		return
	}
	cache.segments[key] = cache.lru.PushFront(&segment{key: key, tokens: tokens, cached: cached})
	cache.tokens += tokens
	t.holders[key] = append(t.holders[key], worker)
	t.evict(worker, cache)
}

// maxAnonymousTokens limits the size of a segment without a key, into which consecutive calls of AddAnonymous are merged.
const maxAnonymousTokens = 5000

// AddAnonymous records that a request has added tokens to the cache of an engine that no other request can use. They are
// evicted like segments. It has no effect for an engine to which no segment was added.
func (t *Table) AddAnonymous(worker string, tokens int) {
	cache, exists := t.workers[worker]
	if !exists || tokens <= 0 {
		return
	}
	cache.tokens += tokens
	if front := cache.lru.Front(); front != nil && front.Value.(*segment).canAbsorb(tokens) {
		front.Value.(*segment).tokens += tokens
	} else {
		cache.lru.PushFront(&segment{tokens: tokens})
	}
	t.evict(worker, cache)
}

// canAbsorb reports whether the segment has no key and room for more tokens.
func (s *segment) canAbsorb(tokens int) bool {
	return s.key == "" && s.tokens+tokens <= maxAnonymousTokens
}

// evict removes the least recently used segments until the rest fits. It keeps at least one segment.
func (t *Table) evict(worker string, cache *engineCache) {
	for cache.tokens > cache.capacity && cache.lru.Len() > 1 {
		t.remove(worker, cache, cache.lru.Back())
	}
}

// Remove records that an engine no longer has a segment.
func (t *Table) Remove(worker, key string) {
	cache, exists := t.workers[worker]
	if !exists {
		return
	}
	if element, found := cache.segments[key]; found {
		t.remove(worker, cache, element)
	}
}

// ForgetWorker removes an engine and its cache.
func (t *Table) ForgetWorker(worker string) {
	cache, exists := t.workers[worker]
	if !exists {
		return
	}
	for element := cache.lru.Front(); element != nil; element = cache.lru.Front() {
		t.remove(worker, cache, element)
	}
	delete(t.workers, worker)
}

// Has reports whether an engine has a segment, or is about to have it.
func (t *Table) Has(worker, key string) bool {
	cache, exists := t.workers[worker]
	return exists && cache.segments[key] != nil
}

// Holders returns the engines that have a segment, in the order in which they got it.
func (t *Table) Holders(key string) []Holder {
	var holders []Holder
	for _, worker := range t.holders[key] {
		element := t.workers[worker].segments[key]
		holders = append(holders, Holder{Worker: worker, Cached: element.Value.(*segment).cached})
	}
	return holders
}

// All returns the cached segments of all engines, of each engine the least recently used first.
func (t *Table) All() iter.Seq2[string, CachedSegment] {
	return func(yield func(string, CachedSegment) bool) {
		for worker, cache := range t.workers {
			for element := cache.lru.Back(); element != nil; element = element.Prev() {
				cached := element.Value.(*segment)
				if cached.key != "" && !yield(worker, CachedSegment{Key: cached.key, Tokens: cached.tokens, Cached: cached.cached}) {
					return
				}
			}
		}
	}
}

// CachedSegment is a segment that an engine has, or is about to have.
type CachedSegment struct {
	Key    string
	Tokens int
	Cached bool
}

// remove removes one segment from the cache of an engine.
func (t *Table) remove(worker string, cache *engineCache, element *list.Element) {
	removed := cache.lru.Remove(element).(*segment)
	cache.tokens -= removed.tokens
	if removed.key == "" {
		return
	}
	delete(cache.segments, removed.key)
	holders := t.holders[removed.key]
	for i, holder := range holders {
		if holder == worker {
			holders = append(holders[:i:i], holders[i+1:]...)
			break
		}
	}
	if len(holders) == 0 {
		delete(t.holders, removed.key)
		return
	}
	t.holders[removed.key] = holders
}
