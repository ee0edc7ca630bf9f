package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/granitebay/granitebay/review/harness"
)

// workerOptions describe a worker.
type workerOptions struct {
	id, service, zone, stage, listen, control, log string
	slots, queue, bytes, events                    int
	work, send                                     time.Duration
	unframed                                       bool
}

// worker is a worker of a service.
type worker struct {
	workerOptions
	logFile *os.File

	// running has an element for each request that runs.
	running chan struct{}

	mu sync.Mutex
	// taken counts the requests that run or wait for a slot.
	taken int
	// current is the stage of an engine now, orders the orders that it took, and changing is set while it carries one out.
	current  string
	orders   int
	changing bool
	// handles are the prompts that were read and not taken yet.
	handles map[string]bool
}

// reconfigTime is how long an engine takes to change its stage, as the configuration of the cases says (reconfigS).
const reconfigTime = 1100 * time.Millisecond

// heartbeat is the time between two heartbeats of a worker.
const heartbeat = 1200 * time.Millisecond

// runWorker serves until the process ends.
func runWorker(options workerOptions) error {
	logFile, err := os.OpenFile(options.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", options.listen)
	if err != nil {
		return err
	}
	w := &worker{workerOptions: options, logFile: logFile, running: make(chan struct{}, options.slots), current: options.stage, handles: map[string]bool{}}
	go w.beat()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go w.serve(conn)
	}
}

// beat keeps the entry of the worker in the store.
func (w *worker) beat() {
	for {
		w.register()
		time.Sleep(heartbeat)
	}
}

// register writes the entry of the worker.
func (w *worker) register() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.service, "address": w.listen, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0, "seqNo": w.orders,
	}
	if w.stage != "" {
		entry["stage"] = w.current
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	response, err := http.Post("http://"+w.control+"/put?key="+url.QueryEscape(harness.Wire.WorkerKeys+w.id), "application/json", bytes.NewReader(value))
	if err == nil {
		_ = response.Body.Close()
	}
}

// note appends a line to the log. It is one system call, so that it outlasts a kill of the process.
func (w *worker) note(format string, values ...any) {
	_, _ = fmt.Fprintf(w.logFile, "%s %s %s\n", time.Now().UTC().Format("15:04:05.000"), w.id, fmt.Sprintf(format, values...))
}

// serve serves the requests of a connection one after the other.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.handle(conn, request, body) {
			return
		}
	}
}

// framed writes a whole answer with a length.
func framed(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// jsonHeader is the header of answers of the engines' own interface.
const jsonHeader = "Content-Type: application/json\r\n"

// handle answers one request and reports whether the connection goes on.
func (w *worker) handle(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get(harness.Wire.RequestID)
	carried := ""
	if id != "" {
		carried = harness.Wire.RequestID + ": " + id + "\r\n"
	}
	expected := request.Header.Get(harness.Wire.Expect)
	switch {
	case request.URL.Path == "/health":
		return framed(conn, http.StatusOK, harness.Wire.Instance+": "+w.id+"\r\n", "")
	case expected != "" && expected != w.id:
		return framed(conn, http.StatusMisdirectedRequest, carried+harness.Wire.Instance+": "+w.id+"\r\n", "")
	case strings.HasPrefix(request.URL.Path, "/v1/"):
		status, answer := w.answerCall(request, body)
		return framed(conn, status, carried+jsonHeader, answer)
	}
	notRun := carried + harness.Wire.NotExecuted + ": 1\r\n"
	reads := request.Header.Get(harness.Wire.Stage) != ""
	switch stage, changing := w.stageNow(); {
	case changing:
		return framed(conn, http.StatusServiceUnavailable, notRun, "")
	case w.stage != "" && reads != (stage != "decode"):
		return framed(conn, http.StatusMisdirectedRequest, carried, "")
	}
	if source := request.Header.Get(harness.Wire.Source); source != "" && !takeHandle(source) {
		return framed(conn, http.StatusServiceUnavailable, notRun, "")
	}
	deadline := time.Now().Add(time.Hour)
	if millis, err := strconv.ParseFloat(request.Header.Get(harness.Wire.Deadline), 64); err == nil {
		deadline = time.Now().Add(time.Duration(millis * float64(time.Millisecond)))
	}
	if !w.begin(deadline) {
		return framed(conn, http.StatusServiceUnavailable, notRun, "")
	}
	defer w.done()
	if reads {
		time.Sleep(w.work)
		answer, _ := json.Marshal(map[string]any{"kvHandle": w.keepHandle(id), "tokens": 300, "version": 1})
		return framed(conn, http.StatusOK, carried+jsonHeader, string(answer))
	}
	w.note("runs %s", id)
	if left := time.Until(deadline); left < w.work {
		time.Sleep(left)
		w.note("stops at the deadline of %s", id)
		return framed(conn, http.StatusGatewayTimeout, carried+harness.Wire.Signature+": "+harness.Signature(id)+"\r\n", "")
	}
	time.Sleep(w.work)
	pieces := harness.Pieces(id, w.bytes, w.events)
	header := carried + harness.Wire.Signature + ": " + harness.Signature(id) + "\r\n"
	if w.events > 0 {
		header += "Content-Type: text/event-stream\r\n"
	}
	if !w.unframed {
		return w.sendChunked(conn, id, header, pieces)
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", header); err != nil {
		return false
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(w.send)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			w.note("dropped %s", id)
			return false
		}
		w.note("sent %s piece %d of %d", id, i+1, len(pieces))
	}
	w.note("whole %s", id)
	return false
}

