// Package ingress chooses the owner that gets a request, from digests that the owners send about their engines.
//
// The choice is power of two choices over the expected delay, with the owner that probably has the prefix of the prompt
// as a third candidate. Digests lag, so what was sent to an owner since its last digest counts on top.
package ingress

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// sampledOwners is the number of owners that are compared for each request.
const sampledOwners = 2

// Settings of a Table.
type Settings struct {
	// Zone of this router: owners elsewhere cost OtherZoneSeconds more.
	Zone string
	// StaleAfter is the age at which a digest no longer counts. Default 10 s.
	StaleAfter time.Duration
	Placement  placement.Settings
}

const defaultStaleAfter = 10 * time.Second

const (
	// seenBlocks bounds the prompt blocks that are remembered.
	seenBlocks = 16384
	// seenKey is the one key of the table of seen blocks.
	seenKey = "seen"
)

// owner is what is known of one owner.
type owner struct {
	name        string
	zone        string
	address     string
	incarnation uint64
	digest      *granitebayv1.PoolDigest
	received    time.Time
	// sent is what this router sent to the owner since the digest.
	sentRuns   int
	sentTokens int
	// doors and region are set for the sum of another zone or region.
	doors  []*granitebayv1.PoolDoor
	region bool
}

// Table holds the latest digest of each owner. It is not safe for use by several goroutines.
type Table struct {
	settings Settings
	random   *rand.Rand
	owners   map[string]*owner
	names    []string
	// seen holds the prompt blocks of the latest requests. What a prompt shares with them its affine owner has cached.
	seen *placement.PrefixTable
	// sums are other zones and regions whose owners are not known one by one.
	sums []*owner
}

// NewTable returns an empty table.
func NewTable(settings Settings, random *rand.Rand) *Table {
	if settings.StaleAfter == 0 {
		settings.StaleAfter = defaultStaleAfter
	}
	return &Table{
		settings: settings,
		random:   random,
		owners:   make(map[string]*owner),
		seen:     placement.NewPrefixTable(seenBlocks),
	}
}

// HandleDigest takes a digest unless it is older than the one that is known.
func (t *Table) HandleDigest(now time.Time, from *granitebayv1.Peer, digest *granitebayv1.PoolDigest) {
	known := t.owners[from.GetName()]
	if known != nil && !newer(known, from, digest) {
		return
	}
	t.owners[from.GetName()] = &owner{
		name:        from.GetName(),
		zone:        from.GetZone(),
		address:     from.GetAddress(),
		incarnation: from.GetIncarnation(),
		digest:      digest,
		received:    now,
	}
	if known == nil {
		t.names = append(t.names, from.GetName())
		slices.Sort(t.names)
	}
}

// newer tells whether a digest is newer than the known one.
func newer(known *owner, from *granitebayv1.Peer, digest *granitebayv1.PoolDigest) bool {
	if from.GetIncarnation() != known.incarnation {
		return from.GetIncarnation() > known.incarnation
	}
	return digest.GetSequence() > known.digest.GetSequence()
}

// Forget removes an owner that is gone.
func (t *Table) Forget(name string) {
	delete(t.owners, name)
	t.names = lo.Without(t.names, name)
}

// Digests returns the digests that count now, by name of owner, and then the sums of other zones and regions.
func (t *Table) Digests(now time.Time) []*granitebayv1.PoolDigest {
	var digests []*granitebayv1.PoolDigest
	for _, name := range t.names {
		if known := t.owners[name]; now.Sub(known.received) < t.settings.StaleAfter {
			digests = append(digests, known.digest)
		}
	}
	for _, sum := range t.sums {
		digests = append(digests, sum.digest)
	}
	return digests
}

// AdminAddress returns the address of the admin API of an owner from its latest digest, however old; empty when unknown.
func (t *Table) AdminAddress(name string) string {
	if known := t.owners[name]; known != nil {
		return known.digest.GetAdminAddress()
	}
	return ""
}

