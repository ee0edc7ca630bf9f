package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// BenchmarkBegin measures what a gateway does for each stream that begins: the outlook, and the record.
func BenchmarkBegin(b *testing.B) {
	for _, workers := range []int{20, 1_000, 10_000} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			history, table := NewHistory(), NewTable(1<<16)
			var changes backend.Changes
			for i := range workers {
				changes.Updated = append(changes.Updated, worker(fmt.Sprint("w", i), []string{"a", "b"}[i%2]))
			}
			history.Change(epoch, backend.Set{}, changes)
			stream := Stream{Services: []string{"s"}, Lifetime: 6 * time.Second}
			now := epoch
			for i := 0; b.Loop(); i++ {
				// A gateway of the largest fleets begins 20 streams a second.
				now = now.Add(50 * time.Millisecond)
				stream.Key = Key(i + 1)
				shared := NeedsRecord(history.Outlook(now, stream.Services, stream.Horizon()), time.Second)
				table.PutLocal(now, Record{Key: stream.Key, Version: versionA, Lifetime: stream.Lifetime}, shared)
			}
		})
	}
}
