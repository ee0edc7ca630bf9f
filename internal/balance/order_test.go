package balance

import (
	"math"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// TestTokensAheadFollowOrder guards against forecasts for urgent prompts that count prompts which yield to them, or that forget the prompt in
// progress, which does not.
func TestTokensAheadFollowOrder(t *testing.T) {
	load := backend.Load{Prefilling: 4, PrefillTokens: 8000, DeferredTokens: 1000}
	cases := []struct {
		desc  string
		query Query
		role  backend.Role
		want  float64
	}{
		{"in order of arrival", Query{}, backend.RolePrefill, 8000},
		{"all yield but the one in progress", Query{YieldingShare: 1}, backend.RolePrefill, 2000},
		{"half yield", Query{YieldingShare: 0.5}, backend.RolePrefill, 6000},
		{"a share below one prompt yields nothing", Query{YieldingShare: 0.2}, backend.RolePrefill, 8000},
		{"more urgent prompts arrive later", Query{UrgentLoad: 0.5}, backend.RolePrefill, 16_000},
		{"decode engines do not order prompts", Query{YieldingShare: 1, UrgentLoad: 0.5}, backend.RoleDecode, 8000},
		{"deferred", Query{Deferred: true}, backend.RolePrefill, 9000},
	}
	for _, c := range cases {
		if got := tokensAhead(c.query, c.role, load); got != c.want {
			t.Errorf("%s: %v tokens, want %v", c.desc, got, c.want)
		}
	}
}

// TestSlotWaitFollowsOrder guards against forecasts for slots that ignore the order of the queue, and ones that are zero although no slot is
// free.
func TestSlotWaitFollowsOrder(t *testing.T) {
	estimate := enginemodel.Estimate{ServiceSeconds: 1}
	load := backend.Load{Running: 79, Waiting: 20}
	cases := []struct {
		desc  string
		query Query
		load  backend.Load
		want  time.Duration
	}{
		{"a slot is free", Query{UrgentLoad: 0.9}, backend.Load{Running: 39}, 0},
		{"in order of arrival", Query{}, load, 500 * time.Millisecond},
		{"behind the deferred ones", Query{BehindWaiting: true}, load, time.Second},
		{"all yield, but none that runs", Query{YieldingShare: 1}, load, 25 * time.Millisecond},
		{"more urgent ones take half of the slots", Query{UrgentLoad: 0.5}, load, time.Second},
	}
	for _, c := range cases {
		got := time.Duration(math.Round(slotWaitSeconds(estimate, c.query, c.load, 40) * float64(time.Second)))
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.desc, got, c.want)
		}
	}
}
