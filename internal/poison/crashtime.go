package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// crashTime bounds the moment at which a worker crashed. A connection that breaks tells the moment; a worker that falls silent crashed at some time
// between its last sign of life and the first request that got no answer.
type crashTime struct {
	// broken is when the first connection broke; zero if none did.
	broken time.Time
	// silent is when the first request got no answer; zero if none did. alive is the last sign of life before the silence, or before the break if there
	// was no silence; zero if it is not known.
	silent, alive time.Time
}

// crashTimeTolerance is how far reports of the same moment may differ because of message delay.
const crashTimeTolerance = 30 * time.Millisecond

// isSilence reports whether the worker fell silent before any connection broke.
func (c crashTime) isSilence() bool {
	return !c.silent.IsZero() && (c.broken.IsZero() || c.silent.Before(c.broken.Add(crashTimeTolerance)))
}

// latest returns the time by which the worker had crashed.
func (c crashTime) latest() time.Time {
	if c.isSilence() {
		return c.silent
	}
	return c.broken
}

// maxSilence is the longest time for which a worker with a record has shown no sign of life: its record lapses then.
const maxSilence = recordTimeout

// earliest returns the time until which the worker had not crashed.
func (c crashTime) earliest() time.Time {
	if c.isSilence() {
		return later(c.alive, c.silent.Add(-maxSilence))
	}
	return c.broken
}

// merge returns what two gateways know together. The earlier silence counts, with the sign of life before it: messages may be late, and move both.
func (c crashTime) merge(other crashTime) crashTime {
	c, other = c.unless(other.life()), other.unless(c.life())
	merged := crashTime{broken: earlierKnown(c.broken, other.broken), silent: c.silent, alive: c.alive}
	switch {
	case c.silent.IsZero() && other.silent.IsZero():
		merged.alive = later(c.alive, other.alive)
	case c.silent.IsZero(), !other.silent.IsZero() && other.silent.Before(c.silent):
		merged.silent, merged.alive = other.silent, other.alive
	}
	return merged
}

// life returns the last sign of life before a connection broke; zero if it is not known.
func (c crashTime) life() time.Time {
	if c.silent.IsZero() {
		return c.alive
	}
	return time.Time{}
}