// UnreadyEngines returns the engines that their owners report as not serving.
func (t *Table) UnreadyEngines(now time.Time) map[string]bool {
	unready := make(map[string]bool)
	for _, digest := range t.Digests(now) {
		for _, name := range digest.GetUnreadyEngines() {
			unready[name] = true
		}
	}
	return unready
}

// LeavingEngines returns the engines that any router reports as leaving, with the incarnation that leaves.
func (t *Table) LeavingEngines(now time.Time) map[string]uint64 {
	leaving := make(map[string]uint64)
	for _, digest := range t.Digests(now) {
		for _, engine := range digest.GetLeavingEngines() {
			leaving[engine.GetName()] = max(leaving[engine.GetName()], engine.GetIncarnation())
		}
	}
	return leaving
}

// Request is what the choice needs to know of a request.
type Request struct {
	ID           string
	Model        string
	Groups       []string
	PromptTokens int
	OutputTokens int
	PrefixBlocks []uint64
	// Excluded owners are not to be chosen.
	Excluded []string
}

// Choice is the owner that was chosen.
type Choice struct {
	Name       string
	Address    string
	Candidates []decision.Candidate
	Reason     string
}

// Choose returns the owner for a request, or false if none is known that serves it. Live tells which routers take work.
func (t *Table) Choose(now time.Time, request Request, live func(name string) bool) (Choice, bool) {
	for _, group := range request.Groups {
		serving := t.serving(now, request, group, live)
		sums := t.servingSums(request, group, live)
		if len(serving) == 0 && len(sums) == 0 {
			continue
		}
		return t.pick(request, group, serving, sums, live), true
	}
	return Choice{}, false
}

// ChooseFree returns an owner that has free slots for a request by its latest digest, or false.
func (t *Table) ChooseFree(now time.Time, request Request, live func(name string) bool) (Choice, bool) {
	for _, group := range request.Groups {
		hasRoom := func(each *owner, _ int) bool { return each.freeSlots(group, request.Model) > 0 }
		free := lo.Filter(t.serving(now, request, group, live), hasRoom)
		sums := lo.Filter(t.servingSums(request, group, live), hasRoom)
		if len(free) > 0 || len(sums) > 0 {
			return t.pick(request, group, free, sums, live), true
		}
	}
	return Choice{}, false
}

// freeSlots counts the slots of a group and model that are neither taken nor wanted by the queue.
func (o *owner) freeSlots(group, model string) int {
	free := -o.sentRuns
	for _, pool := range o.digest.GetPools() {
		if pool.GetGroup() == group && pool.GetModel() == model {
			free += int(pool.GetSlots()) - int(pool.GetRunning()) - int(pool.GetQueued())
		}
	}
	return free
}

// serving lists the owners that have engines of a group for a request.
func (t *Table) serving(now time.Time, request Request, group string, live func(name string) bool) []*owner {
	var serving []*owner
	for _, name := range t.names {
		known := t.owners[name]
		stale := now.Sub(known.received) >= t.settings.StaleAfter
		if stale || known.digest.GetLeaving() || !live(name) || lo.Contains(request.Excluded, name) {
			continue
		}
		if known.hasEngines(group, request.Model) {
			serving = append(serving, known)
		}
	}
	return serving
}

// hasEngines tells whether an owner has a serving engine of a group and model.
func (o *owner) hasEngines(group, model string) bool {
	return lo.SomeBy(o.digest.GetPools(), func(pool *granitebayv1.Pool) bool {
		return pool.GetGroup() == group && pool.GetModel() == model && pool.GetEngines() > 0
	})
}

