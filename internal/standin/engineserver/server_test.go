package engineserver_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
	"github.com/granitebay/granitebay/internal/standin/engineserver"
)

const plainBody = `{"model":"roast","prompt":"grind for the long blend","max_tokens":5}`

func newServer(t *testing.T, change func(*enginemodel.Settings)) *engineserver.Server {
	t.Helper()
	settings := enginemodel.DefaultSettings("engine-a-1", 0)
	settings.InitialConfiguration = engine.Configuration{Role: engine.RoleDecode, Model: "roast"}
	settings.CacheEventLossProbability = 0
	if change != nil {
		change(&settings)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server, err := engineserver.New(engineserver.Options{Model: settings, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// answer is what came of a request. Aborted tells that the connection was cut.
type answer struct {
	*httptest.ResponseRecorder
	aborted bool
}

func call(ctx context.Context, server *engineserver.Server, method, path, body string) (a answer) {
	a.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		} else if cause != nil {
			a.aborted = true
		}
	}()
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	server.Handler().ServeHTTP(a, request)
	return a
}

func decode[T any](t *testing.T, a answer) T {
	t.Helper()
	var value T
	if err := json.Unmarshal(a.Body.Bytes(), &value); err != nil {
		t.Fatalf("%s: %s", err, a.Body)
	}
	return value
}

// wantText is the answer to plainBody.
func wantText() string {
	digest := engine.PromptDigest("roast", "", "grind for the long blend")
	return strings.Join(engine.AnswerTokens(digest, 0, 5), "")
}

func TestPlainCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		got := decode[enginewire.Completion](t, call(t.Context(), server, "POST", "/v1/completions", plainBody))
		want := enginewire.Usage{PromptTokens: 5, CompletionTokens: 5, TotalTokens: 10}
		if got.Choices[0].Text != wantText() || *got.Usage != want || got.Progress != nil {
			t.Fatalf("got %+v", got)
		}
	})
}

func TestPlainCompletionStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		body := strings.Replace(plainBody, "{", `{"stream":true,`, 1)
		got := call(t.Context(), server, "POST", "/v1/completions", body)
		events := strings.Split(strings.TrimSuffix(got.Body.String(), "\n\n"), "\n\n")
		text := ""
		for _, event := range events[:len(events)-1] {
			if event == ":" {
				continue
			}
			var chunk enginewire.Completion
			if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk); err != nil {
				t.Fatalf("%s in %q", err, event)
			}
			text += chunk.Choices[0].Text
		}
		if text != wantText() || events[len(events)-1] != "data: [DONE]" || strings.Contains(got.Body.String(), "granitebay") {
			t.Fatalf("got %q", got.Body)
		}
	})
}

func TestCallerGoesAway(t *testing.T) {
	const run = `{"model":"roast","prompt":"grind","max_tokens":1000,"stream":true,
		"request_id":"fes/01J","expected_generation":0,"expected_incarnation":`
	tests := []struct {
		desc string
		body func(incarnation string) string
		want int
	}{
		{"a plain run is cancelled", func(string) string { return strings.Replace(plainBody, "5", "1000", 1) }, 0},
		{"a run with a request id goes on", func(incarnation string) string { return run + incarnation + "}" }, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer(t, nil)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				call(ctx, server, "POST", "/v1/completions", test.body(incarnationText(server)))
				if got := server.Runs(); got != test.want {
					t.Fatalf("%d runs go on, want %d", got, test.want)
				}
			})
		})
	}
}

func incarnationText(server *engineserver.Server) string {
	text, _ := json.Marshal(server.Incarnation())
	return string(text)
}

func TestBadInputIsNamed(t *testing.T) {
	tests := []struct {
		desc, method, path, body string
		// want are parts of the answer.
		want []string
	}{
		{"no JSON", "POST", "/v1/completions", `{`, []string{"not a JSON object"}},
		{"wrong type", "POST", "/v1/completions", `{"max_tokens":"many"}`, []string{`"param":"max_tokens"`, "JSON string", "uint32"}},
		{"no model", "POST", "/v1/completions", `{"prompt":"grind"}`, []string{`"param":"model"`, "name of a model"}},
		{"no prompt", "POST", "/v1/completions", `{"model":"roast"}`, []string{`"param":"prompt"`, "prompt_digest"}},
		{"prior tokens missing", "POST", "/v1/completions", `{"model":"roast","prompt":"grind","continue_from":3}`,
			[]string{`"param":"continue_from"`, "is 3", "which is 0"}},
		{"id without stream", "POST", "/v1/completions", `{"model":"roast","prompt":"grind","request_id":"r"}`,
			[]string{`"param":"stream"`, "is false", "is true"}},
		{"id without generation", "POST", "/v1/completions",
			`{"model":"roast","prompt":"grind","request_id":"r","stream":true,"expected_incarnation":1}`,
			[]string{`"param":"expected_generation"`, "whole number"}},
		{"offset", "GET", "/v1/requests/r/stream?offset=-1&incarnation=1", "", []string{`"param":"offset"`, `\"-1\"`, "whole number"}},
		{"role", "POST", "/v1/orders",
			`{"expectedIncarnation":1,"fence":{"epoch":1,"generation":1},"configuration":{"role":"wizard","model":"m","modelVersion":"1"}}`,
			[]string{"body.configuration.role", `"value":"wizard"`, "prefill decode"}},
		{"fence missing", "POST", "/v1/orders", `{"expectedIncarnation":1,"configuration":{"role":"decode","model":"m","modelVersion":"1"}}`,
			[]string{"fence"}},
		{"hash", "POST", "/v1/kv/export", `{"blocks":["xyz"]}`, []string{"xyz", "hexadecimal"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := call(t.Context(), newServer(t, nil), test.method, test.path, test.body)
				if got.Code != http.StatusBadRequest && got.Code != http.StatusUnprocessableEntity {
					t.Fatalf("got status %d: %s", got.Code, got.Body)
				}
				for _, part := range test.want {
					if !strings.Contains(got.Body.String(), part) {
						t.Fatalf("got %s without %q", got.Body, part)
					}
				}
			})
		})
	}
}

func TestSilentStreamHasHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		got := call(ctx, server, "GET", "/v1/cache/events", "")
		if beats := strings.Count(got.Body.String(), ":\n\n"); beats != 11 {
			t.Fatalf("%d heartbeats in ten seconds, want one at once and ten more", beats)
		}
	})
}

func TestCacheEventsAreStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go call(ctx, server, "POST", "/v1/completions",
			`{"model":"roast","prompt_tokens":300,"prompt_digest":"1","prefix_blocks":["00000000000000ff"]}`)
		got := call(ctx, server, "GET", "/v1/cache/events", "")
		if want := "event: cache\ndata: {"; !strings.Contains(got.Body.String(), want) || !strings.Contains(got.Body.String(), `"stored":["00000000000000ff"]`) {
			t.Fatalf("got %s", got.Body)
		}
		synctest.Wait()
	})
}

func TestCrashCutsCallersOffAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		before := server.Incarnation()
		go func() {
			time.Sleep(time.Second)
			server.Crash(5 * time.Second)
		}()
		long := strings.Replace(plainBody, "5", "1000", 1)
		if got := call(t.Context(), server, "POST", "/v1/completions", long); !got.aborted {
			t.Fatalf("got %d: %s", got.Code, got.Body)
		}
		for _, pause := range []time.Duration{0, 5*time.Second - time.Nanosecond} {
			time.Sleep(pause)
			if got := call(t.Context(), server, "GET", "/v1/load", ""); !got.aborted {
				t.Fatalf("an engine that is down answered %s", got.Body)
			}
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait() // the engine starts at this very moment
		load := decode[enginewire.Load](t, call(t.Context(), server, "GET", "/v1/load", ""))
		if load.Incarnation <= before || load.Running != 0 || load.Fence != (engine.Fence{}) {
			t.Fatalf("got %+v after incarnation %d", load, before)
		}
	})
}

func TestCrashDuringAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, func(s *enginemodel.Settings) { s.CrashDuringChangeProbability = 1 })
		before := server.Incarnation()
		order := `{"expectedIncarnation":` + incarnationText(server) +
			`,"fence":{"epoch":1,"generation":1},"configuration":{"role":"prefill","model":"roast","modelVersion":""}}`
		result := decode[enginewire.OrderResult](t, call(t.Context(), server, "POST", "/v1/orders", order))
		if !result.Accepted {
			t.Fatalf("got %+v", result)
		}
		time.Sleep(time.Minute)
		if after := server.Incarnation(); after <= before {
			t.Fatalf("incarnation %d after %d", after, before)
		}
	})
}

func TestRefusedSubmitLeavesTheStreamOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		path := "/v1/requests/fes%2F01J/stream?offset=0&incarnation="
		body := `{"model":"roast","prompt":"grind","max_tokens":200,"stream":true,"request_id":"fes/01J",
			"expected_generation":0,"expected_incarnation":` + incarnationText(server) + `}`
		go func() {
			time.Sleep(100 * time.Millisecond)
			if got := call(t.Context(), server, "GET", path+"1", ""); got.Code != http.StatusConflict {
				t.Errorf("got %d: %s", got.Code, got.Body)
			}
		}()
		got := call(t.Context(), server, "POST", "/v1/completions", body)
		if !strings.Contains(got.Body.String(), "[DONE]") || strings.Contains(got.Body.String(), "superseded") {
			t.Fatalf("got %s", got.Body)
		}
	})
}

func TestNewStreamSupersedesTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, nil)
		path := "/v1/requests/fes%2F01J/stream?offset=150&incarnation=" + incarnationText(server)
		body := `{"model":"roast","prompt":"grind","max_tokens":200,"stream":true,"request_id":"fes/01J",
			"expected_generation":0,"expected_incarnation":` + incarnationText(server) + `}`
		done := make(chan answer)
		go func() {
			time.Sleep(100 * time.Millisecond)
			done <- call(t.Context(), server, "GET", path, "")
		}()
		old := call(t.Context(), server, "POST", "/v1/completions", body)
		if !strings.HasSuffix(old.Body.String(), "event: superseded\ndata: {}\n\n") {
			t.Fatalf("the old stream got %s", old.Body)
		}
		fresh := <-done
		if !strings.Contains(fresh.Body.String(), `"offset":150`) || !strings.Contains(fresh.Body.String(), "[DONE]") {
			t.Fatalf("the new stream got %s", fresh.Body)
		}
	})
}
