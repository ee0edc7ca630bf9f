package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

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

func TestFleetAnswers(t *testing.T) {
	small := twoZones()
	fleet, err := Start(t.Context(), Options{Deployment: small, Logger: newLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	agents := fleet.Agents()
	for index := range 20 {
		prompt := strings.Repeat("grind ", 10+index)
		got := ask(t.Context(), t, agents[index%len(agents)].Address, small.Model, prompt)
		want := strings.Join(engine.AnswerTokens(engine.PromptDigest(small.Model, "", prompt), 0, 8), "")
		if got != want {
			t.Errorf("answer %d is %q, want %q", index, got, want)
		}
	}
}

// ask asks an agent for 8 tokens and returns the text.
func ask(ctx context.Context, t *testing.T, address, model, prompt string) string {
	t.Helper()
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": 8})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Granitebay-Tenant", "cafe")
	response, err := http.DefaultClient.Do(request)
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
