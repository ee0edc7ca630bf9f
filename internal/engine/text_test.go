package engine

import (
	"flag"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func TestAnswerTokensAreFixed(t *testing.T) {
	// Engines and checkers of different builds must agree on answers, so the text of one is pinned.
	const want = "mapo mivo neza faro"
	if got := strings.Join(AnswerTokens(1, 0, 4), ""); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestAnswersOfPromptsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digest, other := rapid.Uint64().Draw(t, "digest"), rapid.Uint64().Draw(t, "other")
		const length = 16
		if digest != other && slices.Equal(AnswerTokens(digest, 0, length), AnswerTokens(other, 0, length)) {
			t.Fatalf("prompts %d and %d have one answer", digest, other)
		}
	})
}

func TestPromptDigestSeparatesItsParts(t *testing.T) {
	digests := []uint64{
		PromptDigest("roast", "mill", "grind"),
		PromptDigest("roastmill", "", "grind"),
		PromptDigest("roast", "millgrind", ""),
		PromptDigest("roast", "", "millgrind"),
	}
	for i, digest := range digests {
		if slices.Contains(digests[i+1:], digest) {
			t.Fatalf("digest %d stands twice in %v", digest, digests)
		}
	}
}

func TestPrefixBlocks(t *testing.T) {
	words := func(count int) string { return strings.Repeat("blend ", count) }
	tests := []struct {
		desc   string
		prompt string
		blocks int
		// shared is the number of leading blocks that equal those of 600 words.
		shared int
	}{
		{"empty", "", 0, 0},
		{"less than a block", words(255), 0, 0},
		{"one block", words(256), 1, 1},
		{"the rest is no block", words(600), 2, 2},
		{"goes on", words(600) + words(200), 3, 2},
		{"other end", words(300) + strings.Repeat("roast ", 300), 2, 1},
		{"other beginning", "roast " + words(600), 2, 0},
		{"other white space", strings.ReplaceAll(words(600), " ", "\n\t"), 2, 2},
	}
	long := PrefixBlocks("roast", words(600))
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			blocks := PrefixBlocks("roast", test.prompt)
			shared := 0
			for shared < min(len(blocks), len(long)) && blocks[shared] == long[shared] {
				shared++
			}
			if len(blocks) != test.blocks || shared != test.shared {
				t.Fatalf("got %d blocks, %d shared; want %d, %d", len(blocks), shared, test.blocks, test.shared)
			}
			if want := uint32(len(strings.Fields(test.prompt))); CountTokens(test.prompt) != want {
				t.Fatalf("got %d tokens, want %d", CountTokens(test.prompt), want)
			}
		})
	}
	if other := PrefixBlocks("grind", words(600)); other[0] == long[0] {
		t.Fatal("two models share a block")
	}
}
