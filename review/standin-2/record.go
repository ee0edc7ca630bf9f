package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in order.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
	// runs counts the runs by request.
	runs map[string]int
}

func newRecord() *record { return &record{begun: time.Now(), runs: map[string]int{}} }

// note adds a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// run adds a run of a request at a worker.
func (r *record) run(worker, id string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.note("run %s at %s", id, worker)
}

// write writes the lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
