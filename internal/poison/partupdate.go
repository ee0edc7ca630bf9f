package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PartUpdate is an update about parts of prompts that a gateway sends to the others. Its fields are numbered, so that other versions skip
// those that they do not know. Full updates make up for lost messages.
type PartUpdate struct {
	Crashes []PartCrash  `cbor:"1,keyasint,omitempty"`
	Answers []PartAnswer `cbor:"2,keyasint,omitempty"`
	Bars    []PartBar    `cbor:"3,keyasint,omitempty"`
	// ByVersion holds what is limited to the workers of a software version.
	ByVersion map[string]*PartUpdate `cbor:"4,keyasint,omitempty"`
	// Silent tells of workers that crashed without breaking their connections, whatever ran there.
	Silent []SilentCrash `cbor:"5,keyasint,omitempty"`
	// Requests tells more of suspected requests than Update, whose length is fixed.
	Requests []SuspectUpdate `cbor:"6,keyasint,omitempty"`
	// InUse are parts with evidence against them that the sender knows to have been answered before, within PartSettings.AnswerMemory.
	InUse []PartInUse `cbor:"7,keyasint,omitempty"`
}

// at returns the part of the update that is limited to a software version, or the update itself for none.
func (u *PartUpdate) at(version string) *PartUpdate {
	if version == "" {
		return u
	}
	if u.ByVersion == nil {
		u.ByVersion = map[string]*PartUpdate{}
	}
	if u.ByVersion[version] == nil {
		u.ByVersion[version] = &PartUpdate{}
	}
	return u.ByVersion[version]
}

// Empty reports whether there is nothing to send.
func (u *PartUpdate) Empty() bool {
	return len(u.Crashes)+len(u.Answers)+len(u.Bars)+len(u.ByVersion)+len(u.Silent)+len(u.Requests)+len(u.InUse) == 0
}

// PartCrash is the crash of a worker and the parts of the requests to one group that ran there.
type PartCrash struct {
	_ struct{} `cbor:",toarray"`
	// Worker is the id of the worker's incarnation.
	Worker string
	// AgoMs is the age of the crash when it is sent, in milliseconds; gateway clocks may differ.
	AgoMs int64
	Group string
	Parts []string
}

// PartAnswer tells when a worker began to answer a request with a part that has evidence against it, or when the part was released.
type PartAnswer struct {
	_     struct{} `cbor:",toarray"`
	Group string
	Part  string
	// AgoMs is the age of the answer when it is sent, in milliseconds.
	AgoMs int64
}

// PartInUse names a part that was answered before its crashes.
type PartInUse struct {
	_     struct{} `cbor:",toarray"`
	Group string
	Part  string
}

// PartBar is a bar of a part, with relative times because the clocks of gateways may differ.
type PartBar struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Part    string
	Workers []string
	Times   int
	// AgoMs is the age of the bar when it is sent, LeftMs the time until it expires, and TrialDelayMs the time from its start to its first
	// trial, in milliseconds.
	AgoMs, LeftMs, TrialDelayMs int64
	// Trials is how many trials have begun.
	Trials int
}

// takeUpdate returns the changes since the last call. The changes include crashes received from other gateways, as these may have stopped since. A full
// update, for which full is not nil, also repeats all bars, the crashes of its workers and some answers.
func (t *partTable) takeUpdate(now time.Time, full *repetition) PartUpdate {
	var repeated []string
	if full != nil {
		repeated = full.workers
	}
	for worker := range t.unsentWorkers {
		t.times.tell(worker)
	}
	update := PartUpdate{Silent: t.times.take(now, t.settings.MaxPerUpdate, repeated)}
	if t.empty() || (full == nil && len(t.unsentWorkers)+len(t.unsentParts) == 0) {
		return update
	}
	t.addCrashes(now, &update, repeated)
	t.addInUse(&update, repeated)
	t.addAnswers(now, &update, full)
	bars := t.bars(now)
	for _, bar := range bars[max(len(bars)-t.settings.MaxPerUpdate, 0):] {
		if full != nil || t.unsentParts[bar.Part] {
			limited := update.at(bar.Part.Version)
			limited.Bars = append(limited.Bars, PartBar{
				Group: bar.Part.Group, Part: bar.Part.ID, Workers: bar.Workers, Times: bar.Times, AgoMs: now.Sub(bar.Since).Milliseconds(),
				LeftMs: bar.Until.Sub(now).Milliseconds(), TrialDelayMs: bar.TrialDelay.Milliseconds(), Trials: bar.Trials,
			})
		}
	}
	clear(t.unsentWorkers)
	clear(t.unsentParts)
	return update
}

