package placement

import (
	"math"
	"time"
)

// ReadingMeter measures which share of its time one engine spends reading prompts, from what its owner sends it. The
// zero value is ready to use.
type ReadingMeter struct {
	// seconds is the sum of reading times, each of which fades with its age.
	seconds float64
	last    time.Time
}

// readingMemory is the time in which a reading time fades to 1/e.
const readingMemory = 4 * time.Second

// Record counts a prompt that was sent to the engine; tokens are those that are not cached.
func (m *ReadingMeter) Record(now time.Time, tokens int, speed Speed) {
	m.fade(now)
	if speed.PromptTokensPerSecond > 0 {
		m.seconds += float64(tokens) / speed.PromptTokensPerSecond
	}
}

// Share returns the share of its time that the engine lately spent reading.
func (m *ReadingMeter) Share(now time.Time) float64 {
	m.fade(now)
	return min(1, m.seconds/readingMemory.Seconds())
}

func (m *ReadingMeter) fade(now time.Time) {
	if !m.last.IsZero() && now.After(m.last) {
		m.seconds *= math.Exp(-now.Sub(m.last).Seconds() / readingMemory.Seconds())
	}
	if m.last.IsZero() || now.After(m.last) {
		m.last = now
	}
}
