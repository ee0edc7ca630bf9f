package poison

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// span returns the times of the first and the last crash of a part, zero if there is none.
func span(state *partState) (first, last time.Time) { return spanOf(maps.Values(state.crashes)) }

// spanOf returns the first and the last of the times, zero if there is none.
func spanOf(times iter.Seq[time.Time]) (first, last time.Time) {
	for at := range times {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// unexplained returns the crashed workers of a part whose crashes no other barred part explains. A gateway does not know which parts were
// answered before its start, so earlier crashes don't count.
func (t *partTable) unexplained(part Part, state *partState) []string {
	var workers []string
	for worker, at := range state.crashes {
		if at.After(t.started) && !t.explains(worker, part) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// shouldBar reports whether to bar a part: it reached a crash limit that no request and no better candidate explains, or crashed a worker
// after an earlier bar.
func (t *partTable) shouldBar(part Part, state *partState) bool {
	if state.barCount == 0 && len(state.crashes) < t.settings.Parts.CrashLimit {
		return false
	}
	workers := t.unexplained(part, state)
	if len(workers) == 0 {
		return false
	}
	if _, isOfOne := t.atOneVersion(part, state); isOfOne {
		return false
	}
	if state.barCount > 0 {
		// After a first bar, a single crash is enough.
		return true
	}
	limits := t.settings.Parts
	count := t.times.distinct(state.crashes, workers, t.settings.MinCrashInterval)
	minShare := limits.MinShare
	if count >= limits.AmbiguousCrashLimit {
		minShare = limits.AmbiguousMinShare
	}
	if count < limits.CrashLimit || t.byOneRequest(workers) || t.share(part, state) < minShare {
		return false
	}
	if !t.wasAnswered(part, state) {
		ambiguousLimit := limits.AmbiguousCrashLimit
		if part.Version != "" {
			ambiguousLimit = limits.AmbiguousVersionCrashLimit
		}
		return count >= ambiguousLimit || !t.ambiguous(part, state, workers)
	}
	isLasting := !t.knownAnswered(part, state) || t.times.span(state.crashes, workers) >= limits.UnansweredTime
	return count >= limits.AmbiguousCrashLimit && isLasting
}

// atOneVersion returns the part at the version of its crashed workers, if all of them were of one version while others served beside them. Then
// the part is barred at that version at most.
func (t *partTable) atOneVersion(part Part, state *partState) (Part, bool) {
	if part.Version != "" {
		return Part{}, false
	}
	workers := slices.Collect(maps.Keys(state.crashes))
	if len(workers) == 0 {
		return Part{}, false
	}
	for other := range t.byWorker[workers[0]] {
		if other.Version != "" && other.isSamePart(part) && coversAll(t.parts[other], workers) {
			return other, true
		}
	}
	return Part{}, false
}

// share returns the share of a part in the crashes of its group, from its first crash to its last.
func (t *partTable) share(part Part, state *partState) float64 {
	first, last := span(state)
	all := 0
	for worker, at := range t.crashed {
		at = t.times.latest(worker.worker, at)
		if worker.group == part.Group && !at.Before(first.Add(-t.settings.MinCrashInterval)) && !at.After(last.Add(t.settings.MinCrashInterval)) {
			all++
		}
	}
	return float64(len(state.crashes)) / float64(max(all, len(state.crashes)))
}

// byOneRequest reports whether a single request ran at nearly all of the workers.
func (t *partTable) byOneRequest(workers []string) bool {
	return t.mostByOneRequest != nil && len(workers)-t.mostByOneRequest(workers) < t.settings.Parts.MinOtherRequests
}

// ambiguous reports whether requests with another part that was not answered either ran at all of the workers.
func (t *partTable) ambiguous(part Part, state *partState, workers []string) bool {
	for other := range t.byWorker[workers[0]] {
		candidate := t.parts[other]
		if other.isSamePart(part) || (part.Version == "" && other.Version != "") {
			// A part at one version is no other explanation, and does not delay a bar for all workers.
			continue
		}
		if candidate.barCount == 0 && !t.wasAnswered(other, candidate) && coversAll(candidate, workers) {
			return true
		}
	}
	return false
}

// evaluate bars the parts that are due and reached a crash limit, and returns their bars. The likeliest cause comes first, because it then
// explains the crashes under the others.
func (t *partTable) evaluate(now time.Time) []Bar {
	candidates := map[Part]bool{}
	for part, at := range t.due {
		if now.Before(at) {
			continue
		}
		delete(t.due, part)
		if t.shouldBar(part, t.parts[part]) {
			candidates[part] = true
		}
	}
	var bars []Bar
	for len(candidates) > 0 {
		part := t.likeliest(candidates)
		delete(candidates, part)
		if state := t.parts[part]; !now.Before(state.barredUntil) && t.shouldBar(part, state) {
			bars = append(bars, t.barPart(now, part, state))
		}
	}
	return bars
}

// likeliest returns the candidate that is the likeliest cause of its crashes. Parts that were answered shortly before come last. Among the
// others, those with nearly the most crashes come first, and of these the one with the fewest requests: a part that is in all requests is
// under all crashes, too.
func (t *partTable) likeliest(candidates map[Part]bool) Part {
	most := 0
	for part := range candidates {
		if state := t.parts[part]; !t.knownAnswered(part, state) {
			most = max(most, len(state.crashes))
		}
	}
	rank := func(part Part) (answered, few bool, state *partState) {
		state = t.parts[part]
		return t.knownAnswered(part, state), len(state.crashes) < most-most/4, state
	}
	parts := make([]Part, 0, len(candidates))
	for part := range candidates {
		parts = append(parts, part)
	}
	return slices.MinFunc(parts, func(a, b Part) int {
		answeredA, fewA, first := rank(a)
		answeredB, fewB, second := rank(b)
		return cmp.Or(
			compareBools(answeredA, answeredB), compareBools(fewA, fewB), first.requests-second.requests,
			len(second.crashes)-len(first.crashes), compareParts(a, b),
		)
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// barPart bars a part.
func (t *partTable) barPart(now time.Time, part Part, state *partState) Bar {
	trialDelay := t.settings.Parts.TrialDelay
	if state.barCount == 0 && t.knownAnswered(part, state) {
		trialDelay = t.settings.Parts.AnsweredTrialDelay
	}
	state.create(now, t.settings, trialDelay)
	state.lastReport = now
	t.unsentParts[part] = true
	bar := state.bar(part)
	bar.Basis = t.basis(now, part, state)
	return bar
}

// nextEvaluation returns the time of the next evaluation, or the zero time.
func (t *partTable) nextEvaluation() time.Time {
	var next time.Time
	for _, at := range t.due {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// beginTrial reports whether a request with a barred part may be sent to a worker now, to find out whether the part still crashes workers.
// isElected tells whether this gateway is the one to begin the trial with a number.
func (t *partTable) beginTrial(now time.Time, part Part, isElected func(number int) bool) bool {
	state, found := t.parts[part]
	if !found || !state.beginTrial(now, t.settings.Parts, isElected) {
		return false
	}
	t.unsentParts[part] = true
	return true
}

// returnTrial undoes beginTrial for a request that was sent to no worker.
func (t *partTable) returnTrial(part Part) {
	if state, found := t.parts[part]; found {
		state.returnTrial()
	}
}

// applyBar applies a bar received from another gateway or the store. It reports whether it newly bars the part.
func (t *partTable) applyBar(now time.Time, bar Bar) bool {
	t.start(now)
	if t.isRefuted(now, bar) {
		return false
	}
	state, found := t.parts[bar.Part]
	if found && state.barCount > 0 && !bar.Since.After(state.barredSince.Add(barTimeTolerance)) {
		t.mergeBar(bar, state)
		return false
	}
	if !found {
		state = t.addPart(now, bar.Part)
	}
	isNew := !now.Before(state.barredUntil)
	state.receive(now, bar, bar.TrialDelay)
	state.lastReport = now
	t.mergeBar(bar, state)
	delete(t.due, bar.Part)
	return isNew
}

// isRefuted reports whether a part was answered since a bar began, or since the last of the crashes that it is for. The gateways that believe the bar
// are then told of the answer.
func (t *partTable) isRefuted(now time.Time, bar Bar) bool {
	state, found := t.parts[bar.Part]
	answeredAt := t.answered.of(bar.Part)
	if found {
		answeredAt = state.answeredAt
	}
	if !t.times.isRefuted(bar, answeredAt) {
		return false
	}
	if !found {
		state = t.addPart(now, bar.Part)
	}
	state.isRefutationUntold = true
	t.unsentParts[bar.Part] = true
	return true
}

// mergeBar adds the trials and the crashed workers of a bar that is in force. Crashes of unknown times count as of its start.
func (t *partTable) mergeBar(bar Bar, state *partState) {
	state.trials = max(state.trials, bar.Trials)
	for _, worker := range bar.Workers {
		if _, known := state.crashes[worker]; !known {
			t.addCrash(t.times.latest(worker, state.barredSince), bar.Part, state, worker)
		}
	}
}

// release voids all evidence against the part with a digest, and reports whether the part was barred.
func (t *partTable) release(now time.Time, digest Digest) (Part, bool) {
	for part, state := range t.parts {
		if state.digest != digest {
			continue
		}
		wasBarred := now.Before(state.barredUntil)
		// recordAnswer lifts only bars that began by the given time. A later start must not keep the bar.
		state.barredSince = time.Time{}
		t.recordAnswer(now, now, part)
		return part, wasBarred
	}
	return Part{}, false
}

// bars returns the active bars in order of expiry.
func (t *partTable) bars(now time.Time) []Bar {
	var bars []Bar
	for part, state := range t.parts {
		if now.Before(state.barredUntil) {
			bars = append(bars, state.bar(part))
		}
	}
	slices.SortFunc(bars, func(a, b Bar) int { return cmp.Or(a.Until.Compare(b.Until), slices.Compare(a.Digest[:], b.Digest[:])) })
	return bars
}
