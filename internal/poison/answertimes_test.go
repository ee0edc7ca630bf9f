package poison

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/heaptest"
)

// TestUsedPartsStayKnown guards against a table full of parts that were asked for once, which then knows none of those that come later and looks at all of
// them for each.
func TestUsedPartsStayKnown(t *testing.T) {
	s := newPartScript(t)
	limit := DefaultSettings().Parts.MaxAnswered
	for i := range 2 * limit {
		s.now = s.now.Add(time.Millisecond)
		s.table.recordAnswer(s.now, s.now, part(fmt.Sprintf("e%x", i)))
		if i%1000 == 0 {
			s.table.recordAnswer(s.now, s.now, part("shared"))
		}
	}
	for _, id := range []string{"shared", fmt.Sprintf("e%x", 2*limit-1)} {
		if s.table.answered.of(part(id)).IsZero() {
			t.Errorf("the answer of part %s is not known", id)
		}
	}
	if got := s.table.answered.len(); got > limit {
		t.Errorf("%d answers are kept, at most %d are allowed", got, limit)
	}
}

// TestAnswersHoldNoHeaders guards against parts whose ids keep the headers of their requests in memory.
func TestAnswersHoldNoHeaders(t *testing.T) {
	const headerBytes, requests = 16 << 10, 4000
	s := newPartScript(t)
	s.table.recordAnswer(s.now, s.now, part("first"))
	before := heaptest.Reachable()
	for i := range requests {
		header := fmt.Sprintf("%08x:1,", i) + strings.Repeat("0", headerBytes)
		s.table.recordAnswer(s.now, s.now, NewPart("g", header[:8]))
	}
	const most = 1 << 10
	if got := (heaptest.Reachable() - before) / requests; got > most {
		t.Errorf("an answer holds %d bytes, at most %d are allowed", got, most)
	}
	runtime.KeepAlive(s)
}

// TestAnswerTimes guards against a table that exceeds its limit, forgets a part other than the one recorded first, or goes back in time.
func TestAnswerTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		times := newAnswerTimes(limit)
		var order []string
		latest := map[string]time.Time{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.StringMatching("[a-f]").Draw(t, "part")
			at := time.Unix(int64(step-rapid.IntRange(0, 3).Draw(t, "late")), 0)
			_, known := latest[id]
			times.record(part(id), at)
			if known && !at.After(latest[id]) {
				continue
			}
			latest[id] = at
			order = append(deleteAll(order, id), id)
			if len(order) > limit {
				delete(latest, order[0])
				order = order[1:]
			}
			for _, id := range order {
				if got := times.of(part(id)); !got.Equal(latest[id]) {
					t.Fatalf("part %s: got %s, want %s", id, got, latest[id])
				}
			}
			if times.len() != len(order) {
				t.Fatalf("%d parts are known, want %v", times.len(), order)
			}
		}
	})
}

// deleteAll returns the items other than one.
func deleteAll(items []string, removed string) []string {
	var kept []string
	for _, item := range items {
		if item != removed {
			kept = append(kept, item)
		}
	}
	return kept
}

// BenchmarkAnswersOfNewParts measures answers to requests with 900 parts that no request had before.
func BenchmarkAnswersOfNewParts(b *testing.B) {
	const parts = 900
	table := newPartTable(DefaultSettings())
	now, number := time.Now(), 0
	for b.Loop() {
		for range parts {
			number++
			table.recordAnswer(now, now, part(fmt.Sprintf("%x", number)))
		}
	}
}
