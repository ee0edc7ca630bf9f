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
}

// ToldBar is a bar as gateways tell each other, whose clocks differ.
type ToldBar struct {
	_       struct{} `cbor:",toarray"`
	Asked   Digest
	Rule    string
	Tenant  string
	Workers []string
	Times   int
	// LeftMs is for how much longer the request is barred, in milliseconds.
	LeftMs int64
}

// Told is what one gateway tells the others of requests that may end workers. A lost message is made good by the next one that tells
// everything.
type Told struct {
	_    struct{} `cbor:",toarray"`
	Ends []End
	// EndedWell are requests that ran to a good end after a worker had ended under them.
	EndedWell []Digest
	Bars      []ToldBar
}

// Tell returns what the others are to know: what is new, or everything of late. What is new is told of the ends that others told, too:
// the one that told them may be gone.
func (t *Table) Tell(now time.Time, full bool) Told {
	var told Told
	if t.Empty() {
		return told
	}
	told.Ends = t.untold
	if full {
		told.Ends = t.latestEnds()
	}
	t.untold = nil
	for asked, known := range t.suspects {
		if now.Sub(known.goodAt) < t.settings.Trust {
			told.EndedWell = append(told.EndedWell, asked)
		}
	}
	bars := t.Bars(now)
	for _, bar := range bars[max(len(bars)-t.settings.MostTold, 0):] {
		told.Bars = append(told.Bars, ToldBar{
			Asked: bar.Asked, Rule: bar.Rule, Tenant: bar.Tenant, Workers: bar.Workers, Times: bar.Times,
			LeftMs: bar.Until.Sub(now).Milliseconds(),
		})
	}
	told.Ends = told.Ends[:min(len(told.Ends), t.settings.MostTold)]
	told.EndedWell = told.EndedWell[:min(len(told.EndedWell), t.settings.MostTold)]
	return told
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
	ends := make([]End, 0, min(len(all), t.settings.MostTold))
	for _, each := range all[:min(len(all), t.settings.MostTold)] {
		ends = append(ends, each.End)
	}
	return ends
}

// Hear takes what another gateway told, and returns the bars that are new to this one.
func (t *Table) Hear(now time.Time, told Told) []Bar {
	var heard []Bar
	for _, asked := range told.EndedWell {
		t.EndedWell(now, asked)
	}
	for _, each := range told.Bars {
		bar := Bar{
			Asked: each.Asked, Rule: each.Rule, Tenant: each.Tenant, Workers: each.Workers, Times: each.Times,
			Until: now.Add(time.Duration(each.LeftMs) * time.Millisecond),
		}
		if t.Bar(now, bar) {
			heard = append(heard, bar)
		}
	}
	for _, end := range told.Ends {
		t.note(now, end, false)
	}
	return heard
}
