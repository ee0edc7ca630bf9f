package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// worker is a model worker as the pages describe it. It runs as a process of its own, so that the kernel ends its connections when it is killed.
type worker struct {
	id, address, service, zone, storeURL string
	// events is the number of events of a stream, and pause the time between two of them. unframed responses have neither a length nor chunks.
	events   int
	pause    time.Duration
	unframed bool
	// namesService makes plain responses name the service.
	namesService bool
	// slots is the number of requests at work at once. Others wait, also the questions for the health.
	slots int
	free  chan struct{}
	// queue is the number of requests that may wait, beyond which others are rejected; negative if any number may. memory is the memory in tokens that
	// requests at work share, and pace how many tokens of a prompt are read in a millisecond; zero if they are not played.
	queue, memory int
	pace          float64
	born          int64

	mu       sync.Mutex
	stage    string
	busy     bool
	orders   int64
	fence    int64
	running  int
	waiting  int
	used     int
	handles  map[string]bool
	nextItem int
}

// runWorker serves until the process is killed.
func runWorker(w *worker) error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.born, w.handles, w.free = time.Now().UnixMilli(), map[string]bool{}, make(chan struct{}, w.slots)
	go func() {
		for {
			w.writeEntry()
			time.Sleep(heartbeat)
		}
	}()
	fmt.Printf("started %s born %d\n", w.id, w.born)
	return http.Serve(listener, w)
}

// writeEntry writes the entry of the worker into the store.
func (w *worker) writeEntry() {
	w.mu.Lock()
	entry := object{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0,
		"seqNo": w.orders, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []object{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	body, err := json.Marshal(entry)
	if err != nil {
		return
	}
	response, err := http.Post(w.storeURL+"/standin/put/"+names["workers"]+w.id, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if id := request.Header.Get("Request-Id"); id != "" {
		writer.Header().Set("Request-Id", id)
	}
	if request.URL.Path == "/health" {
		if !w.takeSlot(request) {
			return
		}
		defer w.freeSlot()
		writer.Header().Set(names["instance"], w.id)
		return
	}
	if expected := request.Header.Get(names["expect"]); expected != "" && expected != w.id {
		writer.Header().Set(names["instance"], w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == names["report"]:
		w.report(writer)
	case request.URL.Path == names["order"]:
		w.order(writer, request)
	case strings.HasPrefix(request.URL.Path, names["handle"]):
		w.take(strings.TrimPrefix(request.URL.Path, names["handle"]))
	case strings.HasPrefix(request.URL.Path, "/v1/"):
		writer.WriteHeader(http.StatusNotFound)
	default:
		w.serve(writer, request)
	}
}

// takeSlot waits for a free slot until the caller leaves, and reports whether there was one.
func (w *worker) takeSlot(request *http.Request) bool {
	select {
	case w.free <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

// enqueue counts a request as waiting and returns the memory that it needs, or reports that it is rejected: too many wait, or it is larger than the memory.
func (w *worker) enqueue(request *http.Request) (tokens int, hasRoom bool) {
	if w.memory > 0 {
		var prompt, output int
		_, _ = fmt.Sscanf(request.Header.Get(names["tokens"]), "%d,%d", &prompt, &output)
		tokens = prompt + output
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// A request that gets a slot at once counts as waiting for a moment.
	if tokens > w.memory || w.queue >= 0 && w.waiting >= w.queue+max(w.slots-len(w.free), 0) {
		return 0, false
	}
	w.waiting++
	return tokens, true
}

// takeMemory waits for memory until the caller leaves, and reports whether there was some. It frees the slot if there was none.
func (w *worker) takeMemory(request *http.Request, tokens int) bool {
	for {
		w.mu.Lock()
		if tokens == 0 || w.used+tokens <= w.memory {
			w.used += tokens
			w.mu.Unlock()
			return true
		}
		w.mu.Unlock()
		select {
		case <-request.Context().Done():
			w.freeSlot()
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// freeMemory frees memory.
func (w *worker) freeMemory(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used -= tokens
}

// freeSlot frees a slot.
func (w *worker) freeSlot() { <-w.free }

// report answers a question about the state of the worker.
func (w *worker) report(writer http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(object{
		"stage": w.stage, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": w.busy, "seqNo": w.orders, "queued": w.waiting,
		"running": w.running, "kvUsed": w.used, "kvTotal": cmp.Or(w.memory, 400000), "kvHandles": len(w.handles), "born": w.born,
	})
}

// order takes an order to change the stage.
func (w *worker) order(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Op, Stage, Holder string
		Fence             int64
		Expected          *int64
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || body.Op != "stage" || body.Holder == "" || body.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case body.Fence < w.fence:
		writer.WriteHeader(http.StatusPreconditionFailed)
	case w.busy || body.Expected != nil && *body.Expected != w.orders:
		writer.WriteHeader(http.StatusConflict)
	case body.Stage == w.stage:
		writer.WriteHeader(http.StatusOK)
	default:
		w.fence, w.busy = body.Fence, true
		w.orders++
		time.AfterFunc(time.Second, func() {
			w.mu.Lock()
			w.busy, w.stage = false, body.Stage
			w.mu.Unlock()
			w.writeEntry()
		})
		writer.WriteHeader(http.StatusAccepted)
	}
}

// take removes a handle and reports whether there was one.
func (w *worker) take(handle string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.handles[handle]
	delete(w.handles, handle)
	return found
}

// serve runs a request, or reads its prompt.
func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	w.mu.Lock()
	stage, busy := w.stage, w.busy
	w.mu.Unlock()
	wanted := "decode"
	if request.Header.Get(names["stage"]) == "prefill" {
		wanted = "prefill"
	}
	switch {
	case busy:
		writer.Header().Set(names["notExecuted"], "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case stage != "" && stage != wanted:
		writer.Header().Set(names["notExecuted"], "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case wanted == "prefill":
		w.mu.Lock()
		w.nextItem++
		handle := fmt.Sprintf("%x-%d", w.born, w.nextItem)
		w.handles[handle] = true
		w.mu.Unlock()
		_ = json.NewEncoder(writer).Encode(object{"kvHandle": handle, "tokens": 1000, "version": 1})
		return
	}
	tokens, hasRoom := w.enqueue(request)
	if !hasRoom {
		writer.Header().Set(names["notExecuted"], "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hasSlot := w.takeSlot(request) && w.takeMemory(request, tokens)
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	if !hasSlot {
		return
	}
	defer w.freeSlot()
	defer w.freeMemory(tokens)
	if w.pace > 0 {
		time.Sleep(time.Duration(float64(tokens) / w.pace * float64(time.Millisecond)))
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	fmt.Printf("run %s at %s born %d\n", id, w.id, w.born)
	writer.Header().Set(names["signature"], "s."+id)
	if w.events == 0 {
		time.Sleep(w.pause)
		answer := "answer to " + id
		if w.namesService {
			answer += " by " + w.service
		}
		_, _ = io.WriteString(writer, answer)
		return
	}
	w.stream(writer, request, id)
}

// stream sends the events of a run.
func (w *worker) stream(writer http.ResponseWriter, request *http.Request, id string) {
	writer.Header().Set("Content-Type", "text/event-stream")
	if w.unframed {
		// net/http then sends neither a length nor chunks, and closes the connection behind the response.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(writer)
	for number := after + 1; number <= w.events; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s event %d\n\n", number, id, number)
		if controller.Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(w.pause):
		}
	}
	fmt.Printf("whole %s at %s born %d\n", id, w.id, w.born)
}
