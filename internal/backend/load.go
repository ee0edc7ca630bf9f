package backend

// Load is the amount of work at a worker.
type Load struct {
	// Running counts requests that were sent and have not ended. Prefilling counts those whose prompt is still to be
	// processed, with PrefillTokens prompt tokens in total. DeferredTokens counts the tokens of low-priority prompts,
	// which are processed only when no other prompt waits.
	Running, Prefilling, PrefillTokens, DeferredTokens int
	// Waiting counts low-priority requests whose prompt was processed elsewhere and that have not started decoding.
	// All other requests take precedence.
	Waiting int
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Running:        l.Running + other.Running,
		Prefilling:     l.Prefilling + other.Prefilling,
		PrefillTokens:  l.PrefillTokens + other.PrefillTokens,
		DeferredTokens: l.DeferredTokens + other.DeferredTokens,
		Waiting:        l.Waiting + other.Waiting,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return l.Plus(Load{
		Running: -other.Running, Prefilling: -other.Prefilling,
		PrefillTokens: -other.PrefillTokens, DeferredTokens: -other.DeferredTokens, Waiting: -other.Waiting,
	})
}

// Decoding returns the number of requests that an engine is decoding or that are ready for decoding, without the
// low-priority ones that wait.
func (l Load) Decoding() int { return max(l.Running-l.Prefilling-l.Waiting, 0) }
