package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

func TestAffinityCountsOnlyWhatPromptsShared(t *testing.T) {
	const (
		sharedBlocks = 20
		blocks       = 30
	)
	owners := []string{"router-a-1", "router-a-2"}
	// The owner to which the start of the prompt belongs has a decode engine, which reads slowly; the other a prefill engine.
	roles := map[string]engine.Role{"router-a-1": engine.RolePrefill, "router-a-2": engine.RolePrefill}
	affine := rendezvous.First("1", owners)
	roles[affine] = engine.RoleDecode
	prompt := func(own uint64) []uint64 {
		hashes := make([]uint64, blocks)
		for index := range hashes {
			hashes[index] = uint64(index + 1)
			if index >= sharedBlocks {
				hashes[index] += own * 1000
			}
		}
		return hashes
	}
	tests := []struct {
		desc   string
		before int
		want   bool
	}{
		{desc: "the start of the prompt was never seen: no cache has it", before: 0, want: false},
		{desc: "two thirds of the prompt were seen before: their cache makes up for the slower engine", before: 1, want: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := NewTable(Settings{Zone: "zone-a", Placement: placement.DefaultSettings()}, rand.New(rand.NewPCG(1, 1)))
			now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
			digests := func(sequence uint64) {
				for _, name := range owners {
					pool := &granitebayv1.Pool{Group: "counter", Model: "model", Role: string(roles[name]), Engines: 1, Slots: 8}
					table.HandleDigest(now, &granitebayv1.Peer{Name: name, Zone: "zone-a"},
						&granitebayv1.PoolDigest{Sequence: sequence, Pools: []*granitebayv1.Pool{pool}})
				}
			}
			choose := func(own uint64) string {
				choice, ok := table.Choose(now, Request{
					Model: "model", Groups: []string{"counter"}, PromptTokens: blocks * engine.PrefixBlockTokens, OutputTokens: 10, PrefixBlocks: prompt(own),
				}, func(string) bool { return true })
				if !ok {
					t.Fatal("no owner")
				}
				return choice.Name
			}
			for own := range test.before {
				digests(uint64(own + 1))
				choose(uint64(own + 1))
			}
			digests(uint64(test.before + 1)) // what was sent has been answered
			if got := choose(100); (got == affine) != test.want {
				t.Errorf("chosen is %s, the owner by the start of the prompt is %s", got, affine)
			}
		})
	}
}
