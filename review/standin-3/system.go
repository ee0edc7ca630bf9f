package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// system is a small deployment: a store in this process, gateways and workers as processes, and a proxy on each path of a gateway to a worker.
type system struct {
	program, gateway, directory string
	record                      *recorder
	store                       *fleet.Store
	machine                     machine

	mu        sync.Mutex
	processes []*process
	proxies   map[string]*netproxy.Proxy
	putURL    string
	// paged serves the store in place of the plain one; nil if it isn't.
	paged *pagedStore
	// runs are the runs that workers told of, in order.
	runs []run
}

// machine is what the settings of a gateway say of its machine, and the bounds of its deployment.
type machine struct {
	cores                                          float64
	memoryMB, descriptors, linkMbps                int
	configurationMs, drainMs, contactMs, allowance int
}

// largeMachine is the machine of the cases that don't name another one.
var largeMachine = machine{cores: 0.8, memoryMB: 536, descriptors: 4100, linkMbps: 200, configurationMs: 3000, drainMs: 3000, contactMs: 4000, allowance: 204}

// run is a run that a worker began.
type run struct {
	request, worker string
	at              time.Time
}

// noteRun notes a line of a worker that tells of a run.
func (s *system) noteRun(line string) {
	var r run
	if n, _ := fmt.Sscanf(line, "run %s at %s", &r.request, &r.worker); n == 2 {
		r.at = time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs = append(s.runs, r)
	}
}

// busiest returns the worker with most of the runs that a gateway has sent within a time.
func (s *system) busiest(gateway string, within time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, most := map[string]int{}, ""
	for _, r := range s.runs {
		if strings.HasSuffix(r.request, gateway) && time.Since(r.at) < within {
			if counts[r.worker]++; counts[r.worker] > counts[most] {
				most = r.worker
			}
		}
	}
	return most
}

// longestRun is the time after which a run is given up.
const longestRun = 115 * time.Second

// process is a process that was started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// recorder writes the record of a run. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line.
func (r *recorder) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// newSystem starts the store.
func newSystem(gateway, record string) (*system, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &system{
		program: program, gateway: gateway, directory: directory, record: &recorder{file: file, start: time.Now()}, store: fleet.NewStore(),
		proxies: map[string]*netproxy.Proxy{}, machine: largeMachine,
	}
	s.putURL, err = serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var entry object
		if json.NewDecoder(request.Body).Decode(&entry) == nil {
			s.store.Put(strings.TrimPrefix(request.URL.Path, "/standin/put/"), entry)
		}
	}))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		s.end()
		os.Exit(2)
	}()
	return s, err
}

// serve serves a handler on a free port and returns its URL.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return "http://" + listener.Addr().String(), nil
}

// Ports are taken from below those that the kernel gives to connections.
const firstPort, portCount = 12000, 18000

var (
	portsMu    sync.Mutex
	takenPorts = map[int]bool{}
)

// freeAddress returns an address with a port that is free for TCP and UDP, and not the same twice.
func freeAddress() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if takenPorts[port] || !isFree(address) {
			continue
		}
		takenPorts[port] = true
		return address
	}
}

// isFree reports whether nothing listens at an address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	defer packets.Close()
	return true
}

// starts run one after the other on a thread that lasts as long as this process: Linux sends the signal of Pdeathsig when the thread that started the
// child ends.
var starts = func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
}()

// start starts a process, which ends with this one at the latest, and records its output.
func (s *system) start(name string, environment []string, log io.Writer, program string, arguments ...string) (*process, error) {
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	p := &process{command: command, done: make(chan struct{})}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if log == nil {
				s.noteRun(lines.Text())
				s.record.add("%s: %s", name, lines.Text())
				continue
			}
			_, _ = fmt.Fprintln(log, lines.Text())
		}
		_ = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// end ends all processes.
func (s *system) end() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	_ = os.RemoveAll(s.directory)
}

// proxy returns the proxy on the path of a gateway to a worker.
func (s *system) proxy(gateway, address string) *netproxy.Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := gateway + " " + address
	if s.proxies[key] == nil {
		proxy, err := netproxy.New(address)
		if err != nil {
			panic(err)
		}
		s.proxies[key] = proxy
	}
	return s.proxies[key]
}

// storeOf serves the store as a gateway sees it, with the addresses of its own paths to the workers.
func (s *system) storeOf(gateway string) (string, error) {
	if s.paged != nil {
		url, err := serve(s.paged.handler(gateway, s.record))
		return strings.TrimPrefix(url, "http://"), err
	}
	url, err := serve(s.store.View(func(key string, value []byte) []byte {
		var entry object
		if !strings.HasPrefix(key, names["workers"]) || json.Unmarshal(value, &entry) != nil {
			return value
		}
		address, _ := entry["address"].(string)
		entry["address"] = s.proxy(gateway, address).Address()
		rewritten, err := json.Marshal(entry)
		if err != nil {
			return value
		}
		return rewritten
	}))
	return strings.TrimPrefix(url, "http://"), err
}

// gatewayAddresses are the addresses of a gateway.
type gatewayAddresses struct{ name, callers, ready, directory, control, peers, admin string }

// newAddresses returns free addresses for a gateway.
func newAddresses(name string) gatewayAddresses {
	return gatewayAddresses{name, freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()}
}

// startGateway starts a gateway with settings as deploy/gateway.yaml has them, and waits until it is ready.
func (s *system) startGateway(a gatewayAddresses, seeds []string) (*process, error) {
	store, err := s.storeOf(a.name)
	if err != nil {
		return nil, err
	}
	quoted, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	m := s.machine
	settings := fmt.Sprintf(`name: %q
zone: zone-a
cores: %g
linkMbps: %d
descriptors: %d
memoryMb: %d
listen:
  callers: %q
  ready: %q
  directory: %q
  control: %q
  peers: %q
  admin: %q
seeds: %s
firstStart: true
store: %q
timings:
  grace: "8s"
  maximumAddressTTL: "5s"
  lease: "3000ms"
  minimumLease: "1000ms"
  configuration: "%dms"
  drain: "%dms"
  contact: "%dms"
  thaw: "300ms"
retries:
  ratio: 0.2
  allowance: %d
  window: "10s"
`, a.name, m.cores, m.linkMbps, m.descriptors, m.memoryMB, a.callers, a.ready, a.directory, a.control, a.peers, a.admin, quoted, store, m.configurationMs, m.drainMs, m.contactMs, m.allowance)
	path := filepath.Join(s.directory, a.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.directory, a.name+".log"))
	if err != nil {
		return nil, err
	}
	p, err := s.start(a.name, []string{"GRANITEBAY_CONFIG=" + path}, log, s.gateway)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + a.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return p, nil
		}
	}
	return nil, fmt.Errorf("gateway %s isn't ready", a.name)
}
