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

// gatewayProcess is one gateway as a process of its own, which is started anew after its end.
type gatewayProcess struct {
	binary     string
	name       string
	zone       string
	folder     string
	storeProxy *netproxy.Proxy
	seeds      []string
	callers    string
	ready      string
	// directory, control and admin are the other addresses, host:port.
	directory string
	control   string
	admin     string
	peers     string
	// controlProxy stands before the control port.
	controlProxy *netproxy.Proxy

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	started time.Time
	// asked is set once the process was asked to end, and ends are those of its lives.
	stopRequested bool
	exits         []ProcessExit
}

// newGatewayProcess prepares a gateway that reaches the store through a proxy.
func newGatewayProcess(binary, name, zone, folder, store string) (*gatewayProcess, error) {
	storeProxy, err := netproxy.New(store)
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{binary: binary, name: name, zone: zone, folder: folder, storeProxy: storeProxy}
	for _, address := range []*string{&g.callers, &g.ready, &g.directory, &g.control, &g.admin, &g.peers} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	g.controlProxy, err = netproxy.New(g.control)
	return g, err
}

// given holds the ports that were handed out, so that none is twice.
var assignedAddresses sync.Map

// ownLoopback returns a loopback address of this process: soaks beside each other must not take the ports that one of them has found
// free for gateways which it starts, and starts again, later.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// freeAddress returns an address on loopback whose port is free at the moment, for TCP and for UDP.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp4", net.JoinHostPort(processLoopback(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "step find a free port")
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

// freeForUDP tells whether no socket for datagrams has the address, as that of the peers needs it.
func freeForUDP(address string) bool {
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

// settingsFile writes the settings of the gateway and returns the path.
func (g *gatewayProcess) settingsFile() (string, error) {
	content, err := yaml.Marshal(map[string]any{
		"name": g.name, "zone": g.zone, "seeds": g.seeds, "store": g.storeProxy.Address(),
		"listen": map[string]string{
			"callers": g.callers, "ready": g.ready, "directory": g.directory, "control": g.control, "admin": g.admin, "peers": g.peers,
		},
	})
	if err != nil {
		return "", errors.Wrapf(err, "step write the settings of %s", g.name)
	}
	path := filepath.Join(g.folder, g.name+".yaml")
	return path, errors.Wrapf(os.WriteFile(path, content, 0o600), "step write the settings of %s", g.name)
}

// start runs the gateway unless it runs.
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
		return errors.Wrapf(err, "step open the log of %s", g.name)
	}
	defer log.Close()
	command := exec.Command(g.binary, "--settings", path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "step start %s", g.name)
	}
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

// isKilled tells whether a process that has ended was killed.
func isKilled(command *exec.Cmd) bool {
	status, known := command.ProcessState.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// settled is how long after its start a process has taken charge of its signals.
const signalSetupTime = 500 * time.Millisecond

// reload has the gateway read its settings again.
func (g *gatewayProcess) reload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil && time.Since(g.started) > signalSetupTime {
		_ = g.command.Process.Signal(syscall.SIGHUP)
	}
}

// endings returns the ends of the process so far.
func (g *gatewayProcess) exitRecords() []ProcessExit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.exits)
}

// signal sends a signal to the process, if it runs.
func (g *gatewayProcess) signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		g.stopRequested = g.stopRequested || signal == syscall.SIGTERM || signal == syscall.SIGKILL
		_ = g.command.Process.Signal(signal)
	}
}

// running tells whether the process runs.
func (g *gatewayProcess) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.command != nil
}

// stopTimeout is how long a planned stop may take.
const stopTimeout = 10 * time.Second

// stop stops the gateway as planned and waits for its end.
func (g *gatewayProcess) stop() error {
	g.mu.Lock()
	done, runs := g.done, g.command != nil
	g.mu.Unlock()
	if !runs {
		return nil
	}
	g.signal(syscall.SIGTERM)
	select {
	case <-done:
		return nil
	case <-time.After(stopTimeout):
		g.kill()
		return errors.Newf("step stop %s: it did not end within %s", g.name, stopTimeout)
	}
}

// kill ends the gateway at once and waits for its end.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	done, runs := g.done, g.command != nil
	g.mu.Unlock()
	if runs {
		g.signal(syscall.SIGKILL)
		<-done
	}
}

// buildGateway builds the program of a gateway into a folder. It is run within the module.
func buildGateway(folder string) (string, error) {
	binary := filepath.Join(folder, "granitebay-gateway")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/granitebay/granitebay/cmd/granitebay-gateway").CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "step build the gateway: %s", fmt.Sprintf("%.500s", output))
	}
	return binary, nil
}
