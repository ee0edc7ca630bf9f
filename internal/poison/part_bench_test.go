package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// crashParts returns the parts of the prompts of requests that run at a worker: a few first ones, one of each tenant and one of each session.
func crashParts(worker, requests int) []Part {
	const firstParts, tenants = 4, 500
	seen := map[Part]bool{}
	var parts []Part
	for i := range requests {
		number := worker*requests + i
		for _, id := range []string{fmt.Sprintf("a%x", number%firstParts), fmt.Sprintf("b%x", number%tenants), fmt.Sprintf("c%x", number)} {
			if part := NewPart("g", id); !seen[part] {
				seen[part] = true
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// BenchmarkCrashes measures what crashes of workers cost a gateway: to record or to receive them, and to decide about the parts. It reports the
// size of the update about them.
func BenchmarkCrashes(b *testing.B) {
	const requests = 64
	for _, workers := range []int{1, 8, 300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			parts := make([][]Part, workers)
			for worker := range parts {
				parts[worker] = crashParts(worker, requests)
			}
			size := 0
			for b.Loop() {
				table := newPartTable(DefaultSettings())
				now := time.Unix(1000, 0)
				for worker := range parts {
					table.recordCrash(now, now, fmt.Sprint("worker-", worker), "", parts[worker])
				}
				update := table.takeUpdate(now, nil)
				now = now.Add(DefaultSettings().SettleDelay)
				table.evaluate(now)
				encoded, err := cbor.Marshal(update)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "update-bytes")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(workers), "us/worker")
		})
	}
}

// BenchmarkStatus measures the check of a request with three shared parts, beside a table that holds the evidence of a crash.
func BenchmarkStatus(b *testing.B) {
	guard := NewGuard(DefaultSettings(), nil, func() time.Time { return time.Unix(1000, 0) }, func(Event) {})
	guard.parts.recordCrash(guard.Now(), guard.Now(), "worker", "", crashParts(0, 64))
	parts := crashParts(0, 1)
	for b.Loop() {
		guard.PartStatus(parts)
	}
}

// BenchmarkRequestCrashes measures what crashes of workers cost the table of requests, of which each worker ran 64.
func BenchmarkRequestCrashes(b *testing.B) {
	const requests = 64
	for _, workers := range []int{1, 8, 300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var digests []Digest
			for i := range workers * requests {
				digests = append(digests, Request{Target: fmt.Sprint(i)}.Digest())
			}
			for b.Loop() {
				table := NewTable(DefaultSettings())
				now := time.Unix(1000, 0)
				for i, digest := range digests {
					table.RecordCrash(now, now, Crash{Digest: digest, Worker: fmt.Sprint("worker-", i/requests)}, "rule", "")
				}
				table.TakeUpdate(now, nil)
				table.Evaluate(now.Add(DefaultSettings().SettleDelay))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(workers), "us/worker")
		})
	}
}
