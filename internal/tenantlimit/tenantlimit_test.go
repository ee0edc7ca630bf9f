package tenantlimit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestInFlightNeverExceedsShare guards against more requests in flight than the share, and against ended requests that
// keep occupying it.
func TestInFlightNeverExceedsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 9).Draw(t, "share")
		limit := share + rapid.IntRange(0, 9).Draw(t, "shares of other gateways")
		l := New(func(string, int) int { return share })
		inFlight := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tenant := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant")
			if rapid.Bool().Draw(t, "end") && inFlight[tenant] > 0 {
				l.End("rule", tenant)
				inFlight[tenant]--
				continue
			}
			granted := l.Begin("rule", tenant, limit)
			if granted != (inFlight[tenant] < share) {
				t.Fatalf("tenant %s with %d of %d requests in flight: Begin returned %t, want %t", tenant, inFlight[tenant], share, granted, !granted)
			}
			if granted {
				inFlight[tenant]++
			}
		}
	})
}

// TestUnlimitedWithoutTenantOrLimit guards against rejecting requests that have no tenant or limit.
func TestUnlimitedWithoutTenantOrLimit(t *testing.T) {
	l := New(func(_ string, limit int) int { return limit })
	for range 100 {
		if !l.Begin("rule", "", 1) || !l.Begin("rule", "tenant", 0) {
			t.Fatal("a request without tenant or limit was rejected")
		}
	}
}
