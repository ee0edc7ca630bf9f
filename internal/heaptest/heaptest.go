// Package heaptest measures memory in tests.
package heaptest

import "runtime"

// Reachable returns the number of bytes of all reachable memory.
func Reachable() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
