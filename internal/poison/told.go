package poison

import (
	"cmp"
	"slices"
	"time"
)

// End is the end of a worker under a request. More than one request may have run there.
type End struct {
	_     struct{} `cbor:",toarray"`
	Asked Digest
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
	_    struct{} `cbor:",toarray"`
	Ends []End
	// EndedWell are requests that ran to a good end.
	EndedWell []ToldGood
	Bars      []ToldBar
}

// Tell returns what the others are to know: what is new, or everything of late. What is new is told of the ends that others told, too:
// the one that told them may be gone.
func (t *Table) Tell(now time.Time, full bool) Told {
	var told Told
	if t.Empty() || (!full && len(t.untold)+len(t.news) == 0) {
		return told
	}
	ends := t.untold
	if full {
		ends = t.latestEnds()
	}
	for _, end := range ends[:min(len(ends), t.settings.MostTold)] {
		known := t.suspects[end.Asked]
		if known == nil {
			continue
		}
		if at, counts := known.ends[end.Worker]; counts {
			end.AgoMs = now.Sub(at).Milliseconds()
			told.Ends = append(told.Ends, end)
		}
	}
	for asked, known := range t.suspects {
		if ago := now.Sub(known.goodAt); ago < t.settings.GoodTold && (full || t.news[asked]) && len(told.EndedWell) < t.settings.MostTold {
			told.EndedWell = append(told.EndedWell, ToldGood{Asked: asked, AgoMs: ago.Milliseconds()})
		}
	}
	bars := t.Bars(now)
	for _, bar := range bars[max(len(bars)-t.settings.MostTold, 0):] {
		if full || t.news[bar.Asked] {
			told.Bars = append(told.Bars, toldBar(now, bar))
		}
	}
	t.untold = nil
	clear(t.news)
	return told
}

// toldBar returns a bar as it is told.
func toldBar(now time.Time, bar Bar) ToldBar {
	return ToldBar{
		Asked: bar.Asked, Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times,
		AgoMs: now.Sub(bar.Since).Milliseconds(), LeftMs: bar.Until.Sub(now).Milliseconds(),
	}
}

// latestEnds returns the ends that count, those heard last first. Those under barred requests are told with the bars.
func (t *Table) latestEnds() []End {
	type heard struct {
		End
		at time.Time
	}
	var all []heard
	for asked, known := range t.suspects {
		if known.times > 0 {
			continue
		}
		for worker, at := range known.ends {
			all = append(all, heard{End{Asked: asked, Worker: worker}, at})
		}
	}
	slices.SortFunc(all, func(a, b heard) int {
		return cmp.Or(b.at.Compare(a.at), slices.Compare(a.Asked[:], b.Asked[:]), cmp.Compare(a.Worker, b.Worker))
	})
	ends := make([]End, 0, len(all))
	for _, each := range all {
		ends = append(ends, each.End)
	}
	return ends
}

// Hear takes what another gateway told, and returns the bars that are new to this one.
func (t *Table) Hear(now time.Time, told Told) []Bar {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var heard []Bar
	for _, good := range told.EndedWell {
		t.EndedWell(now, ago(good.AgoMs), good.Asked)
	}
	for _, each := range told.Bars {
		bar := Bar{
			Asked: each.Asked, Rule: each.Rule, Tenant: each.Tenant, Workers: each.Workers, Times: each.Times,
			Since: ago(each.AgoMs), Until: ago(-each.LeftMs),
		}
		if t.Bar(now, bar) {
			heard = append(heard, bar)
		}
	}
	for _, end := range told.Ends {
		t.note(now, ago(end.AgoMs), end)
	}
	return heard
}
