package agentserver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/decision"
)

func TestAnswers(t *testing.T) {
	const chunk = `"finish_reason":null}],"granitebay":{"offset":`
	cases := []struct {
		desc, path, body string
		// texts that the response must hold, in this order.
		texts []string
	}{
		{"whole completion", pathCompletions, `{"model":"m","prompt":"say it","max_tokens":2}`, []string{
			`"object":"text_completion"`, `"text":"one two","finish_reason":"length"`, `"usage":{"prompt_tokens":2,"completion_tokens":2,"total_tokens":4}`}},
		{"whole chat", pathChatCompletions, `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":9}`, []string{
			`"object":"chat.completion"`, `"message":{"role":"assistant","content":"one two"},"finish_reason":"stop"`}},
		{"streamed completion", pathCompletions, `{"model":"m","prompt":"say it","stream":true}`, []string{
			`"text":"one",` + chunk + `0,"tokens":1}}`, `"text":" two",` + chunk + `1,"tokens":1}}`, `"text":"","finish_reason":"stop"`, `"completion_tokens":2`, "data: [DONE]\n\n"}},
		{"streamed chat", pathChatCompletions, `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`, []string{
			`"object":"chat.completion.chunk"`, `"delta":{"role":"assistant","content":"one"},` + chunk, `"delta":{"content":" two"}`, `"delta":{},"finish_reason":"stop"`, "data: [DONE]\n\n"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, _, url := start(t, nil, answerInTwo)
			status, header, body := post(t, url+c.path, c.body, nil)
			if status != http.StatusOK || !strings.HasPrefix(header.Get(headerRequestID), "cafe-1/") {
				t.Fatalf("status %d, header %v: %s", status, header, body)
			}
			rest := body
			for _, text := range c.texts {
				_, after, found := strings.Cut(rest, text)
				if !found {
					t.Fatalf("%s is not in order in %s", text, body)
				}
				rest = after
			}
			for line := range strings.SplitSeq(body, "\n") {
				if data, found := strings.CutPrefix(line, "data: {"); found && !json.Valid([]byte("{"+data)) {
					t.Fatalf("not JSON: %s", line)
				}
			}
		})
	}
}

