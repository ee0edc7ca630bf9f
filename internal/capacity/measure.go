package capacity

import (
	"math/rand/v2"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/ownership/mirror"
	"github.com/granitebay/granitebay/internal/poolspread"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/router"
)

// Phases of one measurement, in virtual time.
const (
	warmUp = 15 * time.Second
	// window is a multiple of the intervals of all that is sent at intervals.
	window = 24 * time.Second
	// coolDown is the longest time after the window for which the last edits are waited for.
	coolDown = 12 * time.Second
)

// Rates of an ordinary day of the fleet.
const (
	editsPerDay     = 29_000
	defaultDeadline = 30 * time.Second
	maximumDeadline = 10 * time.Minute
)

// Result is what one real router spent.
type Result struct {
	Nodes, Workers int
	// Role names why the router was chosen, Engines counts those that it owns.
	Role    string
	Engines int
	// ProcessorPercent of one core, with its share of garbage collection.
	ProcessorPercent float64
	// Memory in MB that is freed when the router is dropped.
	Memory float64
	// Sent and Received bytes a second.
	Sent, Received float64
	// SentByKind, ReceivedByKind and RequestsByKind are per second.
	SentByKind, ReceivedByKind map[string]rate
	RequestsByKind             map[string]float64
	// InForce is the longest time until an edit was in force at all routers; negative if one was not.
	InForce time.Duration
}

// rate is messages and bytes a second.
type rate struct{ Messages, Bytes float64 }

// Bytes is all bytes a second.
func (r Result) Bytes() float64 { return r.Sent + r.Received }

// StoreRequests is the number of requests to the platform a second.
func (r Result) StoreRequests() float64 { return lo.Sum(lo.Values(r.RequestsByKind)) }

// Options of a measurement.
type Options struct {
	Nodes, Workers int
	// ShardsPerZone; zero is the default of ownership.
	ShardsPerZone int
	Seed          uint64
	// LoseZone takes all hollow routers of another zone away at the start of the window.
	LoseZone bool
}

// Measure runs one size and returns a result for each real router.
func Measure(options Options) ([]Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	options.ShardsPerZone = lo.CoalesceOrEmpty(options.ShardsPerZone, ownership.DefaultShardsPerZone)
	w := newWorld(options)
	if err := w.start(); err != nil {
		return nil, err
	}
	w.runUntil(w.now.Add(warmUp))
	real := lo.Filter(w.order, func(h *host, _ int) bool { return h.meter != nil })
	for _, h := range real {
		h.meter.reset()
	}
	if options.LoseZone {
		w.loseZone()
	}
	before := readProcessor()
	if err := w.runWindow(); err != nil {
		return nil, err
	}
	collected := readProcessor().collectorShare(before)
	results := lo.Map(real, func(h *host, _ int) Result { return w.resultOf(h, options, collected) })
	for end := w.now.Add(coolDown); len(w.edits.open) > 0 && w.now.Before(end); {
		w.runUntil(w.now.Add(time.Second))
	}
	for index, h := range real {
		results[index].InForce = lo.Ternary(len(w.edits.open) > 0, -1, w.edits.worst)
		results[index].Memory = dropHost(h)
	}
	return results, nil
}

// loseZone takes the hollow routers of the zone away that is the last by number. What is sent to them is lost; edits count
// as in force everywhere once the others have them.
func (w *world) loseZone() {
	zone := w.deployment.routers[min(zoneCount, len(w.order))-1].GetZone()
	for _, h := range w.order {
		if h.meter == nil && h.peer.GetZone() == zone {
			delete(w.hosts, h.peer.GetName())
			h.lost = true
			w.edits.hosts--
		}
	}
}

// runWindow runs the measured time, with edits at their rate.
func (w *world) runWindow() error {
	var failure error
	every := 24 * time.Hour / editsPerDay
	end := w.now.Add(window)
	for at := w.now.Add(every / 2); at.Before(end); at = at.Add(every) {
		w.schedule(at, func() {
			if err := w.makeEdit(); err != nil {
				failure = err
			}
		})
	}
	w.runUntil(end)
	return failure
}

