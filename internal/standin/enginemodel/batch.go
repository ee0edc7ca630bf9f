package enginemodel

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// batch is the running batch. Its work comes in steps: in each, every decoding run gains a token and up to a chunk of
// prompt tokens is read. Equal steps are grouped into a segment, which is run in one go.
type batch struct {
	// prefilling and decoding list the runs in the order in which they came.
	prefilling []*run
	decoding   []*run
	// reserved is the KV memory of all of them, in tokens.
	reserved int
	// steps counts the steps done since the engine started.
	steps   uint64
	segment segment
}

// segment is a number of steps that are all alike.
type segment struct {
	start    time.Time
	stepTime time.Duration
	// planned is zero when nothing runs.
	planned int
	done    int
	// chunk is the number of prompt tokens read in each step.
	chunk int
}

func (b *batch) size() int { return len(b.prefilling) + len(b.decoding) }

// all lists the runs of the batch, decoding ones first.
func (b *batch) all() []*run {
	runs := make([]*run, 0, b.size())
	runs = append(runs, b.decoding...)
	return append(runs, b.prefilling...)
}

// nextWake is the end of the segment.
func (b *batch) nextWake() time.Time {
	if b.segment.planned == 0 {
		return time.Time{}
	}
	return b.segment.start.Add(time.Duration(b.segment.planned) * b.segment.stepTime)
}

// sync counts the steps of the segment that are done by now.
func (b *batch) sync(now time.Time) {
	s := &b.segment
	if s.planned == 0 || !now.After(s.start) {
		return
	}
	done := min(s.planned, int(now.Sub(s.start)/s.stepTime))
	if done <= s.done {
		return
	}
	steps := done - s.done
	s.done = done
	b.steps += uint64(steps)
	b.read(steps * s.chunk)
}

// read takes prompt tokens off the prefilling runs, the first ones first.
func (b *batch) read(tokens int) {
	for _, r := range b.prefilling {
		if tokens == 0 {
			return
		}
		part := min(tokens, r.prefillLeft)
		r.prefillLeft -= part
		tokens -= part
	}
}

// interrupt ends the segment at the next end of a step, so that the batch can change there.
func (b *batch) interrupt(now time.Time) {
	b.sync(now)
	b.segment.planned = min(b.segment.planned, b.segment.done+1)
}

// remove takes a run out of the batch.
func (b *batch) remove(r *run) {
	if r.state == runPrefilling {
		b.prefilling = without(b.prefilling, r)
	} else {
		b.decoding = without(b.decoding, r)
	}
	b.reserved -= r.reserved
}

// plan makes the next segment from what is in the batch.
func (b *batch) plan(now time.Time, profile RoleProfile, eventInterval int) {
	b.segment = segment{}
	if b.size() == 0 {
		return
	}
	chunk, steps := b.planPrefill(profile.ChunkTokens)
	if decodeSteps := b.decodeSteps(eventInterval); decodeSteps > 0 && (steps == 0 || decodeSteps < steps) {
		steps = decodeSteps
	}
	reading := time.Duration(float64(chunk) / profile.PrefillTokensPerSecond * float64(time.Second))
	b.segment = segment{
		start:    now,
		stepTime: profile.StepBase + time.Duration(len(b.decoding))*profile.StepPerRun + reading,
		planned:  steps,
		chunk:    chunk,
	}
}

// planPrefill returns the prompt tokens for each step, and for how many steps this can go on: while the first prompt
// fills whole chunks, or else one step that packs several prompts.
func (b *batch) planPrefill(chunkTokens int) (chunk, steps int) {
	if len(b.prefilling) == 0 {
		return 0, 0
	}
	if whole := b.prefilling[0].prefillLeft / chunkTokens; whole > 0 {
		return chunkTokens, whole
	}
	for _, r := range b.prefilling {
		chunk += r.prefillLeft
		if chunk >= chunkTokens {
			return chunkTokens, 1
		}
	}
	return chunk, 1
}

