package poolspread

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// poolKey names a pool or, with the name of a class as role, a class of demand.
type poolKey struct{ group, model, role string }

func (k poolKey) compare(other poolKey) int {
	return cmp.Or(cmp.Compare(k.group, other.group), cmp.Compare(k.model, other.model), cmp.Compare(k.role, other.role))
}

// summer adds pools and demand up.
type summer struct {
	now     time.Time
	scope   string
	region  bool
	pools   map[poolKey]*granitebayv1.Pool
	demand  map[poolKey]*granitebayv1.DemandClass
	unready []string
}

func newSummer(now time.Time, scope string, region bool) *summer {
	return &summer{
		now: now, scope: scope, region: region,
		pools:  map[poolKey]*granitebayv1.Pool{},
		demand: map[poolKey]*granitebayv1.DemandClass{},
	}
}

// add adds what one digest or sum tells.
func (s *summer) add(pools []*granitebayv1.Pool, demand []*granitebayv1.DemandClass, unready []string) {
	for _, pool := range pools {
		s.addPool(pool)
	}
	for _, class := range demand {
		s.addDemand(class)
	}
	s.unready = append(s.unready, unready...)
}

func (s *summer) addPool(pool *granitebayv1.Pool) {
	key := poolKey{pool.GetGroup(), pool.GetModel(), pool.GetRole()}
	sum := s.pools[key]
	if sum == nil {
		s.pools[key] = proto.CloneOf(pool)
		return
	}
	sum.Engines += pool.GetEngines()
	sum.Running += pool.GetRunning()
	sum.Slots += pool.GetSlots()
	sum.Queued += pool.GetQueued()
	sum.PendingPromptTokens += pool.GetPendingPromptTokens()
	sum.PendingOutputTokens += pool.GetPendingOutputTokens()
}

func (s *summer) addDemand(class *granitebayv1.DemandClass) {
	key := poolKey{class.GetGroup(), class.GetModel(), class.GetName()}
	sum := s.demand[key]
	if sum == nil {
		s.demand[key] = proto.CloneOf(class)
		return
	}
	sum.RequestsFast += class.GetRequestsFast()
	sum.RequestsSlow += class.GetRequestsSlow()
	sum.PromptTokensFast += class.GetPromptTokensFast()
	sum.PromptTokensSlow += class.GetPromptTokensSlow()
	sum.OutputTokensFast += class.GetOutputTokensFast()
	sum.OutputTokensSlow += class.GetOutputTokensSlow()
	sum.Queued += class.GetQueued()
	sum.OldestQueuedMillis = max(sum.GetOldestQueuedMillis(), class.GetOldestQueuedMillis())
}

// sum returns the sum, sorted.
func (s *summer) sum(doors []*granitebayv1.PoolDoor) *granitebayv1.PoolSum {
	unready := slices.Sorted(slices.Values(lo.Uniq(s.unready)))
	return &granitebayv1.PoolSum{
		Scope:          s.scope,
		Region:         s.region,
		MadeUnixMillis: uint64(s.now.UnixMilli()),
		Pools:          sortedValues(s.pools),
		Demand:         sortedValues(s.demand),
		UnreadyEngines: unready[:min(len(unready), maximumUnready)],
		Doors:          doors,
	}
}

func sortedValues[V any](values map[poolKey]V) []V {
	keys := slices.SortedFunc(slices.Values(lo.Keys(values)), poolKey.compare)
	return lo.Map(keys, func(key poolKey, _ int) V { return values[key] })
}
