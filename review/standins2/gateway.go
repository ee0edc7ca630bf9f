package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gatewayProcess is a gateway that runs as a process of its own, with the command of deploy/system.toml.
type gatewayProcess struct {
	name, callers, ready, settings string
	process                        *exec.Cmd
	ended                          chan struct{}
}

// settingsTemplate is deploy/gateway.yaml, filled for a small deployment such as mpc-dispatch on loopback.
const settingsTemplate = `name: %s
zone: hall
cores: 0.4
linkMbps: 1000.0
descriptors: 4100
memoryMb: 284
listen:
  callers: "%s"
  ready: "%s"
  directory: "%s"
  control: "%s"
  peers: "%s"
  admin: "%s"
seeds: [%s]
firstStart: true
store: "%s"
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

// loopback returns a loopback address of this process, so that plays that run side by side don't take each other's ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(loopback(), "0"))
		if err != nil {
			return nil, err
		}
		// It stays open until all are found, so that none is found twice.
		defer listener.Close()
		packets, err := net.ListenPacket("udp4", listener.Addr().String())
		if err != nil {
			continue
		}
		_ = packets.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startGateways starts gateways and waits until they are ready. Each is known to the case from its start, so that a stop ends it.
func (r *caseRun) startGateways(count int) ([]*gatewayProcess, error) {
	const addressesEach = 6
	addresses, err := freeAddresses(count * addressesEach)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[i*addressesEach+3]))
	}
	var gateways []*gatewayProcess
	for i := range count {
		own := addresses[i*addressesEach : (i+1)*addressesEach]
		name := fmt.Sprintf("front-hall-%d", i+1)
		g := &gatewayProcess{name: name, callers: own[0], ready: own[1], settings: filepath.Join(r.folder, name+".yaml")}
		content := fmt.Sprintf(settingsTemplate, name, own[0], own[1], own[2], own[3], own[4], own[5], strings.Join(seeds, ", "), r.store.address)
		if err := os.WriteFile(g.settings, []byte(content), 0o600); err != nil {
			return gateways, err
		}
		if err := r.startProcess(g); err != nil {
			return gateways, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return gateways, err
		}
	}
	return gateways, nil
}

// startProcess starts a gateway, unless the case was stopped.
func (r *caseRun) startProcess(g *gatewayProcess) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isStopped {
		return errors.New("the case was stopped")
	}
	if err := g.start(r.program, r.folder); err != nil {
		return err
	}
	r.gateways = append(r.gateways, g)
	return nil
}

// hasEnded reports whether the process has ended.
func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// start starts the process. Its log goes to the folder.
func (g *gatewayProcess) start(program, folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program)
	process.Env = append(os.Environ(), "GRANITEBAY_CONFIG="+g.settings)
	process.Stdout, process.Stderr = log, log
	// It ends with this process, also when that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	g.process, g.ended = process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(g.ended)
	return nil
}

// awaitReady waits until the gateway says that it is ready.
func (g *gatewayProcess) awaitReady() error {
	const patience, pause = 10 * time.Second, 50 * time.Millisecond
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pause) {
		response, err := http.Get("http://" + g.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// stop ends the process.
func (g *gatewayProcess) stop() {
	if g.process != nil {
		_ = g.process.Process.Kill()
		<-g.ended
	}
}
