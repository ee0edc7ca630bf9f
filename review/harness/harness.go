// Package harness starts a small deployment as separate processes for the cases of the review: gateways with the command and the settings of the
// deploy file, and the stand-ins of the store and the workers.
package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld    = 0
	ExitBroken  = 1
	ExitNotRun  = 2
	gatewayPath = "target/granitebay-gateway"
	standinPath = "target/review/standin"
)

// Pieces returns the parts in which a worker sends the answer to a request: two halves of a body, or its events.
func Pieces(id string, size, events int) []string {
	if events > 0 {
		pieces := make([]string, events)
		for i := range pieces {
			pieces[i] = fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i+1, id, i+1)
		}
		return pieces
	}
	digest := sha256.Sum256([]byte(id))
	body := strings.Repeat(hex.EncodeToString(digest[:]), size/64+1)[:size]
	return []string{body[:size/2], body[size/2:]}
}

// Signature returns the signature of a worker's answer to a request.
func Signature(id string) string {
	digest := sha256.Sum256([]byte("signature " + id))
	return hex.EncodeToString(digest[:8])
}

// Process is a process that the case has started.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// Deployment is a running small deployment.
type Deployment struct {
	Directory string
	Store     string
	Control   string
	Gateways  []*Gateway

	record    *os.File
	start     time.Time
	mu        sync.Mutex
	processes []*Process
	// taken are the ports that were handed out.
	taken map[int]bool
}

// Gateway is a gateway process with its addresses.
type Gateway struct {
	Process                           *Process
	Name, Callers, Ready, settingFile string
}

// starts are run one after the other on a thread that lasts as long as this program. Linux ends a process with Pdeathsig when the thread that started it
// ends, so all processes end with the program, whatever ends that.
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

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New prepares a deployment that writes its record to a file.
func New(recordPath string) (*Deployment, error) {
	for _, path := range []string{gatewayPath, standinPath} {
		if _, err := os.Stat(path); err != nil {
			return nil, fmt.Errorf("build first (deploy/system.toml, review/build.sh): %w", err)
		}
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Directory: directory, record: record, start: time.Now(), taken: map[int]bool{}}
	go d.closeEarly()
	return d, nil
}

// maxDuration is how long a case may take, below the 120 s that it is given.
const maxDuration = 112 * time.Second

// closeEarly ends the case as one that couldn't run when it is stopped, when its script has ended, or when it takes too long.
func (d *Deployment) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	timeout, parent := time.After(maxDuration), os.Getppid()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for isOver := false; !isOver; {
		select {
		case <-signals:
			isOver = true
		case <-timeout:
			isOver = true
		case <-ticker.C:
			isOver = os.Getppid() != parent
		}
	}
	d.Close()
	os.Exit(ExitNotRun)
}

// Note writes a line to the record.
func (d *Deployment) Note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%9.3f %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, values...))
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, process := range processes {
		process.Kill()
	}
	_ = os.RemoveAll(d.Directory)
	_ = d.record.Close()
}

