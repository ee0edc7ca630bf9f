package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// TestBudgetHolds guards against responses that hold more than the budget together, and against bytes that are never returned.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, exempt = 100, 10
		budget := New(limit, exempt)
		sizes := make([]int, 5)
		reservations := make([]*Reservation, len(sizes))
		for i := range reservations {
			reservations[i] = budget.Reserve()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sizes)-1).Draw(t, "reservation")
			if rapid.IntRange(0, 3).Draw(t, "releases") == 0 {
				reservations[i].Release()
				sizes[i] = 0
			} else if size := rapid.IntRange(0, 60).Draw(t, "size"); reservations[i].Hold(size) {
				sizes[i] = max(sizes[i], size)
			}
			counted := 0
			for _, size := range sizes {
				counted += max(size-exempt, 0)
			}
			if counted > limit || budget.Held() != counted {
				t.Fatalf("%v are held, the budget counts %d of %d", sizes, budget.Held(), limit)
			}
		}
	})
}

// TestReadAll guards against bodies that are cut, or read beyond their limit.
func TestReadAll(t *testing.T) {
	for _, c := range []struct {
		size, limit, budget int
		want                error
	}{
		{0, 10, 0, nil}, {10, 10, 0, nil}, {11, 10, 0, ErrTooLong}, {5000, 5000, 10_000, nil}, {5001, 5000, 10_000, ErrTooLong},
		{5000, 5000, 100, ErrExhausted}, {512, 512, 0, nil}, {513, 512, 10, ErrTooLong},
	} {
		content := strings.Repeat("x", c.size)
		for _, body := range []io.Reader{strings.NewReader(content), iotest.OneByteReader(strings.NewReader(content)), iotest.DataErrReader(strings.NewReader(content))} {
			budget := New(c.budget, 1024)
			reservation := budget.Reserve()
			got, err := reservation.ReadAll(body, c.limit)
			if !errors.Is(err, c.want) || c.want == nil && !bytes.Equal(got, []byte(content)) {
				t.Errorf("%d bytes with a limit of %d: got %d bytes, %v, want %v", c.size, c.limit, len(got), err, c.want)
			}
			reservation.Release()
			if budget.Held() != 0 {
				t.Errorf("%d bytes are still held", budget.Held())
			}
		}
	}
}
