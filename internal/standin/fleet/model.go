package fleet

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ModelOptions make a worker a model engine that takes its time. The figures are assumed, of the order that is commonly
// reported for accelerators of today; none was measured.
type ModelOptions struct {
	// PromptTokensPerSecond is the pace of reading in the prefill stage; in the decode stage it is half of that.
	PromptTokensPerSecond float64
	// StepTime is the time of one token, and StepPerRun what each other run adds to it.
	StepTime   time.Duration
	StepPerRun time.Duration
	// MemoryTokens bounds the parts of prompts that are kept.
	MemoryTokens int
	// MoveTokensPerSecond is the pace at which the memory of a prompt gets to another worker.
	MoveTokensPerSecond float64
	// StageChange is how long a change of the stage takes.
	StageChange time.Duration
}

// DefaultModel returns an engine of the pace that gateways assume: a long prompt is read within a quarter of a second.
func DefaultModel() *ModelOptions {
	return &ModelOptions{
		PromptTokensPerSecond: 50_000, StepTime: 8 * time.Millisecond, StepPerRun: 300 * time.Microsecond,
		MemoryTokens: 200_000, MoveTokensPerSecond: 1_000_000, StageChange: time.Second,
	}
}

// model is the state of a model engine: what it keeps, and until when it is busy reading. It is safe for concurrent use.
type engineModel struct {
	options ModelOptions

	// reading holds one item while a prompt is read; prompts are read one after the other.
	prefillSlot chan struct{}

	mu           sync.Mutex
	running      int
	cached       map[string]*list.Element
	lru          *list.List
	cachedTokens int
	// readTokens counts the tokens of prompts that were read.
	prefilledTokens int
}

// keptPart is a part of prompts in the memory of an engine.
type promptPart struct {
	id     string
	tokens int
}

// newModel returns an engine that keeps nothing.
func newEngineModel(options ModelOptions) *engineModel {
	return &engineModel{options: options, prefillSlot: make(chan struct{}, 1), cached: map[string]*list.Element{}, lru: list.New()}
}

// partsOf reads the parts of a prompt, each as ID:TOKENS.
func parsePromptParts(header string) []promptPart {
	var parts []promptPart
	for _, each := range strings.Split(header, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(each), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil {
			parts = append(parts, promptPart{id: id, tokens: tokens})
		}
	}
	return parts
}

// missing returns the tokens of a prompt that the engine does not keep: a part counts as kept only behind parts that are.
func (m *engineModel) uncachedTokens(parts []promptPart) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens, missed := 0, false
	for _, part := range parts {
		element, found := m.cached[part.id]
		if found && !missed {
			m.lru.MoveToFront(element)
			continue
		}
		missed = true
		tokens += part.tokens
	}
	return tokens
}

// keep notes that the engine has the parts of a prompt; those used longest ago give way.
func (m *engineModel) addToCache(parts []promptPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		if _, found := m.cached[part.id]; found {
			continue
		}
		m.cached[part.id] = m.lru.PushFront(part)
		m.cachedTokens += part.tokens
	}
	for m.cachedTokens > m.options.MemoryTokens && m.lru.Len() > 0 {
		evicted := m.lru.Remove(m.lru.Back()).(promptPart)
		delete(m.cached, evicted.id)
		m.cachedTokens -= evicted.tokens
	}
}

// keptParts returns what the engine keeps, the parts used last at the end.
func (m *engineModel) cachedParts() []promptPart {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []promptPart
	for element := m.lru.Back(); element != nil; element = element.Prev() {
		parts = append(parts, element.Value.(promptPart))
	}
	return parts
}

// read reads so many tokens once the prompts before it are read. It tells whether the caller is still there; a prompt whose
// caller has gone is not read any further.
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

// move waits until the memory of so many tokens has come from another engine.
func (m *engineModel) transfer(tokens int, done <-chan struct{}) bool {
	return waitFor(time.Duration(float64(tokens)/m.options.MoveTokensPerSecond*float64(time.Second)), done)
}

// step waits for the next token.
func (m *engineModel) decodeStep(done <-chan struct{}) bool {
	m.mu.Lock()
	wait := m.options.StepTime + time.Duration(m.running)*m.options.StepPerRun
	m.mu.Unlock()
	return waitFor(wait, done)
}

// run counts a run until the returned function is called.
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

// pause waits, and tells whether nobody left meanwhile.
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
