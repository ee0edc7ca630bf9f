package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	sendLateBytes(request)
	if id := request.Header.Get("Request-Id"); id != "" {
		writer.Header().Set("Request-Id", id)
	}
	if w.announcesLeaving() {
		writer.Header().Set("Server-Leaving", "1")
	}
	switch request.URL.Path {
	case "/v1/report":
		// Reports are answered regardless of the expected instance.
		w.writeReport(writer)
		return
	case healthPath:
		writer.Header().Set("Instance-Id", w.options.ID)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.options.ID {
		writer.Header().Set("Instance-Id", w.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/v1/kv-events":
		w.writeCacheEvents(writer)
	case request.URL.Path == "/v1/order":
		w.handleOrder(writer, request)
	case strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		w.consumeHandle(strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"))
	default:
		w.serveRequest(writer, request)
	}
}

// announcesLeaving reports whether responses announce that the worker is leaving.
func (w *Worker) announcesLeaving() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaving
}

// announcedLimit returns the announced limit, or zero.
func (w *Worker) announcedLimit() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.limit
}

// currentRetryAfter returns the Retry-After time of refusals, or zero if the worker is not shedding.
func (w *Worker) currentRetryAfter() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Now().After(w.shedUntil) {
		return 0
	}
	return w.retryAfter
}

// writeReport writes the state of the worker.
func (w *Worker) writeReport(writer http.ResponseWriter) {
	w.mutex.Lock()
	report := jsonObject{"stage": w.stage, "busy": w.changingStage, "seqNo": w.orderCount, "running": w.busy}
	if w.born > 0 {
		report["born"] = w.born
	}
	w.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(report)
}

// writeCacheEvents writes the cached prompt segments as cache events, the most recently used ones last.
func (w *Worker) writeCacheEvents(writer http.ResponseWriter) {
	if w.model == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	events := [][]any{}
	for number, segment := range w.model.cachedSegments() {
		events = append(events, []any{number + 1, "+", "", segment.id, segment.tokens, ""})
	}
	answer := jsonObject{"epoch": 1, "nextToken": len(events), "lost": false, "events": events}
	_ = json.NewEncoder(writer).Encode(answer)
}

// LongBody and LongerBody are markers: a request whose body contains one takes LongWork or LongerWork in total.
const (
	LongBody   = "takes long"
	LongWork   = 1200 * time.Millisecond
	LongerBody = "takes longer"
	LongerWork = 3 * time.Second
)

// markedWork returns how long a request with a body takes in total, or false if the body has no marker.
func markedWork(body []byte) (time.Duration, bool) {
	switch {
	case bytes.Contains(body, []byte(LongerBody)):
		return LongerWork, true
	case bytes.Contains(body, []byte(LongBody)):
		return LongWork, true
	default:
		return 0, false
	}
}

// serveRequest handles a prefill request or a run.
func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	w.fleet.recordHeaders(Head{ID: id, Tenant: request.Header.Get("Tenant"), Key: request.Header.Get("Api-Key")})
	w.fleet.recordArrival(Arrival{ID: id, Service: w.options.Service, Worker: w.options.ID, Born: w.born, Reading: request.Header.Get("Stage") != "", At: time.Now()})
	if limit := w.announcedLimit(); limit > 0 {
		w.fleet.recordNotice(Notice{ID: id, Worker: w.options.ID, Born: w.born, Limit: limit, At: time.Now()})
		writer.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if retryAfter := w.currentRetryAfter(); retryAfter > 0 {
		w.fleet.recordNotice(Notice{ID: id, Worker: w.options.ID, Born: w.born, Rest: retryAfter, At: time.Now()})
		writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		w.refuse(writer, request)
		return
	}
	if w.announcesLeaving() {
		w.fleet.recordNotice(Notice{ID: id, Worker: w.options.ID, Born: w.born, Leaving: true, At: time.Now()})
	}
	w.mutex.Lock()
	w.requestCount++
	shed := w.fault == WorkerSheds && w.requestCount%shedAcceptsOneIn != 0 || w.fault == WorkerShedsSome && w.requestCount%shedRefusesOneIn == 0
	full := w.busy >= w.options.Slots || w.changingStage || w.fault == WorkerFull || shed
	fault := w.fault
	stage := w.stage
	if !full {
		w.busy++
	}
	w.mutex.Unlock()
	if full {
		w.refuse(writer, request)
		return
	}
	endWork := w.fleet.beginWork(id, w.options.ID)
	defer func() {
		endWork()
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.busy--
	}()
	requestedStage := request.Header.Get("Stage")
	switch {
	case fault == WorkerMute:
		<-request.Context().Done()
	case requestedStage == "prefill" && stage == "prefill":
		w.servePrefill(writer, request, id, fault)
	case requestedStage == "prefill" || stage == "prefill":
		writer.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.serveRun(writer, request, id, body, fault)
	}
}

