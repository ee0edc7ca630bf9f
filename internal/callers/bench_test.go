package callers

import (
	"runtime"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/netdial"
)

// newPlainTestServer returns a server whose listener does not use gates.
func newPlainTestServer(b *testing.B) *testServer {
	bench := newTestServer(b, time.Hour, time.Hour)
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bench.listener.Listener = listener
	go func() { _ = bench.Serve(listener) }()
	return bench
}

// BenchmarkRequest measures a request on a keep-alive connection.
func BenchmarkRequest(b *testing.B) {
	bench := newPlainTestServer(b)
	caller := bench.dial(b)
	caller.request(b, "/1")
	b.ReportAllocs()
	for b.Loop() {
		caller.request(b, "/1")
	}
}

// BenchmarkIdleConnection measures the heap used by an idle connection, including its client end.
func BenchmarkIdleConnection(b *testing.B) {
	const resting = 2000
	for range b.N {
		bench := newPlainTestServer(b)
		before := heapInUse()
		for range resting {
			bench.dial(b).request(b, "/1")
		}
		b.ReportMetric(float64(heapInUse()-before)/resting, "B/connection")
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
