package fleet

import (
	"bytes"
	"net"
	"net/http"
	"time"
)

// CrashingBody ends each worker that begins to run a request whose body contains it.
const CrashingBody = "ends its worker"

// Times of a worker that has crashed.
const (
	// crashDelay is between the beginning of the run and the end of the worker.
	crashDelay = 30 * time.Millisecond
	// crashLapse is how long the record of a worker that has crashed stays: some heartbeats.
	recordExpiry = 800 * time.Millisecond
	// crashPause is how long a worker is away before it is back at its address, with another id.
	restartDelay = 600 * time.Millisecond
)

// Crash is the end of a worker under a request.
type Crash struct {
	Worker string
	// ID of the request that has ended it.
	ID string
	At time.Time
}

// Crashes returns the ends of workers under requests so far, in their order.
func (f *Fleet) Crashes() []Crash {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]Crash(nil), f.crashes...)
}

// endsWorker tells whether a request ends the worker that runs it.
func crashesWorker(body []byte) bool { return bytes.Contains(body, []byte(CrashingBody)) }

// crashUnder ends the worker under a request: everything that it runs breaks off, its address refuses connections, and its record
// lapses. It is back at its address after a while.
func (w *Worker) crashOn(id string) {
	time.Sleep(crashDelay)
	w.mutex.Lock()
	crashed := w.crashed
	w.crashed = true
	w.mutex.Unlock()
	if crashed {
		return
	}
	w.fleet.recordCrash(Crash{Worker: w.options.ID, ID: id, At: time.Now()})
	_ = w.server.Close()
	time.AfterFunc(recordExpiry, func() { w.fleet.Store.Delete("servers/" + w.options.ID) })
	time.AfterFunc(restartDelay, w.restart)
}

// Crash ends the worker as a request does that ends workers, and returns once it has.
func (w *Worker) Crash() { w.crashOn("") }

// comeBack starts the worker again with another id, unless the stand-in was stopped.
func (w *Worker) restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	listener, err := net.Listen("tcp4", w.listenAddress)
	if err != nil {
		// Somebody else has the port: the worker stays away.
		return
	}
	options := w.options
	options.ID += "'"
	options.Stage = w.stage
	w.successor = w.fleet.startOn(options, listener, w.address)
}

// Latest returns the life of the worker of the moment: itself, or the last one in which it came back.
func (w *Worker) Latest() *Worker {
	w.mutex.Lock()
	next := w.successor
	w.mutex.Unlock()
	if next == nil {
		return w
	}
	return next.Latest()
}

// crashed notes the end of a worker under a request.
func (f *Fleet) recordCrash(crash Crash) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashes = append(f.crashes, crash)
}

// serve adds a worker that listens already, and records it.
func (f *Fleet) startOn(options WorkerOptions, listener net.Listener, address string) *Worker {
	worker := &Worker{
		options: options, fleet: f, address: address, listenAddress: listener.Addr().String(), stage: options.Stage, handles: map[string]bool{},
	}
	if options.Model != nil {
		worker.model = newEngineModel(*options.Model)
	}
	worker.server = &http.Server{Handler: worker}
	go func() { _ = worker.server.Serve(listener) }()
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