// servePrefill processes the prompt and returns a KV handle.
func (w *Worker) servePrefill(writer http.ResponseWriter, request *http.Request, id string, fault WorkerFault) {
	tokens, _, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	if w.model != nil && !w.prefillPrompt(request, 1) {
		return
	}
	w.mutex.Lock()
	w.nextID++
	handle := fmt.Sprint(w.options.ID, "-h", w.nextID)
	w.handles[handle] = fault != WorkerExpiresHandles
	w.mutex.Unlock()
	count, _ := strconv.Atoi(tokens)
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(jsonObject{"kvHandle": handle, "tokens": count, "version": 1})
}

// serveRun runs a request.
func (w *Worker) serveRun(writer http.ResponseWriter, request *http.Request, id string, body []byte, fault WorkerFault) {
	source := request.Header.Get("Kv-Source")
	continued := source == w.address+"/"+id
	if continued && !w.takeCopy(id) || source != "" && !continued && !w.fleet.consumeHandle(source) {
		w.refuse(writer, request)
		return
	}
	if w.model != nil {
		defer w.model.beginRun()()
		if !w.obtainPrompt(request) {
			return
		}
	}
	resumed := request.Header.Get("Last-Event-Id")
	w.fleet.recordRun(id, Run{Worker: w.options.ID, Version: w.Version(), Resumed: resumed, Continued: continued, Begun: time.Now()})
	crashPoint, crashes := w.crashPointOf(request, body)
	if crashes && crashPoint == CrashBeforeFirstEvent {
		w.crashOn(id)
		panic(http.ErrAbortHandler)
	}
	// The first event of a stream is sent without the delay of a long request.
	firstDelay, stepDelay := w.options.Work, w.options.Work
	if work, isLong := markedWork(body); isLong {
		stepDelay = work / time.Duration(max(w.options.Events, 1))
	}
	if w.options.Stage == "" {
		firstDelay = stepDelay
	}
	if !waitFor(firstDelay, request.Context().Done()) {
		return
	}
	controller := http.NewResponseController(writer)
	if fault == WorkerResets {
		if connection, _, err := controller.Hijack(); err == nil {
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
		return
	}
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Response-Signature", "s."+id)
	if fault == WorkerErrors {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if w.model != nil && request.URL.Path == completionsPath {
		w.serveCompletion(writer, request, id, body, fault)
		return
	}
	if w.options.Stage == "" {
		answer := PlainAnswer(id, body)
		if w.isUnframed() && fault != WorkerCuts {
			w.writeUnframed(writer, request, id, answer)
			return
		}
		writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		if fault == WorkerCuts {
			answer = answer[:len(answer)/2]
		}
		_, _ = io.WriteString(writer, answer)
		return
	}
	if crashes {
		w.crashInStream(writer, request, id, stepDelay, fault, crashPoint)
	}
	w.writeStream(writer, request, id, stepDelay, fault, w.options.Events)
}

// crashInStream writes the first event of a stream and crashes the worker. It does not return.
func (w *Worker) crashInStream(writer http.ResponseWriter, request *http.Request, id string, step time.Duration, fault WorkerFault, point CrashPoint) {
	if point == CrashWithWholeEnd {
		setUnframed(writer)
	}
	w.writeStream(writer, request, id, step, fault, 1)
	w.crashOn(id)
	// The response must not end as a whole one does.
	panic(http.ErrAbortHandler)
}

// writeStream writes up to maxEvents events after the last one that the client has received, at intervals of stepDelay.
func (w *Worker) writeStream(writer http.ResponseWriter, request *http.Request, id string, step time.Duration, fault WorkerFault, maxEvents int) {
	controller := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	unframed := w.isUnframed() && fault != WorkerCuts
	if unframed {
		setUnframed(writer)
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := after + 1; number <= min(w.options.Events, after+maxEvents); number++ {
		if fault == WorkerCuts && number > after+1 {
			_, _ = io.WriteString(writer, "id: "+strconv.Itoa(number)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == WorkerStalls && number > after+eventsBeforeStall {
			<-request.Context().Done()
			return
		}
		_, _ = io.WriteString(writer, w.signature()+Event(id, number))
		_ = controller.Flush()
		w.sendCopy(request, id, number)
		if !waitFor(step, request.Context().Done()) {
			if unframed && number < w.options.Events {
				w.recordCut(id)
			}
			return
		}
	}
}

// eventsBeforeStall is the number of events that WorkerStalls sends.
const eventsBeforeStall = 5

// sendCopy sends the state of a run after an event to the worker that the request names as its backup, if any. The copy of a run that has
// ended is dropped.
func (w *Worker) sendCopy(request *http.Request, id string, number int) {
	backup := w.fleet.worker(request.Header.Get("Kv-Backup"))
	if backup == nil {
		return
	}
	backup.mutex.Lock()
	defer backup.mutex.Unlock()
	if backup.keepsNoCopies {
		return
	}
	backup.copies[id] = number
	if number == w.options.Events {
		delete(backup.copies, id)
	}
}

// takeCopy removes the copy of a run and reports whether there was one.
func (w *Worker) takeCopy(id string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, found := w.copies[id]
	delete(w.copies, id)
	return found
}

// PlainAnswer returns the answer of a plain worker to a request.
func PlainAnswer(id string, body []byte) string { return "answer to " + id + " of " + string(body) }

// Event returns one event of an engine's answer.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", number, id, number)
}
