package routerprogram_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/fleet"
)

// startTwoZones starts the first two zones of Fès.
func startTwoZones(t *testing.T) *fleet.Fleet {
	t.Helper()
	small := deployment.Fes()
	small.Zones, small.Routers, small.Engines, small.Agents = small.Zones[:2], small.Routers[:4], small.Engines[:6], small.Agents[:2]
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	running, err := fleet.Start(t.Context(), fleet.Options{Deployment: small, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Stop)
	return running
}

// await asks until a condition holds. The test's own time limit ends a wait in vain.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal(what)
		}
	}
}

// TestEveryRouterShowsTheFleet asks each router of a real fleet, also those that own no engine.
func TestEveryRouterShowsTheFleet(t *testing.T) {
	running := startTwoZones(t)
	for _, process := range running.Routers() {
		client := adminapi.NewClient([]string{process.Address}, http.DefaultClient)
		await(t, process.Name+" does not list all routers as alive with their addresses", func() bool {
			routers, err := client.Routers(t.Context())
			return err == nil && len(routers) == 4 && lo.EveryBy(routers, func(each adminapi.RouterStatus) bool {
				return each.State == "alive" && slices.ContainsFunc(running.Routers(), func(known fleet.Process) bool {
					return known.Name == each.Name && known.Address == each.AdminAddress
				})
			})
		})
		await(t, process.Name+" does not count all routers in the state of the configuration", func() bool {
			status, err := client.ConfigStatus(t.Context())
			return err == nil && status.LiveRouters == 4 && status.InForceEverywhere == status.Accepted && len(status.Laggards) == 0
		})
		await(t, process.Name+" does not show all engines as ready", func() bool {
			status, err := client.FleetStatus(t.Context())
			return err == nil && status.EngineStates["ready"] == 6 && !lo.SomeBy(status.Warnings, func(warning string) bool {
				return strings.HasPrefix(warning, "routers ")
			})
		})
		page, err := http.Get("http://" + process.Address + "/")
		if err != nil || page.StatusCode != http.StatusOK {
			t.Fatalf("the page of %s: %v, %v", process.Name, page, err)
		}
		_ = page.Body.Close()
	}
	followAll(t, running)
}

// followAll follows the decisions of all routers through one of them.
func followAll(t *testing.T, running *fleet.Fleet) {
	enough := errors.New("decisions of all routers came")
	missing := lo.SliceToMap(running.Routers(), func(each fleet.Process) (string, bool) { return each.Name, true })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := adminapi.NewClient([]string{running.Routers()[0].Address}, http.DefaultClient)
	err := client.Follow(ctx, adminapi.StreamFilter{Fleet: true, Latest: 5}, adminapi.StreamHandler{Decision: func(record decision.Record) error {
		delete(missing, record.Process)
		return lo.Ternary(len(missing) == 0, enough, nil)
	}})
	if !errors.Is(err, enough) {
		t.Errorf("no decisions of %v: %v", lo.Keys(missing), err)
	}

	// The agent tells its own part of a request.
	agent := running.Agents()[0]
	body := `{"model": "` + deployment.Fes().Model + `", "prompt": "say it", "max_tokens": 2}`
	question, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+agent.Address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	question.Header.Set("Content-Type", "application/json")
	question.Header.Set("X-Granitebay-Tenant", "cafe-1")
	response, err := http.DefaultClient.Do(question)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	request := response.Header.Get("X-Granitebay-Request-Id")
	explanation, err := adminapi.NewClient([]string{agent.Address}, http.DefaultClient).Explain(t.Context(), request)
	if err != nil || explanation.Router != agent.Name || len(explanation.Decisions) == 0 {
		t.Errorf("agent %s explains %q by %+v, %v", agent.Name, request, explanation, err)
	}
}
