package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// gateway is a process of the project's own server.
type gateway struct {
	name    string
	command *exec.Cmd
	output  *os.File
	// settings is the path of its settings file.
	settings string
	// ports holds the addresses by the names of the settings.
	ports map[string]string
}

// bounds are those of the deployments rmat-fes and mpc-dispatch, as deploy/gateway.yaml passes them on.
const bounds = `timings:
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

// portNames are the addresses of a gateway. Peers is the one that takes datagrams.
var portNames = []string{"callers", "ready", "directory", "control", "peers", "admin"}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startGateways starts gateways with the program of the deploy file and waits until all are ready.
func startGateways(program, folder, store string, count int) ([]*gateway, error) {
	var gateways []*gateway
	var seeds []string
	for number := range count {
		g := &gateway{name: fmt.Sprintf("front-%d", number+1), ports: map[string]string{}}
		for _, name := range portNames {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			g.ports[name] = address
		}
		gateways = append(gateways, g)
		seeds = append(seeds, fmt.Sprintf("%q", g.ports["control"]))
	}
	for _, g := range gateways {
		var text strings.Builder
		fmt.Fprintf(&text, "name: %q\nzone: \"zone-a\"\ncores: 0.4\nlinkMbps: 1000.0\ndescriptors: 4100\nmemoryMb: 284\nlisten:\n", g.name)
		for _, name := range portNames {
			fmt.Fprintf(&text, "  %s: %q\n", name, g.ports[name])
		}
		fmt.Fprintf(&text, "seeds: [%s]\nfirstStart: true\nstore: %q\n%s", strings.Join(seeds, ","), store, bounds)
		path := filepath.Join(folder, g.name+".yaml")
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			return gateways, err
		}
		output, err := os.Create(filepath.Join(folder, g.name+".log"))
		if err != nil {
			return gateways, err
		}
		g.output, g.settings = output, path
		if err := g.start(program); err != nil {
			return gateways, err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				return gateways, fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return gateways, nil
}

// start starts the process.
func (g *gateway) start(program string) error {
	g.command = exec.Command(program)
	g.command.Env = append(os.Environ(), "GRANITEBAY_CONFIG="+g.settings)
	g.command.Stdout, g.command.Stderr = g.output, g.output
	return startProcess(g.command)
}

// allReady reports whether all gateways say that they are ready.
func allReady(gateways []*gateway) bool {
	for _, g := range gateways {
		if !g.ready() {
			return false
		}
	}
	return true
}

// ready reports whether the gateway says that it is ready.
func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ports["ready"] + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Kill()
	_ = g.command.Wait()
}
