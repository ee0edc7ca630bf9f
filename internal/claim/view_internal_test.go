package claim

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
)

// TestSealSuffices compares the rule with the acceptors of many ids, for every set of sealed holders: it holds exactly
// when the holders that are not sealed are a quorum for none of the ids.
func TestSealSuffices(t *testing.T) {
	const ids = 500
	for _, test := range []struct {
		desc    string
		perZone []int
	}{
		{desc: "no holder"},
		{desc: "one holder", perZone: []int{1}},
		{desc: "two holders of one zone", perZone: []int{2}},
		{desc: "two holders of two zones", perZone: []int{1, 1}},
		{desc: "one zone", perZone: []int{4}},
		{desc: "two zones, one small", perZone: []int{1, 3}},
		{desc: "two zones", perZone: []int{2, 2}},
		{desc: "three zones of one", perZone: []int{1, 1, 1}},
		{desc: "three zones", perZone: []int{2, 2, 2}},
		{desc: "three uneven zones", perZone: []int{1, 2, 3}},
		{desc: "four zones", perZone: []int{1, 2, 1, 2}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var view View
			for zone, count := range test.perZone {
				for i := range count {
					view.Holders = append(view.Holders, Holder{Name: fmt.Sprintf("router-%d-%d", zone, i), Zone: fmt.Sprint(zone)})
				}
			}
			for set := range 1 << len(view.Holders) {
				sealed := make(map[string]bool)
				for i, holder := range view.Holders {
					sealed[holder.Name] = set&(1<<i) != 0
				}
				safe := true
				for number := range ids {
					acceptors := view.Acceptors(fmt.Sprintf("fes/%d", number))
					open := lo.CountBy(acceptors, func(holder Holder) bool { return !sealed[holder.Name] })
					safe = safe && (open == 0 || open < quorum(acceptors))
				}
				if got := view.sealSuffices(sealed); got != safe {
					t.Errorf("sealed %v: got %v, want %v", sealed, got, safe)
				}
			}
		})
	}
}