// sendChunked sends an answer in chunks.
func (w *worker) sendChunked(conn net.Conn, id, header string, pieces []string) bool {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", header); err != nil {
		return false
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(w.send)
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			w.note("dropped %s", id)
			return false
		}
	}
	w.note("whole %s", id)
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// stageNow returns the stage of an engine, and whether it changes it.
func (w *worker) stageNow() (stage string, changing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current, w.changing
}

// answerCall answers a call to the engines' own interface.
func (w *worker) answerCall(request *http.Request, body []byte) (int, string) {
	encode := func(value map[string]any) string {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	path := request.URL.Path
	w.note("call %s %s", request.Method, path)
	switch {
	case path == harness.Wire.ReportPath:
		return http.StatusOK, encode(map[string]any{
			"stage": w.current, "models": []any{}, "busy": w.changing, "seqNo": w.orders, "queued": max(w.taken-w.slots, 0), "running": min(w.taken, w.slots),
			"kvUsed": 0, "kvTotal": 400000, "kvHandles": len(w.handles),
		})
	case path == harness.Wire.OrderPath:
		return w.order(body), "{}"
	case path == "/v1/kv-events":
		return http.StatusOK, encode(map[string]any{"epoch": 1, "nextToken": 0, "lost": false, "events": []any{}})
	case path == "/v1/kv-list":
		return http.StatusOK, encode(map[string]any{"epoch": 1, "nextToken": 0, "held": []any{}})
	case strings.HasPrefix(path, harness.Wire.HandlePath):
		handle := strings.TrimPrefix(path, harness.Wire.HandlePath)
		if !w.handles[handle] {
			return http.StatusNotFound, "{}"
		}
		delete(w.handles, handle)
		return http.StatusOK, "{}"
	default:
		return http.StatusNotFound, "{}"
	}
}

// order takes an order to change the stage and returns the status of the answer. The mutex is held.
func (w *worker) order(body []byte) int {
	var order struct {
		Op, Stage, Holder string
		Fence             int64
		Expected          *int
	}
	switch err := json.Unmarshal(body, &order); {
	case err != nil || order.Op != "stage" || order.Holder == "" || order.Fence == 0 || (order.Stage != "prefill" && order.Stage != "decode"):
		return http.StatusBadRequest
	case w.changing || (order.Expected != nil && *order.Expected != w.orders):
		return http.StatusConflict
	case order.Stage == w.current:
		return http.StatusOK
	}
	w.orders++
	w.changing = true
	w.note("changes to %s", order.Stage)
	time.AfterFunc(reconfigTime, func() {
		w.mu.Lock()
		w.current, w.changing = order.Stage, false
		w.mu.Unlock()
		w.register()
	})
	return http.StatusAccepted
}

// keepHandle keeps the prompt of a request and returns its handle.
func (w *worker) keepHandle(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	handle := fmt.Sprintf("%s-%s-%d", w.id, id, time.Now().UnixNano())
	w.handles[handle] = true
	return handle
}

// takeHandle takes a prompt from the engine that has read it, IP:PORT/HANDLE.
func takeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	request, err := http.NewRequest(http.MethodDelete, "http://"+address+harness.Wire.HandlePath+handle, http.NoBody)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// begin waits for a slot, and reports whether there was one, or room to wait for it, before the deadline of the request.
func (w *worker) begin(deadline time.Time) bool {
	w.mu.Lock()
	if w.taken >= w.slots+w.queue {
		w.mu.Unlock()
		return false
	}
	w.taken++
	w.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case w.running <- struct{}{}:
		return true
	case <-timer.C:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.taken--
		return false
	}
}

// done frees a slot.
func (w *worker) done() {
	<-w.running
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken--
}
