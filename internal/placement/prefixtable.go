package placement

import (
	"container/list"

	"github.com/granitebay/granitebay/internal/engine"
)

// PrefixTable holds which prompt blocks each engine probably has cached. It learns from the owner's own dispatches at
// once and from cache events late. It is bounded for each engine, and forgets the least recently used block first, as
// engines do.
type PrefixTable struct {
	blocksPerEngine int
	engines         map[string]*enginePrefixes
}

// enginePrefixes are the blocks of one engine; the front of recent is the block that was used last.
type enginePrefixes struct {
	incarnation  uint64
	lastSequence uint64
	recent       *list.List
	elements     map[uint64]*list.Element
}

// NewPrefixTable returns an empty table that keeps at most so many blocks for each engine.
func NewPrefixTable(blocksPerEngine int) *PrefixTable {
	return &PrefixTable{blocksPerEngine: blocksPerEngine, engines: map[string]*enginePrefixes{}}
}

// RecordDispatch notes that a request was sent to an engine, which will cache its blocks.
func (t *PrefixTable) RecordDispatch(engineName string, incarnation uint64, blocks []uint64) {
	prefixes := t.prefixes(engineName, incarnation)
	if prefixes == nil {
		return
	}
	// The leading blocks are used by more requests than those after them, so they are to be forgotten last.
	for index := len(blocks) - 1; index >= 0; index-- {
		prefixes.touch(blocks[index])
	}
	prefixes.shrink(t.blocksPerEngine)
}

// HandleCacheEvent corrects the table. After a gap in the sequence, evictions may have been missed: the half of the
// blocks that was used longest ago is forgotten, as the engine evicts these first.
func (t *PrefixTable) HandleCacheEvent(event engine.CacheEvent) {
	prefixes := t.prefixes(event.Engine, event.Incarnation)
	if prefixes == nil || event.Sequence <= prefixes.lastSequence {
		return
	}
	if event.Sequence > prefixes.lastSequence+1 {
		prefixes.shrink(len(prefixes.elements) / 2)
	}
	prefixes.lastSequence = event.Sequence
	for _, block := range event.Stored {
		prefixes.touch(block)
	}
	for _, block := range event.Evicted {
		prefixes.remove(block)
	}
	prefixes.shrink(t.blocksPerEngine)
}

// CachedBlocks returns how many leading blocks the engine probably has.
func (t *PrefixTable) CachedBlocks(engineName string, blocks []uint64) int {
	prefixes, known := t.engines[engineName]
	if !known {
		return 0
	}
	for index, block := range blocks {
		if _, cached := prefixes.elements[block]; !cached {
			return index
		}
	}
	return len(blocks)
}

// Forget drops all blocks of an engine, for example when its role or model changes.
func (t *PrefixTable) Forget(engineName string) {
	if prefixes, known := t.engines[engineName]; known {
		prefixes.clear()
	}
}

// prefixes returns the blocks of an engine, emptied if it restarted, or nil if the incarnation is an old one.
func (t *PrefixTable) prefixes(engineName string, incarnation uint64) *enginePrefixes {
	prefixes, known := t.engines[engineName]
	if !known {
		prefixes = &enginePrefixes{incarnation: incarnation}
		prefixes.clear()
		t.engines[engineName] = prefixes
	}
	if incarnation < prefixes.incarnation {
		return nil
	}
	if incarnation > prefixes.incarnation {
		prefixes.clear()
		prefixes.incarnation = incarnation
		prefixes.lastSequence = 0
	}
	return prefixes
}

func (p *enginePrefixes) clear() {
	p.recent = list.New()
	p.elements = map[uint64]*list.Element{}
}

func (p *enginePrefixes) touch(block uint64) {
	if element, known := p.elements[block]; known {
		p.recent.MoveToFront(element)
		return
	}
	p.elements[block] = p.recent.PushFront(block)
}

func (p *enginePrefixes) remove(block uint64) {
	if element, known := p.elements[block]; known {
		p.recent.Remove(element)
		delete(p.elements, block)
	}
}

func (p *enginePrefixes) shrink(size int) {
	for len(p.elements) > size {
		oldest := p.recent.Back()
		p.recent.Remove(oldest)
		delete(p.elements, oldest.Value.(uint64))
	}
}