// addAnswers adds the latest answers to an update: those to be told now, and some others to a full one.
func (t *partTable) addAnswers(now time.Time, update *PartUpdate, full *repetition) {
	limit := t.settings.Parts.MaxPerUpdate
	var changed, told []Part
	for part, state := range t.parts {
		ago := now.Sub(state.answeredAt)
		switch {
		case state.answeredAt.IsZero():
		case t.unsentParts[part] && t.sharesAnswer(state, ago):
			changed = append(changed, part)
		case full != nil && (state.isRefutationUntold || ago < full.shareTime(t.settings.SuccessShareTime)):
			told = append(told, part)
		}
	}
	changed = changed[:min(len(changed), limit)]
	if full != nil {
		changed = append(changed, t.answers.next(told, min(full.limit(limit), limit-len(changed)), one)...)
	}
	for _, part := range changed {
		state := t.parts[part]
		state.isRefutationUntold = false
		limited := update.at(part.Version)
		limited.Answers = append(limited.Answers, PartAnswer{Group: part.Group, Part: part.ID, AgoMs: now.Sub(state.answeredAt).Milliseconds()})
	}
}

// sharesAnswer reports whether the other gateways are to be told of the latest answer with a part, which is of the given age.
func (t *partTable) sharesAnswer(state *partState, ago time.Duration) bool {
	return !state.answeredAt.IsZero() && (state.isRefutationUntold || ago < t.settings.SuccessShareTime)
}

// addInUse adds the parts in use to an update: those to be told now, and those under suspicion that crashed the given workers.
func (t *partTable) addInUse(update *PartUpdate, repeated []string) {
	chosen := map[Part]bool{}
	for part, state := range t.parts {
		if state.isUseUntold {
			chosen[part] = true
		}
	}
	for _, worker := range repeated {
		for part := range t.byWorker[worker] {
			if state := t.parts[part]; state.barCount == 0 && len(state.crashes) >= t.settings.Parts.SuspectCrashes {
				chosen[part] = true
			}
		}
	}
	left := t.settings.Parts.MaxPerUpdate
	for part := range chosen {
		state := t.parts[part]
		if left == 0 || !t.hasAnswered(state) {
			continue
		}
		left--
		state.isUseUntold = false
		limited := update.at(part.Version)
		limited.InUse = append(limited.InUse, PartInUse{Group: part.Group, Part: part.ID})
	}
}

// workerCrash is the crash of a worker and the parts that it counts against. Crashes under barred parts are sent with their bars.
type workerCrash struct {
	worker string
	at     time.Time
	// parts are those with the most crashes first, which are the likeliest causes.
	parts []Part
}

// workerCrash returns the crash of a worker; without parts if it counts against none.
func (t *partTable) workerCrash(worker string) workerCrash {
	c := workerCrash{worker: worker}
	for part := range t.byWorker[worker] {
		if state := t.parts[part]; state.barCount == 0 {
			c.parts = append(c.parts, part)
			c.at = state.crashes[worker]
		}
	}
	slices.SortFunc(c.parts, func(a, b Part) int {
		return cmp.Or(len(t.parts[b].crashes)-len(t.parts[a].crashes), compareParts(a, b))
	})
	return c
}

