package platformserver_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
	"github.com/granitebay/granitebay/internal/standin/platformserver"
)

func newServer(t *testing.T, options platformserver.Options) *platformserver.Server {
	t.Helper()
	options.Logger = logrus.New()
	options.Logger.SetOutput(io.Discard)
	server, err := platformserver.New(options)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// answer is what a test looks at in an answer.
type answer struct {
	status     int
	retryAfter string
	text       string
	Revision   uint64           `json:"revision"`
	Entries    []platform.Entry `json:"entries"`
	Lease      uint64           `json:"lease"`
	Failure    platform.Failure `json:"failure"`
	RetryAfter int64            `json:"retryAfterMilliseconds"`
	Members    []platform.Member
}

func ask(t *testing.T, server http.Handler, method, path, body string) answer {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	got := answer{status: recorder.Code, retryAfter: recorder.Header().Get("Retry-After"), text: recorder.Body.String()}
	if recorder.Body.Len() > 0 {
		if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
			t.Fatalf("%s %s: %v in %s", method, path, err, got.text)
		}
	}
	return got
}

func TestErrorsNameFieldValueAndAllowed(t *testing.T) {
	tests := []struct {
		desc   string
		method string
		path   string
		body   string
		status int
		want   []string
	}{
		{
			desc: "TTL too short", method: http.MethodPost, path: "/v1/kv/lease/grant", body: `{"ttlMilliseconds":0}`,
			status: 422, want: []string{"body.ttlMilliseconds", `"value":0`, "number >= 1"},
		},
		{
			desc: "empty key", method: http.MethodPost, path: "/v1/kv/get", body: `{"key":""}`,
			status: 422, want: []string{"body.key", `"value":""`, "length >= 1"},
		},
		{
			desc: "key written twice", method: http.MethodPost, path: "/v1/kv/transaction",
			body:   `{"puts":[{"key":"a","value":""}],"deletes":["a"]}`,
			status: 422, want: []string{"body.deletes[0]", `"value":"a"`, "written once"},
		},
		{
			desc: "value that is no base64", method: http.MethodPost, path: "/v1/kv/transaction",
			body:   `{"puts":[{"key":"a","value":"%"}]}`,
			status: 422, want: []string{"body.puts[0].value", `"value":"%"`, "base64 with padding"},
		},
		{
			desc: "unknown kind of member", method: http.MethodPost, path: "/v1/members", body: `{"name":"x","kind":"disk"}`,
			status: 422, want: []string{"body.kind", `"value":"disk"`, "router, engine, agent"},
		},
		{
			desc: "unknown member", method: http.MethodDelete, path: "/v1/members/nobody",
			status: 404, want: []string{"path.name", `"value":"nobody"`, "registered machine"},
		},
		{
			desc: "revision that is no number", method: http.MethodGet, path: "/v1/kv/watch?from=now",
			status: 422, want: []string{"query.from", `"value":"now"`, "integer"},
		},
		{
			desc: "probability above one", method: http.MethodPut, path: "/v1/faults", body: `{"lostAnswerProbability":2}`,
			status: 422, want: []string{"body.lostAnswerProbability", `"value":2`, "number <= 1"},
		},
		{
			desc: "unknown field", method: http.MethodPut, path: "/v1/faults", body: `{"outtage":true}`,
			status: 422, want: []string{"body.outtage", "unexpected property"},
		},
	}
	server := newServer(t, platformserver.Options{Settings: platformmodel.DefaultSettings()})
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got := ask(t, server, test.method, test.path, test.body)
			if got.status != test.status {
				t.Errorf("status %d, want %d", got.status, test.status)
			}
			for _, want := range test.want {
				if !strings.Contains(strings.ReplaceAll(got.text, `\"`, `"`), want) {
					t.Errorf("answer %s does not contain %s", got.text, want)
				}
			}
		})
	}
}

func TestLargeNumbersAndEmptyValues(t *testing.T) {
	server := newServer(t, platformserver.Options{Settings: platformmodel.Settings{}})
	member := `{"name":"x","kind":"router","incarnation":18446744073709551615}`
	if got := ask(t, server, http.MethodPost, "/v1/members", member); got.status != http.StatusOK {
		t.Fatalf("register: %+v", got)
	}
	if got := ask(t, server, http.MethodGet, "/v1/members", ""); got.Members[0].Incarnation != 1<<64-1 {
		t.Errorf("members: %s", got.text)
	}
	if got := ask(t, server, http.MethodPost, "/v1/kv/transaction", `{"puts":[{"key":"a","value":""}]}`); got.Revision != 1 {
		t.Errorf("empty value: %s", got.text)
	}
}

