package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// gatewayProcess is a gateway that runs as a process and can be restarted.
type gatewayProcess struct {
	binary string
	// relayBuild is the binary whose settings have the time within which cut-off gateways serve; older builds refuse that setting.
	relayBuild string
	name       string
	zone       string
	folder     string
	storeProxy *netproxy.Proxy
	seeds      []string
	callers    string
	ready      string
	// directory, control and admin are further listening addresses, host:port.
	directory string
	control   string
	admin     string
	peers     string
	// controlProxy is the proxy in front of the control port.
	controlProxy *netproxy.Proxy

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	started time.Time
	// stopRequested is set once the current process was asked to exit. exits and starts are those of all processes so far.
	stopRequested bool
	exits         []ProcessExit
	starts        []ProcessStart
	// grace is the grace period of planned stops; zero for the default. stops are the planned stops with another one.
	grace time.Duration
	stops []ProcessStop
}

// newGatewayProcess returns a gateway that is not running and reaches the store through a proxy.
func newGatewayProcess(binary, name, zone, folder, store string) (*gatewayProcess, error) {
	storeProxy, err := netproxy.NewAt(processLoopback(), store)
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{binary: binary, name: name, zone: zone, folder: folder, storeProxy: storeProxy}
	for _, address := range []*string{&g.callers, &g.ready, &g.directory, &g.control, &g.admin, &g.peers} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	g.controlProxy, err = netproxy.NewAt(processLoopback(), g.control)
	return g, err
}

// assignedAddresses holds the addresses handed out, so that none is used twice.
var assignedAddresses sync.Map

// processLoopback returns a loopback address specific to this process, for its store and its proxies. It keeps gateways that others left running
// from finding a store here at a port that theirs had.
func processLoopback() string { return loopback(2) }

// gatewayLoopback returns a loopback address specific to the gateways of this process. It keeps concurrent soaks, and the store and the proxies
// of this one, from taking their ports while they restart.
func gatewayLoopback() string { return loopback(1) }

// loopback returns a loopback address of this process.
func loopback(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, number)
}

// freeAddress returns a loopback address whose port is currently free for both TCP and UDP.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp4", net.JoinHostPort(gatewayLoopback(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		address := listener.Addr().String()
		free := freeForUDP(address)
		_ = listener.Close()
		if !free {
			continue
		}
		if _, taken := assignedAddresses.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// freeForUDP reports whether the address is free for UDP, which the peers' port needs.
func freeForUDP(address string) bool {
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

// settingsFile writes the settings of the gateway and returns the path of the file.
func (g *gatewayProcess) settingsFile() (string, error) {
	settings := map[string]any{
		"name": g.name, "zone": g.zone, "seeds": g.seeds, "store": g.storeProxy.Address(),
		"listen": map[string]string{
			"callers": g.callers, "ready": g.ready, "directory": g.directory, "control": g.control, "admin": g.admin, "peers": g.peers,
		},
	}
	timings := map[string]string{}
	if g.binary == g.relayBuild {
		timings["contact"] = bypassTime.String()
	}
	if g.grace > 0 {
		timings["grace"] = g.grace.String()
	}
	settings["timings"] = timings
	content, err := yaml.Marshal(settings)
	if err != nil {
		return "", errors.Wrapf(err, "encode the settings of %s", g.name)
	}
	path := filepath.Join(g.folder, g.name+".yaml")
	return path, errors.Wrapf(os.WriteFile(path, content, 0o600), "write the settings of %s", g.name)
}

// start starts the gateway unless it is running.
func (g *gatewayProcess) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		return nil
	}
	path, err := g.settingsFile()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open the log of %s", g.name)
	}
	defer log.Close()
	command := exec.Command(g.binary, "--settings", path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", g.name)
	}
	g.starts = append(g.starts, ProcessStart{Gateway: g.callers, At: time.Now()})
	done := make(chan struct{})
	g.command, g.done, g.started, g.stopRequested = command, done, time.Now(), false
	go func() {
		err := command.Wait()
		g.mu.Lock()
		g.exits = append(g.exits, ProcessExit{Gateway: g.callers, At: time.Now(), Expected: g.stopRequested, Killed: isKilled(command), Err: err})
		g.command = nil
		g.mu.Unlock()
		close(done)
	}()
	return nil
}

// isKilled reports whether an exited process was killed by SIGKILL.
func isKilled(command *exec.Cmd) bool {
	status, known := command.ProcessState.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// signalSetupTime is the time that a started process may need to install its signal handlers.
const signalSetupTime = 500 * time.Millisecond

// reload makes the gateway reload its settings.
func (g *gatewayProcess) reload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil && time.Since(g.started) > signalSetupTime {
		_ = g.command.Process.Signal(syscall.SIGHUP)
	}
}

// exitRecords returns the exits so far.
func (g *gatewayProcess) exitRecords() []ProcessExit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.exits)
}

// startRecords returns the starts so far.
func (g *gatewayProcess) startRecords() []ProcessStart {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.starts)
}

// signal sends a signal to the process if it is running.
func (g *gatewayProcess) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		g.stopRequested = g.stopRequested || signal == syscall.SIGTERM || signal == syscall.SIGKILL
		_ = g.command.Process.Signal(signal)
	}
}

// running reports whether the process is running.
func (g *gatewayProcess) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.command != nil
}

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 10 * time.Second

// stop shuts the gateway down gracefully and waits for its exit.
func (g *gatewayProcess) stop() error {
	g.mu.Lock()
	done, runs := g.done, g.command != nil
	g.mu.Unlock()
	if !runs {
		return nil
	}
	g.recordStop()
	g.signal(syscall.SIGTERM)
	if g.grace > 0 {
		select {
		case <-done:
		case <-time.After(g.grace):
			g.kill()
		}
		return nil
	}
	select {
	case <-done:
		return nil
	case <-time.After(stopTimeout):
		g.kill()
		return errors.Newf("stop %s: process did not exit within %s", g.name, stopTimeout)
	}
}

// recordStop records that the process is about to be stopped, if its grace period is bounded.
func (g *gatewayProcess) recordStop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grace > 0 {
		g.stops = append(g.stops, ProcessStop{Gateway: g.callers, At: time.Now(), Grace: g.grace})
	}
}

// stopRecords returns the planned stops so far.
func (g *gatewayProcess) stopRecords() []ProcessStop {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.stops)
}

// kill kills the gateway and waits for its exit.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	done, runs := g.done, g.command != nil
	g.mu.Unlock()
	if runs {
		g.signal(syscall.SIGKILL)
		<-done
	}
}

// buildGateway builds the gateway binary into a directory. It has to run within the module.
func buildGateway(folder string) (string, error) {
	binary := filepath.Join(folder, "granitebay-gateway")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/granitebay/granitebay/cmd/granitebay-gateway").CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "build the gateway: %s", fmt.Sprintf("%.500s", output))
	}
	return binary, nil
}
