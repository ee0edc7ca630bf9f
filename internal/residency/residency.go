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
	workers map[string]*memory
	// holders indexes the workers by key, in the order in which they got the part.
	holders map[string][]string
}

// memory is what one engine keeps, used last at the front.
type memory struct {
	capacity int
	tokens   int
	recent   *list.List
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
	return &Table{workers: map[string]*memory{}, holders: map[string][]string{}}
}

// Keep notes that an engine with memory for so many tokens keeps a part, or is about to.
func (t *Table) Keep(worker string, capacity int, key string, tokens int, ready bool) {
	kept, known := t.workers[worker]
	if !known {
		kept = &memory{recent: list.New(), parts: map[string]*list.Element{}}
		t.workers[worker] = kept
	}
	kept.capacity = capacity
	if element, found := kept.parts[key]; found {
		kept.recent.MoveToFront(element)
		known := element.Value.(*part)
		known.ready = known.ready || ready
		return
	}
	kept.parts[key] = kept.recent.PushFront(&part{key: key, tokens: tokens, ready: ready})
	kept.tokens += tokens
	t.holders[key] = append(t.holders[key], worker)
	t.shrink(worker, kept)
}

// maxFilling bounds the tokens of requests' own parts that are kept as one.
const maxFilling = 5000

// Fill notes that an engine keeps so many tokens that no other request can use. They give way as others do.
func (t *Table) Fill(worker string, tokens int) {
	kept, known := t.workers[worker]
	if !known || tokens <= 0 {
		return
	}
	kept.tokens += tokens
	if front := kept.recent.Front(); front != nil && front.Value.(*part).takes(tokens) {
		front.Value.(*part).tokens += tokens
	} else {
		kept.recent.PushFront(&part{tokens: tokens})
	}
	t.shrink(worker, kept)
}

// takes tells whether tokens that no other request can use are kept together with a part.
func (p *part) takes(tokens int) bool { return p.key == "" && p.tokens+tokens <= maxFilling }

// shrink drops what was used longest ago until the rest fits.
func (t *Table) shrink(worker string, kept *memory) {
	for kept.tokens > kept.capacity && kept.recent.Len() > 1 {
		t.drop(worker, kept, kept.recent.Back())
	}
}

// Forget notes that an engine does not keep a part.
func (t *Table) Forget(worker, key string) {
	kept, known := t.workers[worker]
	if !known {
		return
	}
	if element, found := kept.parts[key]; found {
		t.drop(worker, kept, element)
	}
}

// ForgetWorker drops an engine with all that it keeps.
func (t *Table) ForgetWorker(worker string) {
	kept, known := t.workers[worker]
	if !known {
		return
	}
	for element := kept.recent.Front(); element != nil; element = kept.recent.Front() {
		t.drop(worker, kept, element)
	}
	delete(t.workers, worker)
}

// Keeps tells whether an engine keeps a part, or is about to.
func (t *Table) Keeps(worker, key string) bool {
	kept, known := t.workers[worker]
	return known && kept.parts[key] != nil
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
func (t *Table) All() iter.Seq2[string, Kept] {
	return func(yield func(string, Kept) bool) {
		for worker, kept := range t.workers {
			for element := kept.recent.Back(); element != nil; element = element.Prev() {
				one := element.Value.(*part)
				if one.key != "" && !yield(worker, Kept{Key: one.key, Tokens: one.tokens, Ready: one.ready}) {
					return
				}
			}
		}
	}
}

// Kept is a part that an engine keeps, or is about to.
type Kept struct {
	Key    string
	Tokens int
	Ready  bool
}

// drop forgets one part of one engine.
func (t *Table) drop(worker string, kept *memory, element *list.Element) {
	dropped := kept.recent.Remove(element).(*part)
	kept.tokens -= dropped.tokens
	if dropped.key == "" {
		return
	}
	delete(kept.parts, dropped.key)
	holders := t.holders[dropped.key]
	for i, holder := range holders {
		if holder == worker {
			holders = append(holders[:i:i], holders[i+1:]...)
			break
		}
	}
	if len(holders) == 0 {
		delete(t.holders, dropped.key)
		return
	}
	t.holders[dropped.key] = holders
}
