package backend

// Load is work at a worker.
type Load struct {
	// Running counts requests that were sent and have not ended; Reading counts those among them whose prompt is still to be read,
	// with ReadingTokens to read. DeferredTokens are those of prompts that are read only while nothing else waits.
	Running, Reading, ReadingTokens, DeferredTokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Running:        l.Running + other.Running,
		Reading:        l.Reading + other.Reading,
		ReadingTokens:  l.ReadingTokens + other.ReadingTokens,
		DeferredTokens: l.DeferredTokens + other.DeferredTokens,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return l.Plus(Load{
		Running: -other.Running, Reading: -other.Reading,
		ReadingTokens: -other.ReadingTokens, DeferredTokens: -other.DeferredTokens,
	})
}

// Writing returns the requests that an engine is answering.
func (l Load) Writing() int { return max(l.Running-l.Reading, 0) }
