package answers

import (
	"slices"
	"strings"
	"testing"
)

func TestTokensAreDeterministic(t *testing.T) {
	whole := Tokens(PromptDigest("m", "a b"), 0, 9)
	if !slices.Equal(whole, append(Tokens(PromptDigest("m", "a b"), 0, 4), Tokens(PromptDigest("m", "a b"), 4, 9)...)) {
		t.Error("the tokens of two adjacent ranges differ from those of the whole range")
	}
	for _, other := range []uint64{PromptDigest("m", "a c"), PromptDigest("n", "a b")} {
		if slices.Equal(whole, Tokens(other, 0, 9)) {
			t.Error("another prompt or model has the same answer")
		}
	}
	if text := strings.Join(whole, ""); len(strings.Fields(text)) != 9 || CountTokens(text) != 9 {
		t.Errorf("%q does not have nine words", text)
	}
	if Tokens(1, 3, 3) != nil {
		t.Error("an empty range has tokens")
	}
}
