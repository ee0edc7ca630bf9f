package completions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/forward"
)

// TestPromptsOfShortWordsTakeLittleMemory guards against prompts whose words take many times their size when they are counted.
func TestPromptsOfShortWordsTakeLittleMemory(t *testing.T) {
	const words = 500_000
	body := []byte(fmt.Sprintf(`{"model":"m","prompt":%q,"shared_prefix_tokens":%d}`, strings.Repeat("a ", words), words/2))
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			request := &forward.Request{Body: body}
			if err := (Protocol{}).Complete(request); err != nil || request.Demand.PromptTokens != words {
				b.Fatalf("%d tokens, %v", request.Demand.PromptTokens, err)
			}
		}
	})
	if got, most := result.AllocedBytesPerOp(), int64(2*len(body)); got > most {
		t.Errorf("a prompt of %d bytes takes %d bytes, at most %d are allowed", len(body), got, most)
	}
}

// TestSegmentsOfPrompts guards against segments that differ from those of other gateways: the ids are kept in tables of all of them.
func TestSegmentsOfPrompts(t *testing.T) {
	for shared, want := range map[int]string{
		0: "[{edf90f0660073434 3}]", 2: "[{5629984b97013cc7 2} {edf90f0660073434 1}]",
		3: "[{edf90f0660073434 3} {edf90f0660073434 0}]", 9: "[{edf90f0660073434 3} {edf90f0660073434 0}]",
	} {
		body := RequestBody{Model: "m", Prompt: " a b\tc ", SharedPrefixTokens: shared}
		if got := fmt.Sprint(body.demand().Segments); got != want {
			t.Errorf("%d shared tokens: got %s, want %s", shared, got, want)
		}
	}
}
