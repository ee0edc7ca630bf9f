package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// CrashingBody is a marker: a request whose body contains it crashes each worker that runs it.
const CrashingBody = "ends its worker"

// crashingPartPrefix begins the IDs of all crashing parts, in lower case and without leading zeros.
const crashingPartPrefix = "dead"

// CrashingPart returns the ID of a crashing part of prompts: a request with it anywhere but in the last place of its prompt crashes each worker
// that begins to answer it. Prefill calls do not.
func CrashingPart(number int) string { return fmt.Sprintf("%s%04x", crashingPartPrefix, number) }

// CrashPoint is when a request with a crashing part crashes its worker.
type CrashPoint int

// The crash points. Workers that send no events crash before their response.
const (
	CrashBeforeFirstEvent CrashPoint = iota
	CrashAfterFirstEvent
	// CrashWithWholeEnd is CrashAfterFirstEvent with a response of neither a length nor chunks, which looks whole.
	CrashWithWholeEnd
)

// Timing of a worker crash.
const (
	// crashDelay is the time from the start of the run to the crash.
	crashDelay = 30 * time.Millisecond
	// recordExpiry is how long the record of a crashed worker remains in the store: a few heartbeats.
	recordExpiry = 800 * time.Millisecond
	// restartDelay is the time until the worker restarts at the same address under a new ID.
	restartDelay = 600 * time.Millisecond
)

// Crash is a worker crash caused by a request.
type Crash struct {
	Worker string
	// ID is the ID of the request; empty for Worker.Crash.
	ID string
	At time.Time
}

// Crashes returns the crashes recorded so far, in order.
func (f *Fleet) Crashes() []Crash {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Crash(nil), f.crashes...)
}

// crashesWorker reports whether a request crashes the worker that runs it.
func crashesWorker(body []byte) bool { return bytes.Contains(body, []byte(CrashingBody)) }

// hasCrashingPart reports whether a prompt has a crashing part. The last segment belongs to the request alone and is none. A completion request
// has one if the first word of its prompt is the ID of one.
func hasCrashingPart(request *http.Request, body []byte) bool {
	if request.URL.Path == completionsPath {
		var completion completionRequest
		return json.Unmarshal(body, &completion) == nil && isCrashingPart(completion.Prompt)
	}
	segments := parsePromptSegments(request.Header.Get("Prompt-Prefix"))
	return slices.ContainsFunc(segments[:max(len(segments)-1, 0)], func(segment promptSegment) bool { return isCrashingPart(segment.id) })
}

// isCrashingPart reports whether a text begins with the ID of a crashing part, in upper or lower case, with leading zeros or without.
func isCrashingPart(text string) bool {
	return strings.HasPrefix(strings.TrimLeft(strings.ToLower(text), "0"), crashingPartPrefix)
}

// crashPointOf returns when a request crashes the worker; found is false if it does not.
func (w *Worker) crashPointOf(request *http.Request, body []byte) (point CrashPoint, found bool) {
	switch {
	case crashesWorker(body):
		return CrashBeforeFirstEvent, true
	case !hasCrashingPart(request, body):
		return 0, false
	case w.options.Stage == "" || request.URL.Path == completionsPath:
		return CrashBeforeFirstEvent, true
	default:
		return w.options.PartCrash, true
	}
}

// crashOn crashes the worker: its requests are aborted, its address refuses connections, and its record expires. The worker
// restarts after restartDelay.
func (w *Worker) crashOn(id string) {
	time.Sleep(crashDelay)
	if w.end(id) {
		time.AfterFunc(restartDelay, w.restart)
	}
}

// end ends the worker without notice, because of a request or not. It returns false if the worker has ended before.
func (w *Worker) end(id string) bool {
	w.mutex.Lock()
	crashed := w.crashed
	w.crashed = true
	w.mutex.Unlock()
	if crashed {
		return false
	}
	w.fleet.recordCrash(Crash{Worker: w.options.ID, ID: id, At: time.Now()})
	w.fleet.setDown(w.address, true)
	_ = w.server.Close()
	time.AfterFunc(recordExpiry, func() { w.fleet.Store.Delete("servers/" + w.options.ID) })
	return true
}

// Crash crashes the worker as a request with CrashingBody does, and returns once it has crashed.
func (w *Worker) Crash() { w.crashOn("") }

// Kill ends the worker at once, as the kernel ends a killed process: its open connections end in the ordinary way. It stays down until
// Restart. Kill returns false if the worker has ended before.
func (w *Worker) Kill() bool { return w.end("") }

// Restart starts a killed worker again under a new ID, unless it was stopped.
func (w *Worker) Restart() { w.restart() }

// restart starts the worker again under a new ID, unless it was stopped.
func (w *Worker) restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	listener, err := net.Listen("tcp4", w.listenAddress)
	if err != nil {
		// Another process has taken the port: the worker stays down.
		return
	}
	options := w.options
	options.ID += "'"
	options.Stage, options.Unframed = w.stage, w.unframed
	w.successor = w.fleet.startOn(options, listener, w.address)
}

// RestartAs ends the worker without notice and starts it again at once under the same ID with another software version. Its record changes
// after RecordLag. It does nothing if the worker has crashed or was stopped.
func (w *Worker) RestartAs(version string) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.crashed || w.stopped || w.replaced {
		return nil
	}
	listener, err := duplicate(w.listener)
	if err != nil {
		return err
	}
	w.crashed, w.replaced = true, true
	_ = w.server.Close()
	options := w.options
	options.Stage, options.Version, options.Unframed = w.stage, version, w.unframed
	w.successor = w.fleet.startOn(options, listener, w.address)
	return nil
}

// duplicate returns another listener on the socket of a TCP listener. The socket stays open when the first one is closed, so that nobody else
// takes its port.
func duplicate(listener net.Listener) (net.Listener, error) {
	withFile, ok := listener.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.Newf("duplicate a %T: not supported", listener)
	}
	file, err := withFile.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return net.FileListener(file)
}

// Latest returns the current incarnation of the worker: itself, or the last restarted one.
func (w *Worker) Latest() *Worker {
	w.mutex.Lock()
	next := w.successor
	w.mutex.Unlock()
	if next == nil {
		return w
	}
	return next.Latest()
}

// recordCrash records a crash.
func (f *Fleet) recordCrash(crash Crash) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashes = append(f.crashes, crash)
}

// startOn starts a worker on a listener and registers it.
func (f *Fleet) startOn(options WorkerOptions, listener net.Listener, address string) *Worker {
	worker := &Worker{
		options: options, fleet: f, address: address, listener: listener, listenAddress: listener.Addr().String(), stage: options.Stage, handles: map[string]bool{},
		copies: map[string]int{}, unframed: options.Unframed,
	}
	if options.Version != "" {
		worker.born = time.Now().UnixMilli()
	}
	if options.Model != nil {
		worker.model = newEngineModel(*options.Model)
	}
	worker.server = &http.Server{Handler: worker, ConnContext: withClientConn}
	go func() { _ = worker.server.Serve(listener) }()
	f.setDown(worker.address, false)
	f.mutex.Lock()
	_, replaced := f.workers[worker.address]
	f.workers[worker.address] = worker
	f.mutex.Unlock()
	if replaced {
		worker.writeRecordDelayed()
	} else {
		worker.writeRecord()
	}
	return worker
}
