package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/placement"
)

func TestChooseBetweenOwnersAndSums(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	pool := func(engines, pending int) []*granitebayv1.Pool {
		return []*granitebayv1.Pool{{
			Group: "g", Model: "m", Role: "prefill", Engines: uint32(engines), Slots: uint32(4 * engines), PendingPromptTokens: uint64(pending),
		}}
	}
	sum := func(scope string, region bool, doors ...string) *granitebayv1.PoolSum {
		result := &granitebayv1.PoolSum{Scope: scope, Region: region, MadeUnixMillis: 1, Pools: pool(10, 0)}
		for _, door := range doors {
			result.Doors = append(result.Doors, &granitebayv1.PoolDoor{Name: door, Address: door + ":1"})
		}
		return result
	}
	const busy = 10_000_000
	tests := []struct {
		desc     string
		pending  int
		owners   int
		sums     []*granitebayv1.PoolSum
		dead     string
		excluded []string
		want     string
	}{
		{"idle owner of the zone", 0, 1, []*granitebayv1.PoolSum{sum("r-b", false, "far")}, "", nil, "near"},
		{"busy zone", busy, 1, []*granitebayv1.PoolSum{sum("r-b", false, "far")}, "", nil, "far"},
		{"no owner in the zone", 0, 0, []*granitebayv1.PoolSum{sum("r-b", false, "far")}, "", nil, "far"},
		{"zone before region", 0, 0, []*granitebayv1.PoolSum{sum("r", true, "farthest"), sum("r-b", false, "far")}, "", nil, "far"},
		{"dead door", busy, 1, []*granitebayv1.PoolSum{sum("r-b", false, "far")}, "far", nil, "near"},
		{"other door", busy, 1, []*granitebayv1.PoolSum{sum("r-b", false, "far", "far-2")}, "far", nil, "far-2"},
		{"excluded door", 0, 0, []*granitebayv1.PoolSum{sum("r-b", false, "far")}, "", []string{"far"}, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := NewTable(Settings{Zone: "r-a", Placement: placement.DefaultSettings()}, rand.New(rand.NewPCG(1, 1)))
			if test.owners > 0 {
				table.HandleDigest(now, &granitebayv1.Peer{Name: "near", Zone: "r-a"}, &granitebayv1.PoolDigest{Sequence: 1, Pools: pool(1, test.pending)})
			}
			table.SetSums(now, test.sums)
			request := Request{ID: "t/1", Model: "m", Groups: []string{"g"}, PromptTokens: 100, OutputTokens: 10, Excluded: test.excluded}
			choice, ok := table.Choose(now, request, func(name string) bool { return name != test.dead })
			if choice.Name != test.want || ok != (test.want != "") {
				t.Errorf("chose %q (%v), want %q", choice.Name, ok, test.want)
			}
		})
	}
}
