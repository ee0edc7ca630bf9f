package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/logging"
)

// twoZones is a deployment of two zones, cut out of a bigger one.
func twoZones() deployment.Deployment {
	small := deployment.Fes()
	small.Zones = small.Zones[:2]
	inside := func(machines []deployment.Machine, perZone int) []deployment.Machine { return machines[:2*perZone] }
	small.Routers = inside(small.Routers, 2)
	small.Engines = inside(small.Engines, 3)
	small.Agents = inside(small.Agents, 1)
	return small
}

func newLogger(t *testing.T) *logrus.Logger {
	t.Helper()
	logger, err := logging.New(logging.Options{Level: "debug", Format: logging.FormatText, Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return logger
}

func TestFleetAnswersAndEndsWithoutATrace(t *testing.T) {
	before := runtime.NumGoroutine()
	small := twoZones()
	running, err := Start(t.Context(), Options{Deployment: small, Logger: newLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	agents := running.Agents()
	for index := range 20 {
		prompt := strings.Repeat("grind ", 10+index)
		got := ask(t, client, agents[index%len(agents)].Address, small.Model, prompt)
		want := strings.Join(engine.AnswerTokens(engine.PromptDigest(small.Model, "", prompt), 0, 8), "")
		if got != want {
			t.Errorf("answer %d is %q, want %q", index, got, want)
		}
	}
	if roles := running.Ledger().Roles(time.Now()); roles.Prefill != 3 || roles.Decode != 3 {
		t.Errorf("roles are %+v, want 3 of each", roles)
	}
	client.CloseIdleConnections()
	running.Stop()
	// Handlers of cut connections end a moment after Stop. A goroutine that stays shows in the dump of the time-out.
	for runtime.NumGoroutine() > before {
		time.Sleep(10 * time.Millisecond)
	}
}

func TestStartEndsWithItsContext(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Start(ctx, Options{Deployment: twoZones(), Logger: newLogger(t)}); !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v", err)
	}
	for runtime.NumGoroutine() > before {
		time.Sleep(10 * time.Millisecond)
	}
}

// ask asks an agent for 8 tokens and returns the text.
func ask(t *testing.T, client *http.Client, address, model, prompt string) string {
	t.Helper()
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": 8})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+probePath, strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Granitebay-Tenant", "cafe")
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Choices []struct{ Text string }
	}
	text, _ := io.ReadAll(response.Body)
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Choices) != 1 {
		t.Fatalf("status %d: %s", response.StatusCode, text)
	}
	return answer.Choices[0].Text
}
