package forward

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// longPrompts is the load of long prompts of the whole fleet: 140 a second through twelve entries, whose shared parts, 13,300 tokens in the
// mean, are those of some thousand documents, each asked for about as often as the others; their own parts are 3,700 tokens in the mean and
// up to 53,000. Engines read 61 tokens in a millisecond.
const (
	longPrompts    = 140.0
	documents      = 1060
	sharedMean     = 13_300
	ownMean        = 3_720
	tokensPerMs    = 61.2
	playedEntries  = 12
	longObjective  = 600 * time.Millisecond
	toldAfter      = 4 * time.Millisecond
	quadraticPerMM = 0.324
)

// happening is something that happens at a moment of a play.
type happening struct {
	at   time.Time
	what func()
}

// happenings are ordered by their moments.
type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(each any)     { *h = append(*h, each.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadPlay plays the load on entries that tell each other what they do.
type loadPlay struct {
	now     time.Time
	next    happenings
	random  *rand.Rand
	entries []*Dispatcher
	group   *routing.Group
	// busyUntil is when an engine has read what it was given, and kept are the documents that it keeps.
	busyUntil map[string]time.Time
	kept      map[string]map[string]bool
	// known are the documents that any engine keeps.
	known map[string]bool

	sequence               uint64
	prompts, inTime, again int
}

// after has something happen.
func (p *loadPlay) after(pause time.Duration, what func()) {
	heap.Push(&p.next, happening{p.now.Add(pause), what})
}

// tokens draws a length.
func (p *loadPlay) tokens(mean, spread, most float64) int {
	return int(min(mean*math.Exp(spread*p.random.NormFloat64()-spread*spread/2), most))
}

// arrive has a prompt come to one of the entries.
func (p *loadPlay) arrive(number int, shared []int) {
	document := p.random.IntN(documents)
	own := p.tokens(ownMean, 1.1, 53_200)
	id := fmt.Sprint("document-", document)
	request := &Request{ID: fmt.Sprint("r", number), Demand: backend.Demand{
		PromptTokens: shared[document] + own, Parts: []backend.Part{{ID: id, Tokens: shared[document]}, {ID: fmt.Sprint("own", number), Tokens: own}},
	}}
	entry := p.entries[p.random.IntN(len(p.entries))]
	arrived := p.now
	placement, found := entry.Place(request, p.group, PlaceOptions{Objective: longObjective, Left: longObjective})
	if !found {
		return
	}
	p.tell()
	reads := placement.Prefill
	if reads == nil {
		reads = placement.Runner
	}
	worker := reads.Worker
	length := float64(request.Demand.PromptTokens)
	left := length
	switch {
	case p.kept[worker.ID][id] || placement.FetchFrom != nil:
		left = float64(own)
	case p.known[id]:
		p.again++
	}
	took := left/tokensPerMs + quadraticPerMM*(length*length-(length-left)*(length-left))/2e6
	if worker.Role == backend.RoleDecode {
		took *= 2
	}
	done := p.busyUntil[worker.ID]
	if done.Before(p.now) {
		done = p.now
	}
	done = done.Add(time.Duration(took * float64(time.Millisecond)))
	p.busyUntil[worker.ID] = done
	p.after(done.Sub(p.now), func() {
		if p.kept[worker.ID] == nil {
			p.kept[worker.ID] = map[string]bool{}
		}
		p.kept[worker.ID][id], p.known[id] = true, true
		entry.RecordPrefilled(worker, request)
		runner := placement.Runner
		if placement.Prefill != nil {
			placement.Prefill.prefilled()
			placement.Prefill.finish(balance.OutcomeGood)
			runner, _ = entry.PlaceRunner(request, p.group, nil, placement.Prefill)
		}
		p.tell()
		p.prompts++
		if p.now.Sub(arrived)+30*time.Millisecond <= longObjective {
			p.inTime++
		}
		p.after(30*time.Millisecond, func() { runner.finish(balance.OutcomeGood) })
	})
}

// tell has all entries hear of what the others have done, a moment later.
func (p *loadPlay) tell() {
	for i, entry := range p.entries {
		message := entry.Drain(false)
		if len(message.Loads) == 0 && len(message.Kept) == 0 {
			continue
		}
		p.sequence++
		message.Sender, message.Epoch, message.Sequence = fmt.Sprint("entry-", i), 1, p.sequence
		p.after(toldAfter, func() {
			for j, other := range p.entries {
				if i != j {
					other.Hear(&message)
				}
			}
		})
	}
}

// TestLongPromptsOfTheWholeFleetFindWhatIsKept plays twelve seconds of the load at ten thousand engines. A document that an engine keeps is
// hardly ever read anew, and what is late is what no idle engine could have read in time.
func TestLongPromptsOfTheWholeFleetFindWhatIsKept(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	p := &loadPlay{
		now: time.Unix(1000, 0), random: random, busyUntil: map[string]time.Time{}, kept: map[string]map[string]bool{}, known: map[string]bool{},
		group: &routing.Group{Name: "g", Engine: &routing.Engine{MemoryTokens: 417_523, BytesPerToken: 163_840, LinkMbps: 1_500_000}},
	}
	set := fleetOf(10_000)
	for zone := range playedEntries {
		settings := DefaultDispatchSettings()
		settings.Zone = fmt.Sprint("zone-", zone%6)
		entry := NewDispatcher(settings, func() time.Time { return p.now })
		entry.SetGroups([]routing.Group{*p.group})
		entry.SetWorkers(set)
		entry.ShareWith(func(bool) {})
		p.entries = append(p.entries, entry)
	}
	shared := make([]int, documents)
	for i := range shared {
		shared[i] = p.tokens(sharedMean, 0.7, 39_900)
	}
	end := p.now.Add(12 * time.Second)
	var come func(number int)
	come = func(number int) {
		p.arrive(number, shared)
		p.after(time.Duration(random.ExpFloat64()/longPrompts*float64(time.Second)), func() { come(number + 1) })
	}
	come(0)
	for p.now.Before(end) {
		one := heap.Pop(&p.next).(happening)
		p.now = one.at
		one.what()
	}
	t.Logf("%d prompts, %d in time, %d documents read again", p.prompts, p.inTime, p.again)
	if p.again > cmp.Or(p.prompts/50, 1) {
		t.Errorf("of %d prompts %d had a document read again", p.prompts, p.again)
	}
}