// decodeSteps returns the number of steps until a decoding run ends or tokens are due to be sent.
func (b *batch) decodeSteps(eventInterval int) int {
	if len(b.decoding) == 0 {
		return 0
	}
	interval := uint64(eventInterval)
	steps := interval - b.steps%interval
	for _, r := range b.decoding {
		steps = min(steps, uint64(r.total()-r.producedAt(b.steps)))
	}
	return int(steps)
}

// settle ends a segment: prompts that are read begin to decode, answers that are whole end, tokens are sent, waiting
// runs enter the batch, and the next segment is planned.
func (m *Model) settle(now time.Time) {
	m.batch.sync(now)
	m.batch.segment = segment{}
	fresh := m.startDecoding()
	m.finishDecoding(now)
	if m.batch.steps%uint64(m.settings.TokenEventInterval) == 0 {
		fresh = m.batch.decoding
	}
	for _, r := range fresh {
		m.stream(r)
	}
	m.admit(now)
	m.cacheChanged(now)
	m.batch.plan(now, m.settings.Profile(m.configuration.Role), m.settings.TokenEventInterval)
}

// startDecoding moves the runs whose prompt is read and returns them. Reading the end of a prompt yields a first token.
func (m *Model) startDecoding() []*run {
	b := &m.batch
	var fresh []*run
	kept := b.prefilling[:0]
	for _, r := range b.prefilling {
		if r.prefillLeft > 0 {
			kept = append(kept, r)
			continue
		}
		r.state = runDecoding
		r.produced = r.submit.ContinueFrom + 1
		r.step = b.steps
		m.cache.store(r.submit.PrefixBlocks)
		fresh = append(fresh, r)
	}
	clear(b.prefilling[len(kept):])
	b.prefilling = kept
	b.decoding = append(b.decoding, fresh...)
	return fresh
}

// finishDecoding ends the runs whose answer is whole.
func (m *Model) finishDecoding(now time.Time) {
	b := &m.batch
	kept := b.decoding[:0]
	for _, r := range b.decoding {
		if r.producedAt(b.steps) < r.total() {
			kept = append(kept, r)
			continue
		}
		b.reserved -= r.reserved
		m.finish(now, r)
	}
	if len(kept) < len(b.decoding) {
		clear(b.decoding[len(kept):])
		b.decoding = kept
		m.resizeCache()
	}
}

func (m *Model) finish(now time.Time, r *run) {
	r.state = runFinished
	r.produced = r.total()
	m.observer.RunFinished(now, m.record(r))
	m.answers.add(r, now.Add(m.settings.AnswerRetention))
	m.stream(r)
}

// admit moves waiting runs into the batch while there is room, without overtaking.
func (m *Model) admit(now time.Time) {
	for r := m.waiting.head(); r != nil && m.fits(r); r = m.waiting.head() {
		m.waiting.remove(r)
		m.startRun(now, r)
	}
}

// fits tells whether a run can enter the batch.
func (m *Model) fits(r *run) bool {
	if !m.change.none() {
		return false
	}
	profile := m.settings.Profile(m.configuration.Role)
	return m.batch.size() < profile.Slots && m.batch.reserved+r.reserved <= m.settings.MemoryTokens
}

func (m *Model) startRun(now time.Time, r *run) {
	r.started = true
	m.observer.RunStarted(now, m.record(r))
	if r.submit.ContinueFrom >= r.total() {
		m.finish(now, r)
		return
	}
	r.state = runPrefilling
	cached := m.cache.lookup(r.submit.PrefixBlocks) * engine.PrefixBlockTokens
	toRead := int(r.submit.PromptTokens) + int(r.submit.ContinueFrom) - cached
	r.prefillLeft = max(toRead, 1)
	m.batch.prefilling = append(m.batch.prefilling, r)
	m.batch.reserved += r.reserved
	m.resizeCache()
}