// addCrashes adds the crashes to send to an update, with at most MaxPerUpdate parts: those to be told now, latest first, and those of the given workers.
func (t *partTable) addCrashes(now time.Time, update *PartUpdate, repeated []string) {
	var crashes []workerCrash
	for worker := range t.unsentWorkers {
		crashes = append(crashes, t.workerCrash(worker))
	}
	slices.SortFunc(crashes, func(a, b workerCrash) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.worker, b.worker)) })
	for _, worker := range repeated {
		if !t.unsentWorkers[worker] {
			crashes = append(crashes, t.workerCrash(worker))
		}
	}
	left := t.settings.Parts.MaxPerUpdate
	for _, c := range crashes {
		left -= update.addCrash(now, c, left)
	}
}

// addCrash adds the crash of a worker with at most the given number of parts, split by the groups of the parts and the versions to which they are
// limited, and returns their number. A worker may serve several groups.
func (u *PartUpdate) addCrash(now time.Time, c workerCrash, limit int) int {
	parts := c.parts[:min(len(c.parts), limit)]
	byGroup := map[Part][]string{}
	for _, part := range parts {
		key := Part{Group: part.Group, Version: part.Version}
		byGroup[key] = append(byGroup[key], part.ID)
	}
	for _, key := range slices.SortedFunc(maps.Keys(byGroup), compareParts) {
		limited := u.at(key.Version)
		limited.Crashes = append(limited.Crashes, PartCrash{Worker: c.worker, AgoMs: now.Sub(c.at).Milliseconds(), Group: key.Group, Parts: byGroup[key]})
	}
	return len(parts)
}

// applyUpdate merges an update of another gateway. It returns the bars that are new, and the workers whose crashes became void for a part.
func (t *partTable) applyUpdate(now time.Time, update *PartUpdate) (newBars []Bar, voided []string) {
	fellSilent := map[string]bool{}
	for _, crash := range update.Silent {
		fellSilent[crash.Worker] = true
		t.mergeTime(now, crash.Worker, crash.crashTime(now))
	}
	newBars, voided = t.applyUpdateAt(now, update, "", fellSilent)
	for version, limited := range update.ByVersion {
		if version == "" || limited == nil {
			continue
		}
		bars, workers := t.applyUpdateAt(now, limited, version, fellSilent)
		newBars, voided = append(newBars, bars...), append(voided, workers...)
	}
	return newBars, voided
}

// applyUpdateAt merges what an update tells of parts that are limited to a software version, or of those of all workers if it is empty. The update
// tells the times of the crashes of workers that fell silent by themselves.
func (t *partTable) applyUpdateAt(now time.Time, update *PartUpdate, version string, fellSilent map[string]bool) (newBars []Bar, voided []string) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, answer := range update.Answers {
		part := NewPart(answer.Group, answer.Part).AtVersion(version)
		workers, lifted := t.recordAnswer(now, ago(answer.AgoMs), part)
		if lifted && t.parts[part].barredHere {
			t.liftedHere = append(t.liftedHere, part)
		}
		voided = append(voided, workers...)
	}
	for _, received := range update.Bars {
		part := NewPart(received.Group, received.Part).AtVersion(version)
		bar := Bar{
			Digest: part.Digest(), Part: part, Workers: received.Workers, Times: received.Times, Since: ago(received.AgoMs),
			Until: ago(-received.LeftMs), TrialDelay: time.Duration(received.TrialDelayMs) * time.Millisecond, Trials: received.Trials,
		}
		if t.applyBar(now, bar) {
			bar.Basis = t.basis(now, part, t.parts[part])
			newBars = append(newBars, bar)
		}
		if state, found := t.parts[part]; found {
			// An update tells of the trials that have begun, as a stored bar does not.
			state.heardAt = time.Time{}
		}
	}
	for _, used := range update.InUse {
		t.markInUse(now, NewPart(used.Group, used.Part).AtVersion(version))
	}
	for _, crash := range update.Crashes {
		at := t.times.latest(crash.Worker, ago(crash.AgoMs))
		if !fellSilent[crash.Worker] {
			at = t.timeOf(now, crash.Worker, ago(crash.AgoMs))
		}
		for _, id := range crash.Parts {
			t.addCrashAt(now, at, crash.Worker, NewPart(crash.Group, id).AtVersion(version))
		}
	}
	return newBars, voided
}
