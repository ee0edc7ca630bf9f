package fleet

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ModelOptions configure the timing of a model engine.
type ModelOptions struct {
	// PromptTokensPerSecond is the prefill rate in the prefill stage; the decode stage has half of it.
	PromptTokensPerSecond float64
	// StepTime is the duration of a decode step, and StepPerRun what each concurrent run adds to it.
	StepTime   time.Duration
	StepPerRun time.Duration
	// MemoryTokens is the capacity of the prompt cache.
	MemoryTokens int
	// MoveTokensPerSecond is the transfer rate of cached prompts between workers.
	MoveTokensPerSecond float64
	// StageChange is the duration of a stage change.
	StageChange time.Duration
}

// DefaultModel returns the timing that gateways assume by default: a prompt of 12,000 tokens takes about a quarter of a second.
func DefaultModel() *ModelOptions {
	return &ModelOptions{
		PromptTokensPerSecond: 50_000, StepTime: 8 * time.Millisecond, StepPerRun: 300 * time.Microsecond,
		MemoryTokens: 200_000, MoveTokensPerSecond: 1_000_000, StageChange: time.Second,
	}
}

// engineModel is the state of a model engine: its prompt cache and its load. It is safe for concurrent use.
type engineModel struct {
	options ModelOptions

	// prefillSlot serializes prefill.
	prefillSlot chan struct{}

	mu           sync.Mutex
	running      int
	cached       map[string]*list.Element
	lru          *list.List
	cachedTokens int
	// prefilledTokens counts the prompt tokens processed.
	prefilledTokens int
}

// promptSegment is a segment of a prompt.
type promptSegment struct {
	id     string
	tokens int
}

// newEngineModel returns an engine with an empty cache.
func newEngineModel(options ModelOptions) *engineModel {
	return &engineModel{options: options, prefillSlot: make(chan struct{}, 1), cached: map[string]*list.Element{}, lru: list.New()}
}

// parsePromptSegments parses the segments of a prompt, a comma-separated list of ID:TOKENS.
func parsePromptSegments(header string) []promptSegment {
	var segments []promptSegment
	for _, each := range strings.Split(header, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(each), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil {
			segments = append(segments, promptSegment{id: id, tokens: tokens})
		}
	}
	return segments
}

// uncachedTokens returns the number of prompt tokens that are not cached. Only segments of a contiguous cached prefix count as
// cached.
func (m *engineModel) uncachedTokens(segments []promptSegment) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens, missed := 0, false
	for _, segment := range segments {
		element, found := m.cached[segment.id]
		if found && !missed {
			m.lru.MoveToFront(element)
			continue
		}
		missed = true
		tokens += segment.tokens
	}
	return tokens
}

// addToCache adds the segments of a prompt to the cache and evicts the least recently used segments beyond its capacity.
func (m *engineModel) addToCache(segments []promptSegment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, segment := range segments {
		if _, found := m.cached[segment.id]; found {
			continue
		}
		m.cached[segment.id] = m.lru.PushFront(segment)
		m.cachedTokens += segment.tokens
	}
	for m.cachedTokens > m.options.MemoryTokens && m.lru.Len() > 0 {
		evicted := m.lru.Remove(m.lru.Back()).(promptSegment)
		delete(m.cached, evicted.id)
		m.cachedTokens -= evicted.tokens
	}
}

// cachedSegments returns the cached segments, the most recently used ones last.
func (m *engineModel) cachedSegments() []promptSegment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var segments []promptSegment
	for element := m.lru.Back(); element != nil; element = element.Prev() {
		segments = append(segments, element.Value.(promptSegment))
	}
	return segments
}

// prefill waits for its turn and for the time that a number of prompt tokens takes. It reports whether the client is still
// connected; it stops early if not.
func (m *engineModel) prefill(tokens int, slowdown float64, done <-chan struct{}) bool {
	select {
	case m.prefillSlot <- struct{}{}:
	case <-done:
		return false
	}
	defer func() { <-m.prefillSlot }()
	m.mu.Lock()
	m.prefilledTokens += tokens
	m.mu.Unlock()
	duration := time.Duration(slowdown * float64(tokens) / m.options.PromptTokensPerSecond * float64(time.Second))
	return waitFor(duration, done)
}

// transfer waits for the time that cached tokens take to arrive from another engine, unless the client disconnects.
func (m *engineModel) transfer(tokens int, done <-chan struct{}) bool {
	return waitFor(time.Duration(float64(tokens)/m.options.MoveTokensPerSecond*float64(time.Second)), done)
}

// decodeStep waits for the next token, unless the client disconnects.
func (m *engineModel) decodeStep(done <-chan struct{}) bool {
	m.mu.Lock()
	wait := m.options.StepTime + time.Duration(m.running)*m.options.StepPerRun
	m.mu.Unlock()
	return waitFor(wait, done)
}

// beginRun counts a run until the returned function is called.
func (m *engineModel) beginRun() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.running--
	}
}

// waitFor waits for a duration. It returns false if done is closed first.
func waitFor(wait time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