// Address returns a free loopback address.
func (d *Deployment) Address() (string, error) {
	for {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if !d.taken[port] {
			d.taken[port] = true
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
}

// Start starts a process. Its output goes to a file in the temporary folder.
func (d *Deployment) Start(name string, environment []string, path string, arguments ...string) (*Process, error) {
	output, err := os.OpenFile(filepath.Join(d.Directory, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, arguments...)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	_ = output.Close()
	process := &Process{Name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(process.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, process)
	return process, nil
}

// StartStore starts the store.
func (d *Deployment) StartStore() error {
	var err error
	if d.Store, err = d.Address(); err != nil {
		return err
	}
	if d.Control, err = d.Address(); err != nil {
		return err
	}
	if _, err := d.Start("store", nil, standinPath, "store", "--listen", d.Store, "--control", d.Control); err != nil {
		return err
	}
	return Eventually("the store answers", func() bool {
		response, err := http.Get("http://" + d.Store + "/v1/kv-range?" + Wire.KeyPrefixQuery + "=x")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Put writes an item as the operator.
func (d *Deployment) Put(key string, value []byte) error {
	response, err := http.Post("http://"+d.Control+"/put?key="+url.QueryEscape(key), "application/json", bytes.NewReader(value))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// StartWorker starts a worker with the given flags at an address, and waits until it serves there.
func (d *Deployment) StartWorker(id, address string, arguments ...string) (*Process, error) {
	arguments = append([]string{
		"worker", "--id", id, "--listen", address, "--control", d.Control, "--log", filepath.Join(d.Directory, "runs.log"),
	}, arguments...)
	process, err := d.Start("worker", nil, standinPath, arguments...)
	if err != nil {
		return nil, err
	}
	return process, Eventually("worker "+id+" serves", func() bool {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + address + "/health")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.Header.Get(Wire.Instance) == id
	})
}

// Runs returns the lines that the workers have logged.
func (d *Deployment) Runs() []string {
	content, err := os.ReadFile(filepath.Join(d.Directory, "runs.log"))
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(content)), "\n")
}

// settings is deploy/gateway.yaml with the gaps filled for a small deployment: bounds are those of mpc-dispatch.
const settings = `name: %q
zone: %q
cores: 0.4
linkMbps: 1000
descriptors: 4100
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
  configuration: "2000ms"
  drain: "2000ms"
  contact: "3000ms"
  thaw: "300ms"
retries:
  ratio: 0.2
  allowance: 58
  window: "10s"
`

// StartGateways starts gateways, one in each zone, and waits until all are ready.
func (d *Deployment) StartGateways(zones ...string) error {
	type addresses [6]string
	all := make([]addresses, len(zones))
	var seeds []string
	for i := range all {
		for port := range all[i] {
			var err error
			if all[i][port], err = d.Address(); err != nil {
				return err
			}
		}
		seeds = append(seeds, all[i][3])
	}
	encodedSeeds, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		at := all[i]
		gateway := &Gateway{Name: fmt.Sprintf("front-%s-1", zone), Callers: at[0], Ready: at[1]}
		gateway.settingFile = filepath.Join(d.Directory, gateway.Name+".yaml")
		content := fmt.Sprintf(settings, gateway.Name, zone, at[0], at[1], at[2], at[3], at[4], at[5], encodedSeeds, d.Store)
		if err := os.WriteFile(gateway.settingFile, []byte(content), 0o644); err != nil {
			return err
		}
		if err := d.StartGateway(gateway); err != nil {
			return err
		}
		d.Gateways = append(d.Gateways, gateway)
	}
	for _, gateway := range d.Gateways {
		if err := Eventually(gateway.Name+" is ready", gateway.IsReady); err != nil {
			return err
		}
	}
	return nil
}

// StartGateway starts the process of a gateway, also anew.
func (d *Deployment) StartGateway(gateway *Gateway) error {
	process, err := d.Start(gateway.Name, []string{"GRANITEBAY_CONFIG=" + gateway.settingFile}, gatewayPath)
	gateway.Process = process
	return err
}

// IsReady asks the readiness endpoint.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Eventually waits up to 15 s for a condition.
func Eventually(what string, condition func() bool) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("waited in vain until %s", what)
}

// Answer is what a client received for a request.
type Answer struct {
	ID      string
	Status  int
	Header  http.Header
	Body    []byte
	BodyErr error
	Err     error
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("request %s: no answer: %v", a.ID, a.Err)
	}
	end := "complete"
	if a.BodyErr != nil {
		end = "cut: " + a.BodyErr.Error()
	}
	return fmt.Sprintf("request %s: status %d, signature %q, %d bytes, %s", a.ID, a.Status, a.Header.Get(Wire.Signature), len(a.Body), end)
}

// Send sends a request to a gateway and reads the answer to its end.
func Send(client *http.Client, address, method, path, id string, header map[string]string, body string) Answer {
	answer := Answer{ID: id}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = "shop.example"
	request.Header.Set(Wire.RequestID, id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer response.Body.Close()
	answer.Status, answer.Header = response.StatusCode, response.Header
	answer.Body, answer.BodyErr = io.ReadAll(response.Body)
	return answer
}
