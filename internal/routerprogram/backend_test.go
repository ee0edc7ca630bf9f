package routerprogram

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/router"
)

func TestEngineState(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ready := dispatch.EngineView{Ready: true}
	fresh := engine.Status{AsOf: now.Add(-time.Second)}
	stale := engine.Status{AsOf: now.Add(-reportStaleAfter - time.Second)}
	tests := []struct {
		desc     string
		overview router.EngineOverview
		want     string
	}{
		{desc: "own engine with a fresh report", overview: router.EngineOverview{View: ready, Owner: "router-a-1", Reported: true, Status: fresh}, want: stateReady},
		{desc: "own engine that no longer reports", overview: router.EngineOverview{View: ready, Owner: "router-a-1", Reported: true, Status: stale}, want: stateUnreachable},
		{desc: "engine that nobody owns and that no longer reports", overview: router.EngineOverview{View: ready, Reported: true, Status: stale}, want: stateUnreachable},
		{desc: "engine that only its owner asks", overview: router.EngineOverview{View: ready, Owner: "router-b-1", Reported: true, Status: stale}, want: stateUnknown},
		{desc: "engine of another router with a fresh report", overview: router.EngineOverview{View: ready, Owner: "router-b-1", Reported: true, Status: fresh}, want: stateReady},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := engineState(now, "router-a-1", test.overview); got != test.want {
				t.Errorf("engineState = %q, want %q", got, test.want)
			}
		})
	}
}
