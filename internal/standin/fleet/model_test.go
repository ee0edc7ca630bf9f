package fleet

import (
	"testing"
	"time"
)

// TestPromptsOfGoneCallersAreNotRead fills the queue of an engine with long prompts whose callers leave.
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
			t.Error("a prompt of 60 s was read at once")
		}
	}
	begun := time.Now()
	if !engine.prefill(10, 1, nil) {
		t.Error("a prompt of a caller that is there was not read")
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("a prompt of 10 ms took %s", took)
	}
}

// TestPromptsAreReadOneAfterTheOther reads two prompts at once.
func TestPrefillIsSerialized(t *testing.T) {
	engine := newEngineModel(ModelOptions{PromptTokensPerSecond: 1000})
	begun := time.Now()
	results := make(chan bool, 2)
	for range cap(results) {
		go func() { results <- engine.prefill(100, 1, nil) }()
	}
	for range cap(results) {
		<-results
	}
	if took := time.Since(begun); took < 200*time.Millisecond {
		t.Errorf("two prompts of 100 ms took %s", took)
	}
}
