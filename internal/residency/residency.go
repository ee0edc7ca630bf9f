// Package residency remembers which engines keep the KV cache of which shared prompt parts, as far as the gateways have
// caused it. Engines forget the parts that were used longest ago when their memory is full, and so does the table.
package residency

import (
	"container/list"
	"iter"
)

// Holder is an engine that keeps a part.
type Holder struct {
	Worker string
	// Ready is set once the part was read or fetched; before that the engine is about to.
	Ready bool
}

// Table is a pure state machine and not safe for concurrent use.
type Table struct {
	workers map[string]*engineCache
	// holders indexes the workers by key, in the order in which they got the part.
	holders map[string][]string
}

// memory is what one engine keeps, used last at the front.
type engineCache struct {
	capacity int
	tokens   int
	lru      *list.List
	parts    map[string]*list.Element
}

// part is one kept part. One without a key is of use for no other request.
type part struct {
	key    string
	tokens int
	ready  bool
}

// New returns an empty table.
func New() *Table {
	return &Table{workers: map[string]*engineCache{}, holders: map[string][]string{}}
}

// Keep notes that an engine with memory for so many tokens keeps a part, or is about to.
func (t *Table) Keep(worker string, capacity int, key string, tokens int, ready bool) {
	cache, exists := t.workers[worker]
	if !exists {
		cache = &engineCache{lru: list.New(), parts: map[string]*list.Element{}}
		t.workers[worker] = cache
	}
	cache.capacity = capacity
	if element, found := cache.parts[key]; found {
		cache.lru.MoveToFront(element)
		existing := element.Value.(*part)
		existing.ready = existing.ready || ready
		return
	}
	cache.parts[key] = cache.lru.PushFront(&part{key: key, tokens: tokens, ready: ready})
	cache.tokens += tokens
	t.holders[key] = append(t.holders[key], worker)
	t.evict(worker, cache)
}

// maxFilling bounds the tokens of requests' own parts that are kept as one.
const maxAnonymousTokens = 5000

// Fill notes that an engine keeps so many tokens that no other request can use. They give way as others do.
func (t *Table) Fill(worker string, tokens int) {
	cache, exists := t.workers[worker]
	if !exists || tokens <= 0 {
		return
	}
	cache.tokens += tokens
	if front := cache.lru.Front(); front != nil && front.Value.(*part).canAbsorb(tokens) {
		front.Value.(*part).tokens += tokens
	} else {
		cache.lru.PushFront(&part{tokens: tokens})
	}
	t.evict(worker, cache)
}

// takes tells whether tokens that no other request can use are kept together with a part.
func (p *part) canAbsorb(tokens int) bool {
	return p.key == "" && p.tokens+tokens <= maxAnonymousTokens
}

// shrink drops what was used longest ago until the rest fits.
func (t *Table) evict(worker string, cache *engineCache) {
	for cache.tokens > cache.capacity && cache.lru.Len() > 1 {
		t.remove(worker, cache, cache.lru.Back())
	}
}

// Forget notes that an engine does not keep a part.
func (t *Table) Forget(worker, key string) {
	cache, exists := t.workers[worker]
	if !exists {
		return
	}
	if element, found := cache.parts[key]; found {
		t.remove(worker, cache, element)
	}
}

// ForgetWorker drops an engine with all that it keeps.
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

// Keeps tells whether an engine keeps a part, or is about to.
func (t *Table) Keeps(worker, key string) bool {
	cache, exists := t.workers[worker]
	return exists && cache.parts[key] != nil
}

// Holders returns the engines that keep a part, in the order in which they got it.
func (t *Table) Holders(key string) []Holder {
	var holders []Holder
	for _, worker := range t.holders[key] {
		element := t.workers[worker].parts[key]
		holders = append(holders, Holder{Worker: worker, Ready: element.Value.(*part).ready})
	}
	return holders
}

// All returns what engines keep, of each engine those parts used last at the end.
func (t *Table) All() iter.Seq2[string, CachedPart] {
	return func(yield func(string, CachedPart) bool) {
		for worker, cache := range t.workers {
			for element := cache.lru.Back(); element != nil; element = element.Prev() {
				cached := element.Value.(*part)
				if cached.key != "" && !yield(worker, CachedPart{Key: cached.key, Tokens: cached.tokens, Ready: cached.ready}) {
					return
				}
			}
		}
	}
}

// Kept is a part that an engine keeps, or is about to.
type CachedPart struct {
	Key    string
	Tokens int
	Ready  bool
}

// drop forgets one part of one engine.
func (t *Table) remove(worker string, cache *engineCache, element *list.Element) {
	removed := cache.lru.Remove(element).(*part)
	cache.tokens -= removed.tokens
	if removed.key == "" {
		return
	}
	delete(cache.parts, removed.key)
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
