package poison

import (
	"cmp"
	"slices"
	"time"
)

// End is the end of a worker under a request. More than one request may have run there.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	// Worker is the id of its incarnation.
	Worker string
	// AgoMs is how long before it is told the worker ended, in milliseconds: clocks differ.
	AgoMs int64
}

// ToldBar is a bar as gateways tell each other, whose clocks differ.
type ToldBar struct {
	_       struct{} `cbor:",toarray"`
	Asked   Digest
	Rule    string
	Tenant  string
	Workers []string
	Times   int
	// AgoMs is for how long the request is barred, and LeftMs for how much longer, in milliseconds.
	AgoMs, LeftMs int64
}

// ToldGood is a good end of a request after workers had ended under it, or its release.
type ToldGood struct {
	_     struct{} `cbor:",toarray"`
	Asked Digest
	// AgoMs is how long before it is told that was, in milliseconds.
	AgoMs int64
}

// Told is what one gateway tells the others of requests that may end workers. A lost message is made good by the next one that tells
// everything.
type Told struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	// EndedWell are requests that ran to a good end.
	EndedWell []ToldGood
	Bars      []ToldBar
}

// Tell returns what the others are to know: what is new, or everything of late. What is new is told of the ends that others told, too:
// the one that told them may be gone.
func (t *Table) TakeUpdate(now time.Time, full bool) Told {
	var update Told
	if t.Empty() || (!full && len(t.unsentCrashes)+len(t.unsentChanges) == 0) {
		return update
	}
	crashes := t.unsentCrashes
	if full {
		crashes = t.recentCrashes()
	}
	for _, crash := range crashes[:min(len(crashes), t.settings.MaxPerUpdate)] {
		entry := t.suspects[crash.Digest]
		if entry == nil {
			continue
		}
		if at, found := entry.crashes[crash.Worker]; found {
			crash.AgoMs = now.Sub(at).Milliseconds()
			update.Crashes = append(update.Crashes, crash)
		}
	}
	for digest, entry := range t.suspects {
		if ago := now.Sub(entry.succeededAt); ago < t.settings.SuccessShareTime && (full || t.unsentChanges[digest]) && len(update.EndedWell) < t.settings.MaxPerUpdate {
			update.EndedWell = append(update.EndedWell, ToldGood{Asked: digest, AgoMs: ago.Milliseconds()})
		}
	}
	bars := t.Bars(now)
	for _, bar := range bars[max(len(bars)-t.settings.MaxPerUpdate, 0):] {
		if full || t.unsentChanges[bar.Asked] {
			update.Bars = append(update.Bars, barUpdate(now, bar))
		}
	}
	t.unsentCrashes = nil
	clear(t.unsentChanges)
	return update
}

// toldBar returns a bar as it is told.
func barUpdate(now time.Time, bar Bar) ToldBar {
	return ToldBar{
		Asked: bar.Asked, Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times,
		AgoMs: now.Sub(bar.Since).Milliseconds(), LeftMs: bar.Until.Sub(now).Milliseconds(),
	}
}

// latestEnds returns the ends that count, those heard last first. Those under barred requests are told with the bars.
func (t *Table) recentCrashes() []Crash {
	type timedCrash struct {
		Crash
		at time.Time
	}
	var timed []timedCrash
	for digest, entry := range t.suspects {
		if entry.barCount > 0 {
			continue
		}
		for worker, at := range entry.crashes {
			timed = append(timed, timedCrash{Crash{Digest: digest, Worker: worker}, at})
		}
	}
	slices.SortFunc(timed, func(a, b timedCrash) int {
		return cmp.Or(b.at.Compare(a.at), slices.Compare(a.Digest[:], b.Digest[:]), cmp.Compare(a.Worker, b.Worker))
	})
	crashes := make([]Crash, 0, len(timed))
	for _, item := range timed {
		crashes = append(crashes, item.Crash)
	}
	return crashes
}

// Hear takes what another gateway told, and returns the bars that are new to this one.
func (t *Table) MergeUpdate(now time.Time, update Told) []Bar {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var newBars []Bar
	for _, success := range update.EndedWell {
		t.RecordSuccess(now, ago(success.AgoMs), success.Asked)
	}
	for _, received := range update.Bars {
		bar := Bar{
			Asked: received.Asked, Rule: received.Rule, Tenant: received.Tenant, Workers: received.Workers, Times: received.Times,
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
