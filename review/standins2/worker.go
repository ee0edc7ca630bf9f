package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a worker answers to a request that it has run.
type answer struct {
	status int
	work   time.Duration
}

// worker is a stand-in of a plain worker, as PROTOCOL.md describes it. It drops a request once its connection closes.
type worker struct {
	id, service, address string
	record               *recorder
	// answerTo returns what the worker answers to a request; it must be safe for concurrent use.
	answerTo func(request *http.Request) answer

	server *http.Server
	// slots has an element for each request that runs; waiting counts these and the queue.
	slots   chan struct{}
	waiting atomic.Int32
}

// workerQueue is how many requests wait at a worker for a slot, as in the site file.
const workerQueue = 24

// workerNumber counts the workers, so that each start is an incarnation of its own.
var workerNumber atomic.Int64

// startWorker starts a worker at a free loopback port and records it in the store.
func startWorker(s *store, service string, slots int32, record *recorder, answerTo func(request *http.Request) answer) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%04d%06x", workerNumber.Add(1), rand.IntN(1<<24)), service: service, address: listener.Addr().String(), record: record,
		answerTo: answerTo, slots: make(chan struct{}, slots),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	s.put(names.WorkerPrefix+w.id, object{
		"service": service, "address": w.address, "zone": "hall", "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
	})
	return w, nil
}

// crash ends the worker at once, with its listener and its connections.
func (w *worker) crash() { _ = w.server.Close() }

// takeSlot waits for a slot, and reports whether there was one before the context ended.
func (w *worker) takeSlot(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == healthPath {
		writer.Header().Set(names.Instance, w.id)
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if request.Header.Get(names.ExpectedInstance) != w.id {
		writer.Header().Set(names.Instance, w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	ctx := request.Context()
	if milliseconds, err := strconv.Atoi(request.Header.Get(names.Deadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
	}
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > int32(cap(w.slots))+workerQueue || !w.takeSlot(ctx) {
		writer.Header().Set(names.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.record.add("%s runs %s %s", w.id, id, request.URL.Path)
	given := w.answerTo(request)
	if !sleep(ctx, given.work) {
		w.record.add("%s stops %s", w.id, id)
		if request.Context().Err() != nil {
			return
		}
		given.status = http.StatusGatewayTimeout
	}
	body := "answer of " + w.id + " to " + id
	writer.Header().Set(names.Signature, fmt.Sprintf("%s.%x", w.id, rand.Uint64()))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(given.status)
	_, _ = io.WriteString(writer, body)
}

// sleep waits for a duration, and reports whether the context lasted.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recorder writes what was sent, answered and run to a file. It is safe for concurrent use.
type recorder struct {
	mutex  sync.Mutex
	output io.Writer
	start  time.Time
}

// add writes one line with the seconds since the start.
func (r *recorder) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.output, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.output, format+"\n", values...)
}
