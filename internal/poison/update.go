package poison

import (
	"slices"
	"time"
)

// Crash is the crash of a worker while it ran a request. A worker that ran several requests has one Crash for each.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	// Worker is the id of the worker's incarnation.
	Worker string
	// AgoMs is the age of the crash when it is sent, in milliseconds; gateway clocks may differ.
	AgoMs int64
}

// BarUpdate is a bar as it is sent between gateways, with relative times because their clocks may differ.
type BarUpdate struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Rule    string
	Tenant  string
	Workers []string
	Times   int
	// AgoMs is the age of the bar when it is sent, and LeftMs the time until it expires, in milliseconds.
	AgoMs, LeftMs int64
}

// SuccessUpdate is the success of a suspected request, or its release.
type SuccessUpdate struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	// AgoMs is the age of the success when it is sent, in milliseconds.
	AgoMs int64
}

// Update is an update about suspected requests that a gateway sends to the others. Full updates make up for lost messages.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	// Successes are requests that succeeded or were released.
	Successes []SuccessUpdate
	Bars      []BarUpdate
}

// TakeUpdate returns the changes since the last call. The changes include crashes received from other gateways, as these may have stopped since. A full
// update, for which full is not nil, also repeats all bars, the crashes of its workers and some successes.
func (t *Table) TakeUpdate(now time.Time, full *repetition) Update {
	var update Update
	if t.Empty() || (full == nil && len(t.unsentCrashes)+len(t.unsentChanges) == 0) {
		return update
	}
	limit := t.settings.MaxPerUpdate
	crashes := t.unsentCrashes[:min(len(t.unsentCrashes), limit)]
	if full != nil {
		repeated := t.crashesAt(full.workers, crashes)
		crashes = append(crashes, repeated[:min(len(repeated), limit-len(crashes))]...)
	}
	for _, crash := range crashes {
		entry := t.suspects[crash.Digest]
		if entry == nil {
			continue
		}
		if at, found := entry.crashes[crash.Worker]; found {
			crash.AgoMs = now.Sub(at).Milliseconds()
			update.Crashes = append(update.Crashes, crash)
			if t.parts != nil {
				t.parts.times.tell(crash.Worker)
			}
		}
	}
	update.Successes = t.successUpdates(now, full)
	bars := t.Bars(now)
	for _, bar := range bars[max(len(bars)-limit, 0):] {
		if full != nil || t.unsentChanges[bar.Digest] {
			update.Bars = append(update.Bars, barUpdate(now, bar))
		}
	}
	t.unsentCrashes = nil
	clear(t.unsentChanges)
	return update
}

// successUpdates returns the successes to send: those to be told now, and some others with a full update.
func (t *Table) successUpdates(now time.Time, full *repetition) []SuccessUpdate {
	limit := t.settings.MaxPerUpdate
	var changed, told []Digest
	for digest, entry := range t.suspects {
		ago := now.Sub(entry.succeededAt)
		switch {
		case ago >= t.settings.SuccessRetention:
		case t.unsentChanges[digest]:
			changed = append(changed, digest)
		case full != nil && ago < full.shareTime(t.settings.SuccessShareTime):
			told = append(told, digest)
		}
	}
	changed = changed[:min(len(changed), limit)]
	if full != nil {
		changed = append(changed, t.successes.next(told, min(full.limit(limit), limit-len(changed)), one)...)
	}
	var updates []SuccessUpdate
	for _, digest := range changed {
		updates = append(updates, SuccessUpdate{Digest: digest, AgoMs: now.Sub(t.suspects[digest].succeededAt).Milliseconds()})
	}
	return updates
}

// isBarredHere reports whether this gateway created the bar of a request.
func (t *Table) isBarredHere(digest Digest) bool {
	entry, found := t.suspects[digest]
	return found && entry.barredHere
}

// barUpdate returns a bar in the form that is sent.
func barUpdate(now time.Time, bar Bar) BarUpdate {
	return BarUpdate{
		Digest: bar.Digest, Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times,
		AgoMs: now.Sub(bar.Since).Milliseconds(), LeftMs: bar.Until.Sub(now).Milliseconds(),
	}
}

// crashesAt returns the crashes of the workers, except the given ones. Those of barred requests are sent with their bars.
func (t *Table) crashesAt(workers []string, except []Crash) []Crash {
	skipped := make(map[Crash]bool, len(except))
	for _, crash := range except {
		skipped[crash] = true
	}
	var crashes []Crash
	for _, worker := range workers {
		for digest := range t.suspectsByWorker[worker] {
			if crash := (Crash{Digest: digest, Worker: worker}); t.suspects[digest].barCount == 0 && !skipped[crash] {
				crashes = append(crashes, crash)
			}
		}
	}
	return crashes
}

// compareDigests orders digests.
func compareDigests(a, b Digest) int { return slices.Compare(a[:], b[:]) }

// ApplyUpdate merges an update of another gateway, and returns the bars that are new.
func (t *Table) ApplyUpdate(now time.Time, update Update) []Bar {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var newBars []Bar
	for _, success := range update.Successes {
		barredHere := t.isBarredHere(success.Digest)
		if t.RecordSuccess(now, ago(success.AgoMs), success.Digest) == Barred && barredHere {
			t.liftedHere = append(t.liftedHere, success.Digest)
		}
	}
	for _, received := range update.Bars {
		bar := Bar{
			Digest: received.Digest, Rule: received.Rule, Tenant: received.Tenant, Workers: received.Workers, Times: received.Times,
			Since: ago(received.AgoMs), Until: ago(-received.LeftMs),
		}
		if t.ApplyBar(now, bar) {
			newBars = append(newBars, bar)
		}
	}
	for _, crash := range update.Crashes {
		t.mergeCrash(now, ago(crash.AgoMs), crash)
	}
	return newBars
}
