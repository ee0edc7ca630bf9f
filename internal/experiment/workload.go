package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Request is one arrival of a workload.
type Request struct {
	ID string
	// At is the time of arrival since the start of the run.
	At           time.Duration
	Tenant       string
	Class        string
	PromptTokens int
	OutputTokens int
	PrefixBlocks []uint64
	// SharedTokens is the part of the prompt that others have in common.
	SharedTokens int
	// TimeLimit is how long the whole answer may take.
	TimeLimit time.Duration
	// Priority: higher runs earlier.
	Priority int32
}

// Workload is a deployment and the requests that arrive there. Arrivals are open: they do not wait for answers.
type Workload struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	Engines    int
	Policy     roleplan.Policy
	// Requests by time of arrival.
	Requests []Request
}

// class describes requests of one kind.
type class struct {
	name      string
	prompt    tokenRange
	output    tokenRange
	timeLimit time.Duration
	priority  int32
	// sharedPrefix is the part of the prompt that requests of one owner have in common, and owners how many owners there
	// are. The first owners ask more often than the last.
	sharedPrefix tokenRange
	owners       int
	// rate is the number of arrivals a second.
	rate curve
}

// tokenRange is a uniform distribution, with both ends included.
type tokenRange struct{ least, most int }

func (r tokenRange) draw(random *rand.Rand) int {
	if r.most <= r.least {
		return r.least
	}
	return r.least + random.IntN(r.most-r.least+1)
}

// generator makes the requests of one workload.
type generator struct {
	seed    uint64
	tenants int
	serial  int
}

// requests draws the arrivals of all classes up to the end.
func (g *generator) requests(classes []class, duration time.Duration) []Request {
	var result []Request
	for index, each := range classes {
		random := rand.New(rand.NewPCG(g.seed, uint64(index)+1))
		result = append(result, g.arrivals(each, uint64(index), duration, random)...)
	}
	slices.SortStableFunc(result, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for index := range result {
		result[index].ID = result[index].Tenant + "/" + strconv.Itoa(index)
	}
	return result
}

// arrivals draws a Poisson process whose rate follows the curve, by thinning the process of its peak rate.
func (g *generator) arrivals(kind class, index uint64, duration time.Duration, random *rand.Rand) []Request {
	var result []Request
	peak := kind.rate.peak()
	at := 0.0
	for peak > 0 {
		at += random.ExpFloat64() / peak
		moment := time.Duration(at * float64(time.Second))
		if moment >= duration {
			break
		}
		if random.Float64()*peak <= kind.rate.at(moment) {
			result = append(result, g.request(kind, index, moment, random))
		}
	}
	return result
}

func (g *generator) request(kind class, index uint64, at time.Duration, random *rand.Rand) Request {
	owner := drawOwner(kind.owners, random)
	prompt := kind.prompt.draw(random)
	blocks, shared := g.blocks(kind, index, owner, prompt)
	g.serial++
	return Request{
		At:           at,
		Tenant:       "tenant-" + strconv.Itoa(owner%g.tenants),
		Class:        kind.name,
		PromptTokens: prompt,
		OutputTokens: kind.output.draw(random),
		PrefixBlocks: blocks,
		SharedTokens: shared * engine.PrefixBlockTokens,
		TimeLimit:    kind.timeLimit,
		Priority:     kind.priority,
	}
}

// ownerSkew is the exponent with which the share of an owner falls with its rank.
const ownerSkew = 2

// drawOwner draws an owner; the first ones are drawn more often.
func drawOwner(owners int, random *rand.Rand) int {
	return int(math.Pow(random.Float64(), ownerSkew) * float64(max(1, owners)))
}

// blocks returns the hashes of the complete blocks of a prompt: first those that it shares with the other prompts of
// its owner, whose number it returns too, then its own.
func (g *generator) blocks(kind class, index uint64, owner, prompt int) (blocks []uint64, shared int) {
	random := rand.New(rand.NewPCG(g.seed^index<<32, uint64(owner)))
	shared = min(prompt, kind.sharedPrefix.draw(random)) / engine.PrefixBlockTokens
	blocks = make([]uint64, prompt/engine.PrefixBlockTokens)
	for block := range blocks {
		if block < shared {
			blocks[block] = random.Uint64()
			continue
		}
		blocks[block] = g.seed<<48 ^ index<<40 ^ uint64(g.serial)<<12 ^ uint64(block)<<1 | 1
	}
	return blocks, shared
}

// between returns the requests that arrive in a stretch of time.
func (w *Workload) between(from, to time.Duration) []Request {
	find := func(moment time.Duration) int {
		index, _ := slices.BinarySearchFunc(w.Requests, moment, func(request Request, at time.Duration) int {
			return cmp.Compare(request.At, at)
		})
		return index
	}
	return w.Requests[find(from):find(to)]
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](values map[string]V) []string {
	keys := lo.Keys(values)
	slices.Sort(keys)
	return keys
}
