package placement

import "math"

// Names of the scores, as weights and reasons use them.
const (
	ScoreQueue    = "queue"
	ScorePrompt   = "prompt"
	ScorePrefix   = "prefix"
	ScoreOutput   = "output"
	ScoreOthers   = "others"
	ScoreRole     = "role"
	ScoreMemory   = "memory"
	ScoreRecovery = "recovery"
	ScoreZone     = "zone"
)

// situation is what the scores of one request share.
type situation struct {
	request  *Request
	settings *Settings
	// meanRunning is the mean number of runs of the engines that passed the filters.
	meanRunning float64
}

// score estimates one part of the cost of an engine, in seconds.
type score struct {
	name    string
	seconds func(s *situation, candidate *Engine, speed Speed) float64
}

var scores = []score{
	{ScoreQueue, queueSeconds},
	{ScorePrompt, promptSeconds},
	{ScorePrefix, prefixSeconds},
	{ScoreOutput, outputSeconds},
	{ScoreOthers, othersSeconds},
	{ScoreRole, roleSeconds},
	{ScoreMemory, memorySeconds},
	{ScoreRecovery, recoverySeconds},
	{ScoreZone, zoneSeconds},
}

// queueSeconds is the time until the prompts that are already there are read.
func queueSeconds(_ *situation, candidate *Engine, speed Speed) float64 {
	return readingSeconds(speed, candidate.PendingPromptTokens, candidate.Running)
}

// promptSeconds is the time to read the prompt.
func promptSeconds(s *situation, candidate *Engine, speed Speed) float64 {
	return readingSeconds(speed, s.request.PromptTokens, candidate.Running)
}

// prefixSeconds is the reading time saved by a cached prefix, as a negative cost. An engine that has many more runs
// than the mean gains nothing, so that a hot prefix cannot draw everything to one engine.
func prefixSeconds(s *situation, candidate *Engine, speed Speed) float64 {
	bound := math.Ceil(s.settings.PrefixLoadBound * (s.meanRunning + 1))
	if float64(candidate.Running) >= bound {
		return 0
	}
	return -readingSeconds(speed, min(candidate.CachedTokens, s.request.PromptTokens), candidate.Running)
}

// outputSeconds is the time to produce the answer in the batch that would result.
func outputSeconds(s *situation, candidate *Engine, speed Speed) float64 {
	return float64(s.request.OutputTokens) * tokenSeconds(candidate, speed)
}

// othersSeconds is the delay that the request imposes on the runs that are already there: reading its prompt holds
// their steps up, and a larger batch makes each of their steps longer.
func othersSeconds(s *situation, candidate *Engine, speed Speed) float64 {
	uncached := max(0, s.request.PromptTokens-candidate.CachedTokens)
	reading := float64(uncached) / speed.PromptTokensPerSecond * float64(candidate.Running)
	remaining := min(s.request.OutputTokens*candidate.Running, candidate.PendingOutputTokens)
	return reading + float64(remaining)*speed.StepSecondsPerRun
}

// roleSeconds is the time of the engine that the request takes from later ones: little when the engine's role suits the
// request. A slot counts as its part of the whole engine.
func roleSeconds(s *situation, candidate *Engine, speed Speed) float64 {
	uncached := max(0, s.request.PromptTokens-candidate.CachedTokens)
	return float64(uncached)/speed.PromptTokensPerSecond +
		float64(s.request.OutputTokens)*stepSeconds(speed, speed.Slots)/float64(speed.Slots)
}

// memorySeconds grows as the KV memory fills beyond comfort.
func memorySeconds(s *situation, candidate *Engine, _ Speed) float64 {
	if candidate.MemoryTotal <= 0 || s.settings.MemoryComfort >= 1 {
		return 0
	}
	share := float64(candidate.MemoryUsed+memoryNeed(s.request)) / float64(candidate.MemoryTotal)
	excess := max(0, share-s.settings.MemoryComfort) / (1 - s.settings.MemoryComfort)
	return excess * excess * s.settings.MemoryPenaltySeconds
}

// recoverySeconds makes an engine that has just come back take up work slowly.
func recoverySeconds(s *situation, candidate *Engine, _ Speed) float64 {
	return candidate.Recovering * float64(candidate.Running) * s.settings.RecoveryPenaltySeconds
}

// zoneSeconds prefers engines near the caller.
func zoneSeconds(s *situation, candidate *Engine, _ Speed) float64 {
	if s.request.Zone == "" || candidate.Zone == "" || s.request.Zone == candidate.Zone {
		return 0
	}
	return s.settings.OtherZoneSeconds
}

// stepSeconds is the time of one output token in a batch.
func stepSeconds(speed Speed, runs int) float64 {
	return speed.StepSeconds + speed.StepSecondsPerRun*float64(max(0, runs-1))
}

// readingSeconds is the time to read prompt tokens beside a batch of so many runs, which gain a token in each step.
func readingSeconds(speed Speed, tokens, runs int) float64 {
	reading := float64(tokens) / speed.PromptTokensPerSecond
	if speed.ChunkTokens <= 0 {
		return reading
	}
	return reading + float64(tokens)/float64(speed.ChunkTokens)*stepSeconds(speed, runs)
}

// firstTokenSeconds is the expected time to the first token.
func firstTokenSeconds(request *Request, candidate *Engine, speed Speed) float64 {
	uncached := max(0, request.PromptTokens-candidate.CachedTokens)
	return readingSeconds(speed, candidate.PendingPromptTokens+uncached, candidate.Running) +
		stepSeconds(speed, candidate.Running+1)
}

// finishSeconds is the expected time to the end of the answer.
func finishSeconds(request *Request, candidate *Engine, speed Speed) float64 {
	return firstTokenSeconds(request, candidate, speed) +
		float64(max(0, request.OutputTokens-1))*tokenSeconds(candidate, speed)
}

// greatestReadingShare keeps the time between tokens bounded.
const greatestReadingShare = 0.9

// tokenSeconds is the expected time between two tokens of a further run, with the prompts that are read in between.
func tokenSeconds(candidate *Engine, speed Speed) float64 {
	share := min(greatestReadingShare, max(0, candidate.ReadingShare))
	return stepSeconds(speed, candidate.Running+1) / (1 - share)
}