func TestOutcomesOnTheWire(t *testing.T) {
	cases := []struct {
		desc   string
		tokens []string
		kind   granitebayv1.OutcomeKind
		stream bool
		status int
		want   string
	}{
		{"not run", nil, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, false, 503, typeNotRun},
		{"not run, before a stream began", nil, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, true, 503, typeNotRun},
		{"unknown", nil, granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, false, 504, typeUnknown},
		{"failed", []string{"one"}, granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED, false, 502, typeFailed},
		{"failed within a stream", []string{"one"}, granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED, true, 200, typeFailed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, _, url := start(t, nil, func(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope)) {
				if len(c.tokens) > 0 {
					answer(progress(generate, 0, c.tokens, false))
				}
				answer(outcome(generate, c.kind))
			})
			stream := lo.Ternary(c.stream, "true", "false")
			status, header, body := post(t, url+pathCompletions, `{"model":"m","prompt":"p","stream":`+stream+`}`, nil)
			if status != c.status {
				t.Fatalf("status %d: %s", status, body)
			}
			if status != http.StatusOK && header.Get(headerRetryAfter) != "2" {
				t.Errorf("Retry-After %q", header.Get(headerRetryAfter))
			}
			if status == http.StatusOK && !strings.Contains(body, "event: error\ndata: ") || strings.Contains(body, "[DONE]") {
				t.Errorf("the stream does not end in an error event: %s", body)
			}
			var got errorBody
			data := body[strings.LastIndex(body, `{"error"`):]
			if err := json.Unmarshal([]byte(data), &got); err != nil {
				t.Fatal(err)
			}
			if got.Detail.Type != c.want || got.Detail.Message == "" || got.Detail.Step != "admission" || got.Detail.Peer != "r1" || got.Detail.RetryAfterMillis != 1500 {
				t.Errorf("got %+v", got.Detail)
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	good := `{"model":"m","prompt":"p"}`
	cases := []struct {
		desc, path, body string
		headers          map[string]string
		status           int
		// fields with a part of what is allowed.
		fields map[string]string
	}{
		{"malformed JSON", pathCompletions, `{"model":`, nil, 400, map[string]string{"body": "unexpected end"}},
		{"no body", pathCompletions, ``, nil, 400, map[string]string{"body": "request body is required"}},
		{"unknown and wrong fields together", pathCompletions, `{"model":"m","promt":"p","prompt":3,"max_tokens":0}`, nil, 422, map[string]string{
			"body.promt": "known fields: adapter, max_tokens, model, prompt, stream", "body.prompt": "expected string", "body.max_tokens": "expected number >= 1"}},
		{"a role that does not exist", pathChatCompletions, `{"model":"m","messages":[{"role":"boss","content":"x"}]}`, nil, 422, map[string]string{
			"body.messages[0].role": "system, user, assistant"}},
		{"body too large", pathCompletions, `{"model":"m","prompt":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, map[string]string{"body": "at most 2000 bytes"}},
		{"not JSON by its type", pathCompletions, good, map[string]string{"Content-Type": "text/plain"}, 415, map[string]string{"header.Content-Type": "application/json"}},
		{"prompt too long", pathCompletions, `{"model":"m","prompt":"` + strings.Repeat("x ", 51) + `"}`, nil, 422, map[string]string{"body.prompt": "1 to 50 tokens"}},
		{"conversation too long", pathChatCompletions, `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x ", 51) + `"}]}`, nil, 422, map[string]string{"body.messages": "1 to 50 tokens"}},
		{"every header wrong", pathCompletions, good, map[string]string{headerDeadline: "soon", headerLabels: "a,b=1,b=2"}, 422, map[string]string{
			"header." + headerDeadline: "for example 5s", "header." + headerLabels: "name=value"}},
		{"every header unfit", pathCompletions, good, map[string]string{headerDeadline: "48h", headerLabels: "a=b c", headerTenant: "a/b", headerRepeatable: "false", headerIdempotencyKey: "x"}, 422, map[string]string{
			"header." + headerDeadline: "up to 15m", "header." + headerLabels + "[a]": "a valid label", "header." + headerTenant: "a valid label", "header." + headerIdempotencyKey: "ULID"}},
		{"repeatable is a word", pathCompletions, good, map[string]string{headerRepeatable: "maybe"}, 422, map[string]string{"header." + headerRepeatable: "true, false"}},
		{"too many tokens", pathCompletions, `{"model":"m","prompt":"p","max_tokens":21}`, nil, 422, map[string]string{"body.max_tokens": "1 to 20 tokens"}},
		{"far too many tokens", pathCompletions, `{"model":"m","prompt":"p","max_tokens":4294967297}`, nil, 422, map[string]string{"body.max_tokens": "at most 4294967295"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, router, url := start(t, nil, answerInTwo)
			status, header, body := post(t, url+c.path, c.body, c.headers)
			var got errorBody
			if err := json.Unmarshal([]byte(body), &got); err != nil || header.Get("Content-Type") != "application/json" {
				t.Fatalf("%v, %v: %s", err, header, body)
			}
			if status != c.status || got.Detail.Type != typeInvalid {
				t.Errorf("status %d, type %s: %s", status, got.Detail.Type, body)
			}
			found := lo.SliceToMap(got.Detail.Fields, func(each fieldError) (string, string) { return each.Field, each.Allowed })
			for name, text := range c.fields {
				if !strings.Contains(found[name], text) {
					t.Errorf("%s: %q does not hold %q", name, found[name], text)
				}
			}
			if len(found) != len(c.fields) {
				t.Errorf("got fields %v", found)
			}
			if len(router.generated) != 0 {
				t.Errorf("a bad request was sent to a router")
			}
		})
	}
}

func TestHeadersReachTheRouter(t *testing.T) {
	_, router, url := start(t, nil, answerInTwo)
	headers := map[string]string{
		headerTenant: "mill", headerLabels: "class=dock, site=north", headerRepeatable: "false", headerDeadline: "5s",
	}
	post(t, url+pathCompletions, `{"model":"m","adapter":"a","prompt":"say it"}`, headers)
	sent := <-router.generated
	work := sent.Work
	if work.Tenant != "mill" || work.Labels["site"] != "north" || work.Labels["class"] != "dock" || work.Repeatable || work.Adapter != "a" ||
		work.PromptTokens != 2 || work.PromptDigest == 0 || work.MaxTokens != 5 || sent.RemainingMillis > 5000 {
		t.Fatalf("got %v", sent)
	}
}

func TestIdempotencyKeyConflict(t *testing.T) {
	_, _, url := start(t, nil, answerInTwo)
	headers := map[string]string{headerIdempotencyKey: "order-1"}
	_, first, _ := post(t, url+pathCompletions, `{"model":"m","prompt":"p","max_tokens":2}`, headers)
	status, again, body := post(t, url+pathCompletions, `{"model":"m","prompt":"p","max_tokens":2}`, headers)
	if status != 200 || !strings.Contains(body, "one two") || first.Get(headerRequestID) != again.Get(headerRequestID) {
		t.Fatalf("the same request again: %d %s", status, body)
	}
	status, _, body = post(t, url+pathCompletions, `{"model":"m","prompt":"q","max_tokens":2}`, headers)
	if status != http.StatusConflict || !strings.Contains(body, typeConflict) {
		t.Fatalf("another request: %d %s", status, body)
	}
}

func TestCallerThatGoesAwayCancels(t *testing.T) {
	_, router, url := start(t, nil, func(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope)) {
		answer(progress(generate, 0, []string{"one"}, false))
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+pathCompletions, strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil || !strings.Contains(line, `"text":"one"`) {
		t.Fatalf("first event %q, %v", line, err)
	}
	cancel()
	_ = response.Body.Close()
	if id := <-router.cancelled; id != response.Header.Get(headerRequestID) {
		t.Fatalf("cancelled %s", id)
	}
}

func TestAStreamMayLastLongerThanTheBodyMayTake(t *testing.T) {
	const bodyTime = 50 * time.Millisecond
	_, _, url := start(t, func(settings *Settings) { settings.BodyReadTimeout = bodyTime },
		func(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope)) {
			answer(progress(generate, 0, []string{"one"}, false))
			time.Sleep(4 * bodyTime)
			answer(progress(generate, 1, []string{" two"}, true))
		})
	if status, _, body := post(t, url+pathCompletions, `{"model":"m","prompt":"p","stream":true}`, nil); status != 200 || !strings.Contains(body, "[DONE]") {
		t.Fatalf("%d %s", status, body)
	}
}

func TestStopFinishesWhatRuns(t *testing.T) {
	release := make(chan struct{})
	server, router, url := start(t, nil, func(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope)) {
		<-release
		answerInTwo(generate, answer)
	})
	var group sync.WaitGroup
	group.Go(func() {
		if status, _, body := post(t, url+pathCompletions, `{"model":"m","prompt":"p"}`, nil); status != 200 {
			t.Errorf("the running request was cut: %d %s", status, body)
		}
	})
	<-router.generated
	idle := server.Stop()
	status, header, body := post(t, url+pathCompletions, `{"model":"m","prompt":"p"}`, nil)
	if status != 503 || header.Get(headerRetryAfter) == "" || !strings.Contains(body, typeNotRun) {
		t.Errorf("a new request while stopping: %d %v %s", status, header, body)
	}
	if response, err := http.Get(url + "/readyz"); err != nil || response.StatusCode != 503 {
		t.Errorf("ready while stopping: %v", err)
	}
	select {
	case <-idle:
		t.Errorf("idle while a request runs")
	default:
	}
	close(release)
	<-idle
	group.Wait()
}

func TestHealthAndMetrics(t *testing.T) {
	_, _, url := start(t, nil, answerInTwo)
	post(t, url+pathCompletions, `{"model":"m","prompt":"p"}`, nil)
	for path, want := range map[string]string{
		"/healthz": "ok", "/readyz": "ready", "/openapi.json": `"X-Granitebay-Deadline"`,
		"/metrics": `granitebay_agent_requests_total{outcome="answered",path="/v1/completions"} 1`,
	} {
		response, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != 200 || !strings.Contains(string(data), want) {
			t.Errorf("%s: %d %.300s", path, response.StatusCode, data)
		}
	}
}

func TestDecisionsForOperators(t *testing.T) {
	kept := []decision.Record{{Sequence: 1, Subject: "cafe-1/1", Reason: "The answer is whole."}, {Sequence: 2, Subject: "cafe-1/2"}}
	cases := []struct {
		desc, path string
		status     int
		want       string
	}{
		{"list", "/admin/v1/decisions?subject=cafe-1/2", http.StatusOK, `"sequence":2`},
		{"one request", "/admin/v1/explain?request=cafe-1/1", http.StatusOK, `"reason":"The answer is whole."`},
		{"name of the agent", "/admin/v1/explain?request=cafe-1/9", http.StatusOK, `"router":"agent-1"`},
		{"no request", "/admin/v1/explain", http.StatusUnprocessableEntity, "query.request"},
	}
	_, _, url := start(t, func(settings *Settings) {
		settings.Name = "agent-1"
		settings.Decisions = func(uint64) []decision.Record { return kept }
	}, answerInTwo)
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			response, err := http.Get(url + c.path)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
				t.Errorf("status %d, %s", response.StatusCode, body)
			}
		})
	}
}
