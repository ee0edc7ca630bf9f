package callers

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// plainCallerBench returns a server whose listener accepts connections that nothing holds.
func newPlainTestServer(b *testing.B) *testServer {
	bench := newTestServer(b, time.Hour, time.Hour)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bench.listener.Listener = listener
	go func() { _ = bench.Serve(listener) }()
	return bench
}

// BenchmarkRequestOfACaller measures a request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	bench := newPlainTestServer(b)
	caller := bench.dial(b)
	caller.request(b, "/1")
	b.ReportAllocs()
	for b.Loop() {
		caller.request(b, "/1")
	}
}

// BenchmarkRestingConnection measures the memory of a connection that rests, with both of its ends in this process.
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

// liveBytes returns the bytes of the heap that are in use.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
