package excerpt

import (
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

// TestOf guards against texts that are too long, don't begin as the original does, or end within a character.
func TestOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(1, 200).Draw(t, "times"))
		got := Of(text, IDBytes)
		if len(text) <= IDBytes {
			if got != text {
				t.Fatalf("%q is shortened to %q", text, got)
			}
			return
		}
		const most = IDBytes + len("… (0000000000 bytes)")
		begin, _, _ := strings.Cut(got, "… (")
		if len(got) > most || !strings.HasPrefix(text, begin) || !utf8.ValidString(got) {
			t.Fatalf("%q is shortened to %q", text, got)
		}
	})
}
