package eventstream

import (
	"errors"
	"strings"
	"testing"
)

// chunkReader delivers a chunk with each call, and counts the calls.
type chunkReader struct {
	chunks []string
	calls  int
}

// Read implements io.Reader.
func (c *chunkReader) Read(into []byte) (int, error) {
	c.calls++
	if len(c.chunks) == 0 {
		return 0, errors.New("the source has broken off")
	}
	n := copy(into, c.chunks[0])
	if c.chunks[0] = c.chunks[0][n:]; c.chunks[0] == "" {
		c.chunks = c.chunks[1:]
	}
	return n, nil
}

// FuzzReader guards against bytes of workers that end the process, change on the way, or make HasEvent promise an event for which Next waits.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n")
	f.Add("\n\n\r\n\rid:\n\n", "\r\n\r\r\n")
	f.Add(":\n\r\n", "\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		source := &chunkReader{}
		for _, chunk := range []string{first, second} {
			if chunk != "" {
				source.chunks = append(source.chunks, chunk)
			}
		}
		reader := NewReader(source, 1<<20)
		var whole strings.Builder
		for {
			promised, calls := reader.HasEvent(), source.calls
			event, err := reader.Next()
			if promised && (err != nil || source.calls != calls) {
				t.Fatalf("an event was promised; got %q, %v, after %d reads", event.Raw, err, source.calls-calls)
			}
			if err != nil {
				break
			}
			whole.Write(event.Raw)
		}
		if !strings.HasPrefix(first+second, whole.String()) {
			t.Errorf("got %q from %q and %q", whole.String(), first, second)
		}
	})
}
