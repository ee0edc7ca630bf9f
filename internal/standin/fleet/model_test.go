package fleet

import (
	"testing"
	"time"
)

// TestPrefillSkipsCanceledCallers guards against queued prompts of disconnected clients delaying later ones.
func TestPrefillSkipsCanceledCallers(t *testing.T) {
	engine := newEngineModel(ModelOptions{PromptTokensPerSecond: 1000})
	done := make(chan struct{})
	results := make(chan bool, 5)
	for range cap(results) {
		go func() { results <- engine.prefill(60_000, 1, done) }()
	}
	time.Sleep(20 * time.Millisecond)
	close(done)
	for range cap(results) {
		if <-results {
			t.Error("prefill of a 60 s prompt was completed although the client disconnected")
		}
	}
	start := time.Now()
	if !engine.prefill(10, 1, nil) {
		t.Error("prefill was aborted although the client is connected")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("prefill of a 10 ms prompt took %s", took)
	}
}

// TestPrefillIsSerialized guards against concurrent prefill exceeding the configured rate.
func TestPrefillIsSerialized(t *testing.T) {
	engine := newEngineModel(ModelOptions{PromptTokensPerSecond: 1000})
	start := time.Now()
	results := make(chan bool, 2)
	for range cap(results) {
		go func() { results <- engine.prefill(100, 1, nil) }()
	}
	for range cap(results) {
		<-results
	}
	if took := time.Since(start); took < 200*time.Millisecond {
		t.Errorf("prefill of two 100 ms prompts took %s, want at least 200ms", took)
	}
}
