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
}

// Empty reports whether there is nothing to send.
func (u *PartUpdate) Empty() bool { return len(u.Crashes)+len(u.Answers)+len(u.Bars) == 0 }

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

// takeUpdate returns the changes since the last call, or all recent state if full is set. The changes include crashes received from other
// gateways, as these may have stopped since.
func (t *partTable) takeUpdate(now time.Time, full bool) PartUpdate {
	var update PartUpdate
	if t.empty() || (!full && len(t.unsentWorkers)+len(t.unsentParts) == 0) {
		return update
	}
	update.Crashes = t.crashUpdates(now, full)
	for part, state := range t.parts {
		ago := now.Sub(state.answeredAt)
		isRecent := !state.answeredAt.IsZero() && ago < t.settings.SuccessShareTime
		if isRecent && (full || t.unsentParts[part]) && len(update.Answers) < t.settings.Parts.MaxPerUpdate {
			update.Answers = append(update.Answers, PartAnswer{Group: part.Group, Part: part.ID, AgoMs: ago.Milliseconds()})
		}
	}
	bars := t.bars(now)
	for _, bar := range bars[max(len(bars)-t.settings.MaxPerUpdate, 0):] {
		if full || t.unsentParts[bar.Part] {
			update.Bars = append(update.Bars, PartBar{
				Group: bar.Part.Group, Part: bar.Part.ID, Workers: bar.Workers, Times: bar.Times, AgoMs: now.Sub(bar.Since).Milliseconds(),
				LeftMs: bar.Until.Sub(now).Milliseconds(), TrialDelayMs: bar.TrialDelay.Milliseconds(), Trials: bar.Trials,
			})
		}
	}
	clear(t.unsentWorkers)
	clear(t.unsentParts)
	return update
}

// crashUpdates returns the crashes to send, latest first, with at most MaxPerUpdate parts. Crashes under barred parts are sent with their
// bars.
func (t *partTable) crashUpdates(now time.Time, full bool) []PartCrash {
	type crash struct {
		worker string
		at     time.Time
		parts  []Part
	}
	var crashes []crash
	workers := maps.Keys(t.unsentWorkers)
	if full {
		workers = maps.Keys(t.byWorker)
	}
	for worker := range workers {
		c := crash{worker: worker}
		for part := range t.byWorker[worker] {
			if state := t.parts[part]; state.barCount == 0 {
				c.parts = append(c.parts, part)
				c.at = state.crashes[worker]
			}
		}
		if len(c.parts) > 0 {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b crash) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.worker, b.worker)) })
	left := t.settings.Parts.MaxPerUpdate
	var updates []PartCrash
	for _, c := range crashes {
		if left == 0 {
			break
		}
		// The parts with the most crashes are the likeliest causes.
		slices.SortFunc(c.parts, func(a, b Part) int {
			return cmp.Or(len(t.parts[b].crashes)-len(t.parts[a].crashes), compareParts(a, b))
		})
		c.parts = c.parts[:min(len(c.parts), left)]
		left -= len(c.parts)
		updates = append(updates, groupCrash(c.worker, now.Sub(c.at), c.parts)...)
	}
	return updates
}

// groupCrash returns the crash of a worker, split by the groups of the parts. A worker may serve several groups.
func groupCrash(worker string, age time.Duration, parts []Part) []PartCrash {
	byGroup := map[string][]string{}
	for _, part := range parts {
		byGroup[part.Group] = append(byGroup[part.Group], part.ID)
	}
	var crashes []PartCrash
	for _, group := range slices.Sorted(maps.Keys(byGroup)) {
		crashes = append(crashes, PartCrash{Worker: worker, AgoMs: age.Milliseconds(), Group: group, Parts: byGroup[group]})
	}
	return crashes
}

// applyUpdate merges an update of another gateway. It returns the bars that are new, and the workers whose crashes became void for a part.
func (t *partTable) applyUpdate(now time.Time, update *PartUpdate) (newBars []Bar, voided []string) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, answer := range update.Answers {
		workers, _ := t.recordAnswer(now, ago(answer.AgoMs), NewPart(answer.Group, answer.Part))
		voided = append(voided, workers...)
	}
	for _, received := range update.Bars {
		part := NewPart(received.Group, received.Part)
		bar := Bar{
			Digest: part.Digest(), Part: part, Workers: received.Workers, Times: received.Times, Since: ago(received.AgoMs),
			Until: ago(-received.LeftMs), TrialDelay: time.Duration(received.TrialDelayMs) * time.Millisecond, Trials: received.Trials,
		}
		if t.applyBar(now, bar) {
			newBars = append(newBars, bar)
		}
		if state, found := t.parts[part]; found {
			// An update tells of the trials that have begun, as a stored bar does not.
			state.heardAt = time.Time{}
		}
	}
	for _, crash := range update.Crashes {
		for _, id := range crash.Parts {
			t.mergeCrash(now, ago(crash.AgoMs), crash.Worker, NewPart(crash.Group, id))
		}
	}
	return newBars, voided
}
