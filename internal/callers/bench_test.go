package callers

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// plainCallerBench returns a server whose listener accepts connections that nothing holds.
func plainCallerBench(b *testing.B) *callerBench {
	bench := newCallerBench(b, time.Hour, time.Hour)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bench.listener.Listener = listener
	go func() { _ = bench.Serve(listener) }()
	return bench
}

// BenchmarkRequestOfACaller measures a request on a kept connection.
func BenchmarkRequestOfACaller(b *testing.B) {
	bench := plainCallerBench(b)
	caller := bench.dial(b)
	caller.ask(b, "/1")
	b.ReportAllocs()
	for b.Loop() {
		caller.ask(b, "/1")
	}
}

// BenchmarkRestingConnection measures the memory of a connection that rests, with both of its ends in this process.
func BenchmarkRestingConnection(b *testing.B) {
	const resting = 2000
	for range b.N {
		bench := plainCallerBench(b)
		before := liveBytes()
		for range resting {
			bench.dial(b).ask(b, "/1")
		}
		b.ReportMetric(float64(liveBytes()-before)/resting, "B/connection")
	}
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