// resultOf reads the meter of a router.
func (w *world) resultOf(h *host, options Options, collectorShare float64) Result {
	perSecond := func(counts map[string]traffic) map[string]rate {
		return lo.MapValues(counts, func(count traffic, _ string) rate {
			return rate{Messages: float64(count.messages) / window.Seconds(), Bytes: float64(count.bytes) / window.Seconds()}
		})
	}
	result := Result{
		Nodes: options.Nodes, Workers: options.Workers, Role: h.role,
		Engines:          len(w.ownedBy(h.peer.GetName())),
		ProcessorPercent: 100 * h.meter.busy.Seconds() * (1 + collectorShare) / window.Seconds(),
		SentByKind:       perSecond(h.meter.sent),
		ReceivedByKind:   perSecond(h.meter.received),
		RequestsByKind: lo.MapValues(h.meter.requests, func(count int, _ string) float64 {
			return float64(count) / window.Seconds()
		}),
	}
	h.addWholeReads(&result)
	total := func(kinds map[string]rate) float64 {
		return lo.SumBy(lo.Values(kinds), func(each rate) float64 { return each.Bytes })
	}
	result.Sent, result.Received = total(result.SentByKind), total(result.ReceivedByKind)
	return result
}

// addWholeReads adds the reads of whole lists at the intervals at which the router makes them, because a window is too
// short to meet one.
func (h *host) addWholeReads(result *Result) {
	node := h.node.(*router.Core)
	for kind, bytes := range h.meter.wholeReads {
		interval := node.MembersInterval()
		if kind != listMembers {
			keys := result.Workers
			if strings.HasSuffix(kind, ownership.ShardPrefix) {
				keys = 0
			}
			interval = mirror.ResyncAfter(mirror.DefaultResyncInterval, keys)
		}
		result.RequestsByKind[kind] = 1 / interval.Seconds()
		result.ReceivedByKind["answer to "+kind] = rate{Messages: 1 / interval.Seconds(), Bytes: float64(bytes) / interval.Seconds()}
	}
}

// dropHost drops the core of a router and returns the memory that this frees, in MB.
func dropHost(h *host) float64 {
	before := liveHeap()
	h.node, h.revision = nil, nil
	h.effects.Reset()
	return float64(before-liveHeap()) / 1e6
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// processorUse is the processor time of the whole process in seconds.
type processorUse struct{ user, collector float64 }

func readProcessor() processorUse {
	samples := []metrics.Sample{{Name: "/cpu/classes/user:cpu-seconds"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(samples)
	return processorUse{user: samples[0].Value.Float64(), collector: samples[1].Value.Float64()}
}

// collectorShare is the time of the garbage collector since an earlier reading, as a share of the rest.
func (p processorUse) collectorShare(before processorUse) float64 {
	user := p.user - before.user
	if user <= 0 {
		return 0
	}
	return (p.collector - before.collector) / user
}

// realRouters chooses the routers to run for real: in the first zone the one that owns the most engines, the one that is
// first by rendezvous hash for the sums of the zone, the planner of the first group, and one of the few that watch the
// configuration in the key-value service.
func (w *world) realRouters() map[string]string {
	zone := zoneName(0)
	inZone := lo.FilterMap(w.deployment.routers, func(peer *granitebayv1.Peer, _ int) (string, bool) {
		return peer.GetName(), peer.GetZone() == zone
	})
	owner := slices.MaxFunc(inZone, func(a, b string) int { return len(w.ownedBy(a)) - len(w.ownedBy(b)) })
	all := lo.Map(w.deployment.routers, func(peer *granitebayv1.Peer, _ int) string { return peer.GetName() })
	chosen := map[string]string{owner: "owner"}
	for _, each := range []struct{ name, role string }{
		{rendezvous.First("plan/"+modelName(0), w.planners()), "planner"},
		{poolspread.Representative(zone, inZone), "representative"},
		{rendezvous.First(configuration.StoreKey, all), "watcher"},
	} {
		chosen[each.name] = strings.TrimPrefix(chosen[each.name]+", "+each.role, ", ")
	}
	return chosen
}

// planners are the routers among which planners are chosen.
func (w *world) planners() []string {
	spread := poolspread.New(poolspread.Settings{Self: w.deployment.routers[0]})
	spread.SetRouters(lo.Map(w.deployment.routers, func(peer *granitebayv1.Peer, _ int) poolspread.Router {
		return poolspread.Router{Name: peer.GetName(), Zone: peer.GetZone(), Live: true}
	}))
	return spread.Planners()
}

// newSource returns the random source of a run.
func newSource(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
