package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

const (
	healthPath = "/health"
	service    = "app"
	host       = "case.example"
	// heartbeat is how often workers write to the store. The entry of one that is silent goes after three.
	heartbeat = 1200 * time.Millisecond
)

// platform is the store, and the workers with their entries in it.
type platform struct {
	store  *fleet.Store
	server *http.Server
	// address is that of the store.
	address string
	record  *record

	mu      sync.Mutex
	places  []*place
	stopped bool

	// failed is set once a worker could not be started.
	failed atomic.Bool
}

// place is where one worker process runs at a time.
type place struct {
	number  int
	starts  int
	id      string
	command *exec.Cmd
}

// startPlatform starts the store.
func startPlatform(record *record) (*platform, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{store: fleet.NewStore(), address: listener.Addr().String(), record: record}
	p.server = &http.Server{Handler: p.store}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// startWorkers starts a number of workers.
func (p *platform) startWorkers(count, slots int) error {
	for number := range count {
		at := &place{number: number}
		p.places = append(p.places, at)
		if err := p.start(at, slots); err != nil {
			return err
		}
	}
	return nil
}

// start starts a worker process at a place, and registers it under a new id.
func (p *platform) start(at *place, slots int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	at.starts++
	at.id = fmt.Sprintf("i-%d-%d", at.number+1, at.starts)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	at.command = exec.Command(program, "worker", at.id, fmt.Sprint(slots))
	output, err := at.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := startProcess(at.command); err != nil {
		return err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return fmt.Errorf("worker %s said nothing", at.id)
	}
	address := strings.TrimPrefix(lines.Text(), "listening ")
	id := at.id
	go func() {
		for lines.Scan() {
			p.record.run(id, strings.TrimPrefix(lines.Text(), "run "))
		}
	}()
	p.store.Put(wire.WorkerKeys+id, map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seqNo": 0,
	})
	p.record.note("worker %s starts at %s", id, address)
	return nil
}

// crash kills the worker at a place, and starts another incarnation there after a time. The entry of the killed one goes after three heartbeats.
func (p *platform) crash(number, slots int, down time.Duration) {
	at := p.places[number]
	p.mu.Lock()
	id, command := at.id, at.command
	p.mu.Unlock()
	p.record.note("worker %s is killed", id)
	_ = command.Process.Kill()
	_ = command.Wait()
	time.AfterFunc(3*heartbeat, func() { p.store.Delete(wire.WorkerKeys + id) })
	time.AfterFunc(down, func() {
		if err := p.start(at, slots); err != nil {
			p.record.note("a worker could not be started: %v", err)
			p.failed.Store(true)
		}
	})
}

// stop ends all workers and the store.
func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, at := range p.places {
		if at.command != nil && at.command.Process != nil {
			_ = at.command.Process.Kill()
			_ = at.command.Wait()
		}
	}
	_ = p.server.Close()
}
