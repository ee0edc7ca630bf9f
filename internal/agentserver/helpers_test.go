package agentserver

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/runner"
)

// fakeRouter answers a Generate by a script.
type fakeRouter struct {
	t      *testing.T
	runner *runner.Runner
	script func(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope))
	// cancelled takes the id of each request that was cancelled.
	cancelled chan string
	// generated takes each Generate.
	generated chan *granitebayv1.Generate
}

// Send is part of runner.Sender.
func (f *fakeRouter) Send(message core.Message) {
	if cancel := message.Envelope.GetCancel(); cancel != nil {
		f.cancelled <- cancel.GetRequestId()
	}
	if generate := message.Envelope.GetGenerate(); generate != nil {
		f.generated <- generate
		go f.script(generate, func(envelope *granitebayv1.Envelope) {
			envelope.From = &granitebayv1.Peer{Name: "r1", Address: "127.0.0.1:1", Incarnation: 1}
			f.runner.HandleEnvelope(envelope)
		})
	}
}

// start returns the URL of an agent whose router follows a script.
func start(t *testing.T, change func(*Settings), script func(*granitebayv1.Generate, func(*granitebayv1.Envelope))) (*Server, *fakeRouter, string) {
	agentCore := agent.New(agent.Settings{
		Name: "agent-1", Routers: []agent.Router{{Name: "r1", Address: "127.0.0.1:1"}}, MaxPromptTokens: 50, MaxTokens: 20,
	}, rand.New(rand.NewPCG(1, 1)))
	router := &fakeRouter{t: t, script: script, cancelled: make(chan string, 100), generated: make(chan *granitebayv1.Generate, 100)}
	var server *Server
	driver := runner.New(runner.Options{
		Node: agentCore, Sender: router, Decisions: decisionlog.New("agent-1", 10),
		OnCaller: func(event core.CallerEvent) { server.Deliver(event) },
	})
	router.runner = driver
	settings := Settings{DefaultTenant: "cafe-1", MaxBodyBytes: 2000, DefaultMaxTokens: 5}
	if change != nil {
		change(&settings)
	}
	server = New(settings, driver, agentCore)
	web := httptest.NewServer(server.Handler())
	t.Cleanup(func() { web.Close(); driver.Close() })
	return server, router, web.URL
}

func progress(generate *granitebayv1.Generate, offset uint32, tokens []string, finished bool) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Progress{Progress: &granitebayv1.Progress{
		RequestId: generate.Work.RequestId, Attempt: generate.Attempt, Run: &granitebayv1.RunReference{Engine: "e1", EngineIncarnation: 1},
		Offset: offset, Tokens: tokens, Finished: finished, TotalTokens: lo.Ternary(finished, offset+uint32(len(tokens)), 0), Started: true,
	}}}
}

func outcome(generate *granitebayv1.Generate, kind granitebayv1.OutcomeKind) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Outcome{Outcome: &granitebayv1.Outcome{
		RequestId: generate.Work.RequestId, Attempt: generate.Attempt, Kind: kind,
		Reason: "The queue is full.", Step: "admission", Peer: "r1", RetryAfterMillis: 1500,
	}}}
}

// answerInTwo sends "one two" as two pieces.
func answerInTwo(generate *granitebayv1.Generate, answer func(*granitebayv1.Envelope)) {
	answer(progress(generate, 0, []string{"one"}, false))
	answer(progress(generate, 1, []string{" two"}, true))
}

// post sends a body and returns the status, the header and the body of the response.
func post(t *testing.T, url, body string, headers map[string]string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, string(data)
}
