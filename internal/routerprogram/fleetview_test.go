package routerprogram

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/adminapi"
)

func TestReachable(t *testing.T) {
	tests := []struct{ desc, listening, peers, want string }{
		{"a host of its own", "10.0.0.5:7190", "10.0.0.4:7100", "10.0.0.5:7190"},
		{"all interfaces", "0.0.0.0:7190", "10.0.0.4:7100", "10.0.0.4:7190"},
		{"all interfaces, version 6", "[::]:7190", "router-a-1:7100", "router-a-1:7190"},
		{"peers unknown", "[::]:7190", "", "[::]:7190"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := reachable(test.listening, test.peers); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestJoinEngines(t *testing.T) {
	known := []adminapi.EngineStatus{
		{Name: "e1", Owner: "r1", State: stateUnreachable}, {Name: "e2", Owner: "r2", State: stateUnreachable},
		{Name: "e3", Owner: "r3", State: stateReady}, {Name: "e4", State: stateStarting},
	}
	view := fleetView{missing: []string{"r3"}, views: map[string]adminapi.RouterView{
		"r1": {Engines: []adminapi.EngineStatus{
			{Name: "e1", Owner: "r1", State: stateReady, RunningRequests: 3},
			{Name: "e2", Owner: "r1", State: stateReady, RunningRequests: 9, ReportAgeMillis: 900},
		}},
		"r2": {Engines: []adminapi.EngineStatus{{Name: "e2", Owner: "r2", State: stateDraining, RunningRequests: 1, ReportAgeMillis: 10}}},
	}}
	tests := []struct {
		desc, state string
		running     int
	}{
		{"the owner's view counts", stateReady, 3},
		{"of two owners the fresher report", stateDraining, 1},
		{"the owner did not answer", stateUnknown, 0},
		{"no owner", stateStarting, 0},
	}
	joined := view.joinEngines(known)
	for index, test := range tests {
		if got := joined[index]; got.State != test.state || got.RunningRequests != test.running {
			t.Errorf("%s: got %s with %d running", test.desc, got.State, got.RunningRequests)
		}
	}
}

func TestSumsOverRouters(t *testing.T) {
	made := time.Unix(1_700_000_000, 0)
	view := fleetView{views: map[string]adminapi.RouterView{
		"r1": {Requests: map[string]adminapi.RequestCount{"quick": {Running: 2, Waiting: 1}}, Plans: map[string]adminapi.PlanNote{"counter": {Sentence: "Old.", MadeAt: made}}},
		"r2": {Requests: map[string]adminapi.RequestCount{"quick": {Running: 3}}, Plans: map[string]adminapi.PlanNote{"counter": {Sentence: "New.", MadeAt: made.Add(time.Second)}}},
	}}
	if got := view.requests("quick"); got != (adminapi.RequestCount{Running: 5, Waiting: 1}) {
		t.Errorf("requests %+v", got)
	}
	if got := view.plan("counter").Sentence; got != "New." {
		t.Errorf("plan %q", got)
	}
}

func TestAskViews(t *testing.T) {
	answering := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(writer).Encode(adminapi.RouterView{Router: name})
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	view := askViews(t.Context(), []otherRouter{
		{name: "r1", admin: answering("r1")}, {name: "r2", admin: answering("other")}, {name: "r3"}, {name: "r4", admin: "127.0.0.1:1"},
	})
	if _, found := view.views["r1"]; !found || !slices.Equal(view.missing, []string{"r2", "r3", "r4"}) {
		t.Errorf("views %v, missing %v", view.views, view.missing)
	}
}

// TestAskForAdminAddresses asks routers whose digests do not come here.
func TestAskForAdminAddresses(t *testing.T) {
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked++
		_, _ = writer.Write([]byte("10.0.0.7:7190"))
	}))
	defer server.Close()
	peers := strings.TrimPrefix(server.URL, "http://")
	var addresses adminAddresses
	tests := []struct {
		desc  string
		other otherRouter
		want  string
		asked int
	}{
		{"told by a digest", otherRouter{name: "r1", incarnation: 1, peers: peers, admin: "10.0.0.1:7190"}, "10.0.0.1:7190", 0},
		{"asked", otherRouter{name: "r2", incarnation: 1, peers: peers}, "10.0.0.7:7190", 1},
		{"remembered", otherRouter{name: "r2", incarnation: 1, peers: peers}, "10.0.0.7:7190", 1},
		{"asked again after a restart", otherRouter{name: "r2", incarnation: 2, peers: peers}, "10.0.0.7:7190", 2},
		{"no answer", otherRouter{name: "r3", incarnation: 1, peers: "127.0.0.1:1"}, "", 2},
	}
	for _, test := range tests {
		got := addresses.complete(t.Context(), []otherRouter{test.other})[0].admin
		if got != test.want || asked != test.asked {
			t.Errorf("%s: got %q after %d requests, want %q after %d", test.desc, got, asked, test.want, test.asked)
		}
	}
}

func TestWarningsOfMissingRouters(t *testing.T) {
	if got := (fleetView{}).warnings(); len(got) != 0 {
		t.Errorf("warnings %q", got)
	}
	got := fleetView{missing: []string{"r1", "r2", "r3", "r4", "r5", "r6"}}.warnings()
	if len(got) != 1 || !strings.Contains(got[0], "r1, r2, r3, r4 and 2 more") {
		t.Errorf("warnings %q", got)
	}
}