// unless returns what is left of the report if the worker was alive at the given time: a silence that it outlived was not its end.
func (c crashTime) unless(alive time.Time) crashTime {
	if !c.silent.IsZero() && alive.After(c.silent) {
		return crashTime{broken: c.broken}
	}
	return c
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierKnown returns the earlier of two times that are not zero, or zero if both are.
func earlierKnown(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// crashTimes holds when workers crashed, by the incarnation of the worker. Gateways notice a crash at different times; what counts is the crash.
type crashTimes struct {
	byWorker map[string]crashTime
	// unsent are the workers whose silence the next update tells: those that this gateway has noticed, and those whose crashes it tells.
	unsent map[string]bool
	// limit bounds the workers.
	limit int
	// life returns the last sign of life of a worker that this gateway has seen, zero if there is none; nil if signs of life are unknown.
	life func(worker string) time.Time
}

// newCrashTimes returns an empty record of at most limit workers.
func newCrashTimes(limit int) *crashTimes {
	return &crashTimes{byWorker: map[string]crashTime{}, unsent: map[string]bool{}, limit: limit}
}

// merge adds a report and reports whether the bounds of a known crash have changed.
func (c *crashTimes) merge(now time.Time, worker string, report crashTime) bool {
	known, found := c.byWorker[worker]
	if !found && len(c.byWorker) >= c.limit {
		return false
	}
	var alive time.Time
	if c.life != nil {
		alive = c.life(worker)
	}
	merged := known.unless(alive).merge(report.unless(alive))
	switch {
	case merged.broken.IsZero() && merged.silent.IsZero():
		merged.silent, merged.alive = now, alive
	case !merged.silent.IsZero():
		merged.alive = later(merged.alive, alive)
	}
	if merged == known {
		return false
	}
	c.byWorker[worker] = merged
	return found
}

// isSilenceAt reports whether a worker is known to have fallen silent at the given time, so that a report of its crash then is none of a broken connection.
func (c *crashTimes) isSilenceAt(worker string, at time.Time) bool {
	known, found := c.byWorker[worker]
	return found && known.isSilence() && at.Sub(known.silent).Abs() < crashTimeTolerance
}

// tell makes the next update tell of the silence of a worker, if it fell silent: its crash is told with that update, and alone it would count as one
// at an exact moment.
func (c *crashTimes) tell(worker string) {
	if c.byWorker[worker].isSilence() {
		c.unsent[worker] = true
	}
}

// latest returns the time by which a worker had crashed, or the given time if it is unknown.
func (c *crashTimes) latest(worker string, unknown time.Time) time.Time {
	if known, found := c.byWorker[worker]; found {
		return known.latest()
	}
	return unknown
}

// earliest returns the time before which a worker had not crashed, or the given time if it is unknown.
func (c *crashTimes) earliest(worker string, unknown time.Time) time.Time {
	if known, found := c.byWorker[worker]; found {
		return known.earliest()
	}
	return unknown
}

// coincide reports whether a single moment explains the crashes of two workers. Unknown times are those given.
func (c *crashTimes) coincide(a string, aAt time.Time, b string, bAt time.Time, minInterval time.Duration) bool {
	return c.earliest(b, bAt).Sub(c.latest(a, aAt)) < minInterval && c.earliest(a, aAt).Sub(c.latest(b, bAt)) < minInterval
}

// expire forgets the crashes before the given time, except those of the workers that are kept.
func (c *crashTimes) expire(before time.Time, keeps func(worker string) bool) {
	maps.DeleteFunc(c.byWorker, func(worker string, known crashTime) bool { return known.latest().Before(before) && !keeps(worker) })
	maps.DeleteFunc(c.unsent, func(worker string, _ bool) bool { _, found := c.byWorker[worker]; return !found })
}

// distinct counts the crashes of workers that are distinct: the fewest moments, at least minInterval apart, that explain all of them. Workers that
// fell silent together, as a rack or a network does, count once, however late each was noticed. Crashes map the workers to times that stand in for
// unknown ones.
func (c *crashTimes) distinct(crashes map[string]time.Time, workers []string, minInterval time.Duration) int {
	return c.distinctRuns(crashes, nil, workers, minInterval)
}

// runTimes bounds the runs of one request at a worker that crashed.
type runTimes struct {
	// began is when the first of the runs was sent to the worker, and broke when the first connection to it broke; zero if that is not known.
	began, broke time.Time
}

// merge returns what two gateways know together.
func (r runTimes) merge(other runTimes) runTimes {
	return runTimes{began: earlierKnown(r.began, other.began), broke: earlierKnown(r.broke, other.broke)}
}

// ended returns the time by which the worker had crashed. Its silence doesn't tell: a run lasts longer than a gateway waits for its first byte. A worker to
// which a run was sent had not crashed before.
func (r runTimes) ended(crashedAt time.Time) time.Time {
	if !r.broke.IsZero() {
		return r.broke
	}
	return later(crashedAt, r.began)
}

// distinctRuns is like distinct for crashes under the runs of one request, whose times are given as far as they are known. Runs that were in progress
// together count once: the request did nothing new between their crashes.
func (c *crashTimes) distinctRuns(crashes map[string]time.Time, runs map[string]runTimes, workers []string, minInterval time.Duration) int {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(a, b string) int {
		return cmp.Or(c.latest(a, crashes[a]).Compare(c.latest(b, crashes[b])), cmp.Compare(a, b))
	})
	count := 0
	var last, lastRun time.Time
	for _, worker := range workers {
		began := runs[worker].began
		isApart := c.earliest(worker, crashes[worker]).Sub(last) >= minInterval && (began.IsZero() || began.After(lastRun))
		if count == 0 || isApart {
			count++
			last = c.latest(worker, crashes[worker])
			lastRun = runs[worker].ended(last)
		}
	}
	return count
}

// span returns the time that certainly passed between the first and the last crash of the workers.
func (c *crashTimes) span(crashes map[string]time.Time, workers []string) time.Duration {
	var firstLatest, lastEarliest time.Time
	for _, worker := range workers {
		firstLatest = earlierKnown(firstLatest, c.latest(worker, crashes[worker]))
		lastEarliest = later(lastEarliest, c.earliest(worker, crashes[worker]))
	}
	return max(lastEarliest.Sub(firstLatest), 0)
}

// isRefuted reports whether something succeeded since a bar of it began, or since the last of the crashes that the bar is for. Crashes of unknown times
// count as of the start of the bar.
func (c *crashTimes) isRefuted(bar Bar, succeededAt time.Time) bool {
	last := time.Time{}
	for _, worker := range bar.Workers {
		last = later(last, c.latest(worker, bar.Since))
	}
	if last.IsZero() {
		last = bar.Since
	}
	return !succeededAt.IsZero() && !(bar.Since.After(succeededAt) && last.After(succeededAt))
}

// SilentCrash is the crash of a worker that fell silent, as it is sent between gateways.
type SilentCrash struct {
	_ struct{} `cbor:",toarray"`
	// Worker is the id of the worker's incarnation.
	Worker string
	// SilentAgoMs is the age of the first request that got no answer when it is sent, and AliveAgoMs that of the last sign of life, in milliseconds;
	// the latter is negative if none is known.
	SilentAgoMs, AliveAgoMs int64
}

// take returns the crashes of silent workers to send: those that have changed since the last call, latest first, and those of the given workers.
func (c *crashTimes) take(now time.Time, limit int, repeated []string) []SilentCrash {
	workers := slices.Collect(maps.Keys(c.unsent))
	slices.SortFunc(workers, func(a, b string) int {
		return cmp.Or(c.byWorker[b].silent.Compare(c.byWorker[a].silent), cmp.Compare(a, b))
	})
	for _, worker := range repeated {
		if !c.unsent[worker] {
			workers = append(workers, worker)
		}
	}
	clear(c.unsent)
	var crashes []SilentCrash
	for _, worker := range workers {
		known := c.byWorker[worker]
		if !known.isSilence() || len(crashes) == limit {
			continue
		}
		crash := SilentCrash{Worker: worker, SilentAgoMs: now.Sub(known.silent).Milliseconds(), AliveAgoMs: -1}
		if !known.alive.IsZero() {
			crash.AliveAgoMs = now.Sub(known.alive).Milliseconds()
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// crashTime returns the report of another gateway.
func (s SilentCrash) crashTime(now time.Time) crashTime {
	report := crashTime{silent: now.Add(-time.Duration(s.SilentAgoMs) * time.Millisecond)}
	if s.AliveAgoMs >= 0 {
		report.alive = now.Add(-time.Duration(s.AliveAgoMs) * time.Millisecond)
	}
	return report
}
