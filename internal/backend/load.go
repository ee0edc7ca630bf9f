package backend

// Load is work at a worker.
type Load struct {
	// Running counts requests that were sent and have not ended; Reading counts those among them whose prompt is still to be read,
	// with ReadingTokens to read. DeferredTokens are those of prompts that are read only while nothing else waits.
	Running, Reading, ReadingTokens, DeferredTokens int
	// Waiting counts late requests whose prompt was read elsewhere and that have not begun: all others go before them.
	Waiting int
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Running:        l.Running + other.Running,
		Reading:        l.Reading + other.Reading,
		ReadingTokens:  l.ReadingTokens + other.ReadingTokens,
		DeferredTokens: l.DeferredTokens + other.DeferredTokens,
		Waiting:        l.Waiting + other.Waiting,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return l.Plus(Load{
		Running: -other.Running, Reading: -other.Reading,
		ReadingTokens: -other.ReadingTokens, DeferredTokens: -other.DeferredTokens, Waiting: -other.Waiting,
	})
}

// Writing returns the requests that an engine is answering, or that wait there for a place before the late ones.
func (l Load) Writing() int { return max(l.Running-l.Reading-l.Waiting, 0) }
