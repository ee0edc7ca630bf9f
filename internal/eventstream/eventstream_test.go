package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestNext guards against events that are split elsewhere than at empty lines, and cut-off events that are not reported.
func TestNext(t *testing.T) {
	cases := []struct {
		desc, stream string
		raw, ids     []string
		end          error
	}{
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, io.EOF},
		{"no id", "data: a\n\n", []string{"data: a\n\n"}, []string{""}, io.EOF},
		{"carriage returns", "id:7\r\ndata: a\r\n\r\n", []string{"id:7\r\ndata: a\r\n\r\n"}, []string{"7"}, io.EOF},
		{"cut off within a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []string{"1"}, ErrPartial},
		{"cut off between lines", "id: 2\n", nil, nil, ErrPartial},
		{"empty", "", nil, nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			reader := NewReader(iotest.OneByteReader(strings.NewReader(c.stream)), 1000)
			for i := 0; ; i++ {
				event, err := reader.Next()
				if err != nil {
					if !errors.Is(err, c.end) || i != len(c.raw) {
						t.Fatalf("ended after %d events with %v, want %d and %v", i, err, len(c.raw), c.end)
					}
					return
				}
				if i >= len(c.raw) || string(event.Raw) != c.raw[i] || event.ID != c.ids[i] {
					t.Fatalf("event %d is %q with id %q", i, event.Raw, event.ID)
				}
			}
		})
	}
}

// TestEventAboveLimit guards against memory use without bound for a stream without empty lines.
func TestEventAboveLimit(t *testing.T) {
	reader := NewReader(strings.NewReader("data: "+strings.Repeat("x", 10000)+"\n\n"), 5000)
	if _, err := reader.Next(); !errors.Is(err, ErrTooLong) {
		t.Fatalf("got %v", err)
	}
}

// TestBytesAreUnchanged guards against changed bytes: the concatenated events must be a prefix of the stream.
func TestBytesAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: abc\n", "\n", "\r\n", ": note\n", "x"})).Draw(t, "lines")
		stream := strings.Join(lines, "")
		reader := NewReader(strings.NewReader(stream), 1<<20)
		var whole strings.Builder
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			whole.Write(event.Raw)
		}
		if !strings.HasPrefix(stream, whole.String()) {
			t.Fatalf("%q does not begin with %q", stream, whole.String())
		}
	})
}

// countedReader counts the reads of a stream, each of which returns a few bytes.
type countedReader struct {
	source io.Reader
	reads  int
}

func (c *countedReader) Read(into []byte) (int, error) {
	c.reads++
	return c.source.Read(into[:min(len(into), 12)])
}

// TestHasEvent guards against a reader that promises an event and then waits for the rest of it or fails, and against one that never promises any.
func TestHasEvent(t *testing.T) {
	promised := 0
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: abc\n", "\n", "\r\n", ": note\n", "x"})).Draw(t, "lines")
		source := &countedReader{source: strings.NewReader(strings.Join(lines, ""))}
		reader := NewReader(source, 1000)
		for {
			hasEvent, reads := reader.HasEvent(), source.reads
			_, err := reader.Next()
			if hasEvent && (err != nil || source.reads != reads) {
				t.Fatalf("an event was promised, but there was %v after %d reads", err, source.reads-reads)
			}
			if hasEvent {
				promised++
			}
			if err != nil {
				return
			}
		}
	})
	if promised == 0 {
		t.Error("no event was promised")
	}
}
