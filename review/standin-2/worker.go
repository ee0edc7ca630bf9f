package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// worker is a plain worker as the users' pages describe it: it works on a number of requests at once, refuses further ones as not executed, drops a
// request whose connection closes, and tells its id at the health path. The query of a request says how long its work takes.
type worker struct {
	id    string
	slots int32
	busy  atomic.Int32
	// out receives a line for each run that begins.
	out io.Writer
}

// runWorker serves as a worker until the process ends. It prints its address first.
func runWorker(id string, slots int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "listening %s\n", listener.Addr())
	w := &worker{id: id, slots: int32(slots), out: os.Stdout}
	server := &http.Server{Handler: w}
	return server.Serve(listener)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Keep-Alive", "timeout=10")
	if request.URL.Path == healthPath {
		header.Set(wire.Instance, w.id)
		return
	}
	id := request.Header.Get(wire.RequestID)
	if id != "" {
		header.Set(wire.RequestID, id)
	}
	if expected := request.Header.Get(wire.Expect); expected != "" && expected != w.id {
		header.Set(wire.Instance, w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set(wire.NotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if w.busy.Add(1) > w.slots {
		w.busy.Add(-1)
		header.Set(wire.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.busy.Add(-1)
	fmt.Fprintf(w.out, "run %s\n", id)
	work, err := strconv.Atoi(request.URL.Query().Get("ms"))
	if err != nil {
		work = 10
	}
	end := time.Duration(work) * time.Millisecond
	limit, err := strconv.Atoi(request.Header.Get(wire.Deadline))
	isLate := err == nil && time.Duration(limit)*time.Millisecond < end
	if isLate {
		end = time.Duration(limit) * time.Millisecond
	}
	select {
	case <-time.After(end):
	case <-request.Context().Done():
		return
	}
	header.Set(wire.Signature, w.id+"."+id)
	if isLate {
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	fmt.Fprintf(writer, "answer to %s of %d bytes", id, len(body))
}