func TestFailures(t *testing.T) {
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits.Client = platformmodel.Limit{PerSecond: 0.5, Burst: 1}
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, platformserver.Options{Settings: settings})
		got := ask(t, server, http.MethodPost, "/v1/kv/lease/keepalive", `{"lease":9}`)
		if got.status != http.StatusNotFound || got.Failure != platform.FailureNoLease {
			t.Errorf("no lease: %s", got.text)
		}
		got = ask(t, server, http.MethodPost, "/v1/kv/get", `{"key":"a"}`)
		if got.status != http.StatusTooManyRequests || got.RetryAfter != 2000 || got.retryAfter != "2" {
			t.Errorf("rate limit: %+v", got)
		}
		ask(t, server, http.MethodPut, "/v1/faults", `{"outage":true}`)
		got = ask(t, server, http.MethodPost, "/v1/kv/get", `{"key":"a"}`)
		if got.status != http.StatusServiceUnavailable || got.Failure != platform.FailureUnavailable {
			t.Errorf("outage: %s", got.text)
		}
		ask(t, server, http.MethodPut, "/v1/faults", `{"outage":false}`)
		time.Sleep(2 * time.Second)
		got = ask(t, server, http.MethodGet, "/v1/kv/watch?from=5", "")
		if got.status != http.StatusGone || got.Failure != platform.FailureCompacted {
			t.Errorf("compacted: %s", got.text)
		}
	})
}

func TestFaultSwitchesKeepOthers(t *testing.T) {
	server := newServer(t, platformserver.Options{Settings: platformmodel.DefaultSettings()})
	ask(t, server, http.MethodPut, "/v1/faults", `{"slowMilliseconds":200,"lostAnswerProbability":0.5}`)
	ask(t, server, http.MethodPut, "/v1/faults", `{"outage":true}`)
	got := ask(t, server, http.MethodGet, "/v1/faults", "")
	if want := `{"outage":true,"slowMilliseconds":200,"membershipLagMilliseconds":3000,"lostAnswerProbability":0.5}`; strings.TrimSpace(got.text) != want {
		t.Errorf("faults %s, want %s", got.text, want)
	}
	if got := ask(t, server, http.MethodPost, "/v1/faults/restart", ""); got.status != http.StatusNoContent {
		t.Errorf("restart: %+v", got)
	}
}

func TestLeaseExpiresWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, platformserver.Options{Settings: platformmodel.DefaultSettings()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go server.Run(ctx)
		ask(t, server, http.MethodPost, "/v1/kv/lease/grant", `{"ttlMilliseconds":60000}`)
		ask(t, server, http.MethodPost, "/v1/kv/lease/grant", `{"ttlMilliseconds":5000}`)
		ask(t, server, http.MethodPost, "/v1/kv/transaction", `{"puts":[{"key":"s","value":"","lease":2}]}`)
		time.Sleep(5*time.Second + time.Millisecond)
		var revision uint64
		server.Step(func(_ time.Time, model *platformmodel.Model) { revision = model.Revision() })
		if revision != 2 {
			t.Errorf("revision %d, want 2", revision)
		}
	})
}

func TestStateSurvivesRestartOfProcess(t *testing.T) {
	options := platformserver.Options{
		Settings:  platformmodel.DefaultSettings(),
		StateFile: filepath.Join(t.TempDir(), "state.json"),
	}
	synctest.Test(t, func(t *testing.T) {
		first := newServer(t, options)
		lease := ask(t, first, http.MethodPost, "/v1/kv/lease/grant", `{"ttlMilliseconds":5000}`).Lease
		ask(t, first, http.MethodPost, "/v1/kv/transaction", `{"puts":[{"key":"a","value":"b25l"},{"key":"s","value":"","lease":1}]}`)
		time.Sleep(time.Hour)

		second := newServer(t, options)
		got := ask(t, second, http.MethodPost, "/v1/kv/list", `{"prefix":""}`)
		if got.Revision != 1 || len(got.Entries) != 2 || string(got.Entries[0].Value) != "one" {
			t.Errorf("after the restart: %s", got.text)
		}
		if got := ask(t, second, http.MethodGet, "/v1/kv/history", ""); !strings.Contains(got.text, `"revision":1`) {
			t.Errorf("history after the restart: %s", got.text)
		}
		if got := ask(t, second, http.MethodPost, "/v1/kv/lease/keepalive", `{"lease":1}`); got.Lease != lease {
			t.Errorf("lease after the restart: %s", got.text)
		}
		if got := ask(t, second, http.MethodPost, "/v1/kv/lease/grant", `{"ttlMilliseconds":5000}`); got.Lease != lease+1 {
			t.Errorf("next lease: %s", got.text)
		}
	})
}

func TestAnswersAreWithheldWhenStateCannotBeSaved(t *testing.T) {
	options := platformserver.Options{
		Settings:  platformmodel.DefaultSettings(),
		StateFile: filepath.Join(t.TempDir(), "absent", "state.json"),
	}
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, options)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		body := strings.NewReader(`{"ttlMilliseconds":5000}`)
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/kv/lease/grant", body)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusGatewayTimeout || ctx.Err() == nil {
			t.Errorf("status %d, want %d when the client leaves", recorder.Code, http.StatusGatewayTimeout)
		}
	})
}
