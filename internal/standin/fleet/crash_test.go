package fleet

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerOf sends a stream request to a worker and returns its body, with the error that ended the response, if any.
func answerOf(t *testing.T, worker *Worker, id, segments string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+worker.Address()+"/stream/x", strings.NewReader("body of "+id))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Prompt-Prefix", segments)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestCrashingPartCrashesWorkers checks when a crashing part crashes a worker, and how the response ends. A stream without a length or chunks
// must look whole to its reader, or plays with it check nothing.
func TestCrashingPartCrashesWorkers(t *testing.T) {
	part := CrashingPart(7)
	for _, kind := range []struct {
		name, segments string
		options        WorkerOptions
		// crashes and fails tell whether the worker crashes and whether the reader sees the response fail; events is how many it gets.
		crashes, fails bool
		events         int
	}{
		{name: "before the first event", segments: "aa:1," + part + ":1,bb:1", crashes: true, fails: true},
		{name: "first part", segments: part + ":1,bb:1", crashes: true, fails: true},
		{name: "spelled otherwise", segments: "aa:1,00" + strings.ToUpper(part) + ":1,bb:1", crashes: true, fails: true},
		{name: "after the first event", segments: part + ":1,bb:1", options: WorkerOptions{PartCrash: CrashAfterFirstEvent}, crashes: true, fails: true, events: 1},
		{name: "whole-looking", segments: part + ":1,bb:1", options: WorkerOptions{PartCrash: CrashAfterFirstEvent, Unframed: true}, crashes: true, events: 1},
		{name: "whole-looking alone", segments: part + ":1,bb:1", options: WorkerOptions{PartCrash: CrashWithWholeEnd}, crashes: true, events: 1},
		{name: "whole", segments: "aa:1,bb:1", options: WorkerOptions{Unframed: true}, events: 3},
		{name: "last part", segments: "aa:1," + part + ":1", events: 3},
	} {
		t.Run(kind.name, func(t *testing.T) {
			fleet := NewFleet()
			options := kind.options
			options.ID, options.Service, options.Stage, options.Slots, options.Events = "w", "llm", "decode", 2, 3
			worker, err := fleet.Start(options)
			if err != nil {
				t.Fatal(err)
			}
			defer worker.Stop(true)
			body, err := answerOf(t, worker, "r", kind.segments)
			if (err != nil) != kind.fails || body != StreamAnswer("r", kind.events) {
				t.Errorf("got %q, %v; want %d events, failure %t", body, err, kind.events, kind.fails)
			}
			if crashed := len(fleet.Crashes()) == 1; crashed != kind.crashes {
				t.Errorf("crashed: %t, want %t", crashed, kind.crashes)
			}
			if !kind.crashes {
				return
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for worker.Latest() == worker && ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if body, err := answerOf(t, worker.Latest(), "next", "aa:1,bb:1"); err != nil || body != StreamAnswer("next", 3) {
				t.Errorf("after the restart: %q, %v", body, err)
			}
		})
	}
}

// TestPromptPrefixAddsUp guards against prompts whose parts are missing in their header, or have other lengths than the prompt.
func TestPromptPrefixAddsUp(t *testing.T) {
	request := Request{ID: "r1", PromptTokens: 300, SharedTokens: 90, SharedPrefix: "a1"}
	for _, test := range []struct {
		parts    []string
		lastPart string
		want     string
	}{
		{nil, "", "a1:90,r1:210"},
		{[]string{"c0"}, "", "a1:90,c0:50,r1:160"},
		{[]string{"c0", "c1"}, "r0", "a1:90,c0:50,c1:50,r0:110"},
	} {
		request.Parts, request.LastPart = test.parts, test.lastPart
		if got := request.promptPrefix(); got != test.want {
			t.Errorf("parts %v: %s, want %s", test.parts, got, test.want)
		}
	}
}
