package fleet

import (
	"testing"
	"time"
)

// TestPromptsOfGoneCallersAreNotRead fills the queue of an engine with long prompts whose callers leave.
func TestPromptsOfGoneCallersAreNotRead(t *testing.T) {
	engine := newModel(ModelOptions{PromptTokensPerSecond: 1000})
	gone := make(chan struct{})
	answers := make(chan bool, 5)
	for range cap(answers) {
		go func() { answers <- engine.read(60_000, 1, gone) }()
	}
	time.Sleep(20 * time.Millisecond)
	close(gone)
	for range cap(answers) {
		if <-answers {
			t.Error("a prompt of 60 s was read at once")
		}
	}
	begun := time.Now()
	if !engine.read(10, 1, nil) {
		t.Error("a prompt of a caller that is there was not read")
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("a prompt of 10 ms took %s", took)
	}
}

// TestPromptsAreReadOneAfterTheOther reads two prompts at once.
func TestPromptsAreReadOneAfterTheOther(t *testing.T) {
	engine := newModel(ModelOptions{PromptTokensPerSecond: 1000})
	begun := time.Now()
	read := make(chan bool, 2)
	for range cap(read) {
		go func() { read <- engine.read(100, 1, nil) }()
	}
	for range cap(read) {
		<-read
	}
	if took := time.Since(begun); took < 200*time.Millisecond {
		t.Errorf("two prompts of 100 ms took %s", took)
	}
}
