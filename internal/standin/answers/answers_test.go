package answers

import (
	"slices"
	"strings"
	"testing"
)

func TestTokensAreDeterministic(t *testing.T) {
	one := Tokens(PromptDigest("m", "a b"), 0, 9)
	if !slices.Equal(one, append(Tokens(PromptDigest("m", "a b"), 0, 4), Tokens(PromptDigest("m", "a b"), 4, 9)...)) {
		t.Error("an answer in two parts is another one")
	}
	for _, other := range []uint64{PromptDigest("m", "a c"), PromptDigest("n", "a b")} {
		if slices.Equal(one, Tokens(other, 0, 9)) {
			t.Error("another prompt or model has the same answer")
		}
	}
	if text := strings.Join(one, ""); len(strings.Fields(text)) != 9 || CountTokens(text) != 9 {
		t.Errorf("%q does not have nine words", text)
	}
	if Tokens(1, 3, 3) != nil {
		t.Error("an empty range has tokens")
	}
}