// pick compares a sample of the owners and of the sums, and takes the cheapest.
func (t *Table) pick(request Request, group string, serving, sums []*owner, live func(name string) bool) Choice {
	affine := affineOwner(request, serving)
	sample := t.sample(serving, affine)
	sample = append(sample, t.sampleSums(sums, lo.Ternary(len(serving) > 0, sampledSums, sampledSumsAlone))...)
	shared := t.seen.CachedBlocks(seenKey, request.PrefixBlocks) * engine.PrefixBlockTokens
	t.seen.RecordDispatch(seenKey, 0, request.PrefixBlocks)
	costs := make(map[string]float64, len(sample))
	for _, each := range sample {
		costs[each.name] = t.cost(request, group, each, lo.Ternary(each == affine, shared, 0))
	}
	slices.SortStableFunc(sample, func(a, b *owner) int { return cmp.Compare(costs[a.name], costs[b.name]) })
	best := sample[0]
	best.sentRuns++
	best.sentTokens += request.PromptTokens
	name, address := t.enter(best, request, live)
	return Choice{
		Name:    name,
		Address: address,
		Candidates: lo.Map(sample, func(each *owner, _ int) decision.Candidate {
			return decision.Candidate{Name: each.name, Score: -costs[each.name]}
		}),
		Reason: fmt.Sprintf("Least expected delay of %d compared owners of group %s: %.3f s.", len(sample), group, costs[best.name]),
	}
}

// affineOwner returns the owner to which requests with the same start of the prompt go, so that it finds the prefix in
// a cache. Nil without a prefix.
func affineOwner(request Request, serving []*owner) *owner {
	if len(request.PrefixBlocks) == 0 || len(serving) == 0 {
		return nil
	}
	names := lo.Map(serving, func(each *owner, _ int) string { return each.name })
	first := rendezvous.First(fmt.Sprint(request.PrefixBlocks[0]), names)
	found, _ := lo.Find(serving, func(each *owner) bool { return each.name == first })
	return found
}

// sample draws owners at random, and adds the affine one.
func (t *Table) sample(serving []*owner, affine *owner) []*owner {
	drawn := slices.Clone(serving)
	t.random.Shuffle(len(drawn), func(a, b int) { drawn[a], drawn[b] = drawn[b], drawn[a] })
	drawn = drawn[:min(sampledOwners, len(drawn))]
	if affine != nil && !slices.Contains(drawn, affine) {
		drawn = append(drawn, affine)
	}
	return drawn
}

// cost estimates the delay at an owner in seconds: the least over the roles of its engines, and its queue. The owner
// probably has so many tokens of the prompt cached.
func (t *Table) cost(request Request, group string, each *owner, cachedTokens int) float64 {
	best := -1.0
	queue := 0.0
	for _, pool := range each.digest.GetPools() {
		if pool.GetGroup() != group || pool.GetModel() != request.Model {
			continue
		}
		if pool.GetRole() == string(engine.RoleNone) {
			queue += float64(pool.GetQueued())
			continue
		}
		if pool.GetEngines() == 0 {
			continue
		}
		if cost := t.poolCost(request, pool, each, cachedTokens); best < 0 || cost < best {
			best = cost
		}
	}
	slots := lo.SumBy(each.digest.GetPools(), func(pool *granitebayv1.Pool) float64 { return float64(pool.GetSlots()) })
	cost := best + queue/max(1, slots)
	if each.zone != t.settings.Zone {
		cost += t.settings.Placement.OtherZoneSeconds * lo.Ternary(each.region, otherRegionFactor, 1.0)
	}
	return cost
}

// poolCost estimates the delay in one pool of an owner.
func (t *Table) poolCost(request Request, pool *granitebayv1.Pool, each *owner, cachedTokens int) float64 {
	speed := t.settings.Placement.Speeds[engine.Role(pool.GetRole())]
	engines := float64(pool.GetEngines())
	uncached := max(0, float64(request.PromptTokens-cachedTokens))
	waiting := float64(pool.GetPendingPromptTokens()) + float64(each.sentTokens)
	running := (float64(pool.GetRunning()) + float64(each.sentRuns)) / engines
	reading := (waiting/engines + uncached) / speed.PromptTokensPerSecond
	writing := float64(request.OutputTokens) * (speed.StepSeconds + speed.StepSecondsPerRun*running)
	return reading + writing + max(0, running+1-float64(speed.Slots))*writing/max(1, float64(speed.Slots))
}
