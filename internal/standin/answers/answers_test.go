package answers

import (
	"slices"
	"strings"
	"testing"
)

func TestAnswersDependOnThePromptAlone(t *testing.T) {
	one := AnswerTokens(PromptDigest("m", "a b"), 0, 9)
	if !slices.Equal(one, append(AnswerTokens(PromptDigest("m", "a b"), 0, 4), AnswerTokens(PromptDigest("m", "a b"), 4, 9)...)) {
		t.Error("an answer in two parts is another one")
	}
	for _, other := range []uint64{PromptDigest("m", "a c"), PromptDigest("n", "a b")} {
		if slices.Equal(one, AnswerTokens(other, 0, 9)) {
			t.Error("another prompt or model has the same answer")
		}
	}
	if text := strings.Join(one, ""); len(strings.Fields(text)) != 9 || CountTokens(text) != 9 {
		t.Errorf("%q has not nine words", text)
	}
	if AnswerTokens(1, 3, 3) != nil {
		t.Error("an empty part has words")
	}
}
