package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// mostBytes bounds what one message tells of requests: it goes with the other parts of a datagram of 64 KB.
const mostBytes = 24 << 10

// TestAMessageStaysSmall tells as many ends, good ends and bars as ever, each with long names.
func TestAMessageStaysSmall(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := DefaultSettings()
	table := NewTable(settings)
	for i := range 3 * settings.MostTold {
		asked := digestNamed(fmt.Sprint(i))
		for worker := range 3 {
			table.Ended(now, now.Add(time.Duration(worker)*settings.Moment), End{Asked: asked, Worker: fmt.Sprintf("i-%010d-%d", i, worker)}, "r-a-long-name", "tenant-1234")
			if i >= 2*settings.MostTold {
				break
			}
		}
		if i < settings.MostTold {
			table.EndedWell(now, now.Add(time.Second), asked)
		}
	}
	now = now.Add(time.Second)
	table.Judge(now)
	told := table.Tell(now, true)
	encoded, err := cbor.Marshal(told)
	if err != nil || len(encoded) > mostBytes {
		t.Errorf("%d bytes tell %d ends, %d good ends and %d bars: %v", len(encoded), len(told.Ends), len(told.EndedWell), len(told.Bars), err)
	}
	if again := table.Tell(now, false); len(again.Ends)+len(again.EndedWell)+len(again.Bars) > 0 {
		t.Errorf("what is not new is told again before its time: %+v", again)
	}
	t.Logf("%d bytes tell %d ends, %d good ends and %d bars", len(encoded), len(told.Ends), len(told.EndedWell), len(told.Bars))
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{400, 15000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			asked := Asked{Method: "POST", Host: "shop.example", Target: "/stream/x", Body: make([]byte, size)}
			for b.Loop() {
				asked.Digest()
			}
		})
	}
}
