package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The course of the case.
const (
	crowdGateways = 3
	crowdWorkers  = 6
	// crowdedGateways is the number of gateways to which the crowd comes, and crowdSize the number of its clients at each of them.
	crowdedGateways = 2
	crowdSize       = 1400
	// waves is how often the crowd comes, and waveTime how long it stays.
	waves    = 6
	waveTime = 5 * time.Second
	// brokenEnds is how many ends of the process of a machine break the rule, on crowdedGateways machines.
	brokenEnds = 3
	// crowdTimeoutMs is the timeout of the route and the deadline of the clients.
	crowdTimeoutMs = 6000
	// crowdEvents is the number of events of a stream, and crowdPause the time between two.
	crowdEvents = 17
	crowdPause  = 100 * time.Millisecond
	// engineTokens is the memory of an engine.
	engineTokens = 442678
	// headerBytes is the size of the header of a request; headerLimit is the limit of the configuration.
	headerBytes = 16000
	headerLimit = 16384
	// blockTokens is the size of a block of an engine's memory, and the size of a part with the trouble. usualParts is the number of parts of a usual prompt.
	blockTokens = 16
	usualParts  = 8
	usualTokens = 4000
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// minServed is the least number of requests that are served without the trouble.
	minServed = 100
)

// smallMachine is the machine of the case.
var smallMachine = machine{cores: 0.4, memoryMB: 284, descriptors: 4100, linkMbps: 1000, configurationMs: 2000, drainMs: 2000, contactMs: 3000, allowance: 58}

// runCrowd runs the case and returns its exit code.
func runCrowd(gateway, record string, trouble bool) int {
	s, err := newSystem(gateway, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.end()
	s.machine = smallMachine
	c := &crowd{system: s, trouble: trouble}
	if err := c.play(); err != nil {
		s.record.add("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	over := 0
	for _, each := range c.machines {
		if each.ends >= brokenEnds {
			over++
		}
	}
	verdict := fmt.Sprintf("%d requests, %d served; the process of a machine ended by its memory %v times, at most %d MB of %d were in use",
		c.sent.Load(), c.served.Load(), c.ends(), c.peak()>>20, smallMachine.memoryMB)
	s.record.add("%s", verdict)
	fmt.Println(verdict)
	switch {
	case over >= crowdedGateways:
		return 1
	case c.served.Load() < minServed:
		return 2
	default:
		return 0
	}
}

// crowd is a run of the case.
type crowd struct {
	*system
	trouble      bool
	seeds        []string
	machines     []*guardedMachine
	sent, served atomic.Int64
}

// guardedMachine is a machine that ends its process when that takes more memory than the machine has, as the users' machines do, and starts it again.
type guardedMachine struct {
	addresses gatewayAddresses

	mu      sync.Mutex
	process *process
	ends    int
	peak    int
}

// ends returns how often each machine has ended its process.
func (c *crowd) ends() []int {
	var ends []int
	for _, each := range c.machines {
		each.mu.Lock()
		ends = append(ends, each.ends)
		each.mu.Unlock()
	}
	return ends
}

// peak returns the most memory of a process in bytes.
func (c *crowd) peak() int {
	most := 0
	for _, each := range c.machines {
		each.mu.Lock()
		most = max(most, each.peak)
		each.mu.Unlock()
	}
	return most
}

// play starts the deployment and sends the crowd.
func (c *crowd) play() error {
	c.store.Put(names["configKey"], object{
		"version": 1,
		"routes": []object{{
			"name": "review", "host": "desk.example", names["prefix"]: "/review/", "kind": "stream", "timeoutMs": crowdTimeoutMs, "targetLatencyMs": 600, "targetGapMs": 150,
			"priority": 1, "maxAttempts": 1, "resumable": false, "service": "assistant", "sticky": true,
		}},
		"services": []object{{
			"name": "assistant", "maxConns": 250, "healthPath": "/health", "engine": object{
				"slots": 32, "kvCapacity": engineTokens, "tokenKvBytes": 163840, "linkMbps": 1400000, "stride": 7, "kvTtlS": 5, "reconfigS": 1.1, "backups": false,
			},
		}},
		"limits": object{"maxHeaderBytes": headerLimit, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range crowdWorkers {
		id := fmt.Sprintf("i-%d", i)
		if _, err := c.start(id, nil, nil, c.program, "worker", "--id", id, "--address", freeAddress(), "--service", "assistant", "--stage", "decode",
			"--store", c.putURL, "--events", fmt.Sprint(crowdEvents), "--pause", crowdPause.String(), "--slots", "32", "--queue", "8",
			"--memory", fmt.Sprint(engineTokens), "--pace", "24.8"); err != nil {
			return err
		}
	}
	for i := range crowdGateways {
		each := &guardedMachine{addresses: newAddresses(fmt.Sprintf("front-%d", i))}
		c.machines = append(c.machines, each)
		c.seeds = append(c.seeds, each.addresses.control)
	}
	if err := c.onEach(c.machines, c.startProcess); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for _, each := range c.machines {
		go c.watch(each, stop)
	}
	for wave := range waves {
		c.record.add("wave %d: %d clients come to each of %d machines", wave, crowdSize, crowdedGateways)
		var clients sync.WaitGroup
		for _, each := range c.machines[:crowdedGateways] {
			for member := range crowdSize {
				clients.Go(func() { c.request(each, fmt.Sprintf("w%d-%s-%d", wave, each.addresses.name, member)) })
			}
		}
		clients.Wait()
		if err := c.onEach(c.machines, c.restart); err != nil {
			return err
		}
	}
	return nil
}

// onEach calls a function for all machines at once.
func (c *crowd) onEach(machines []*guardedMachine, do func(*guardedMachine) error) error {
	var calls sync.WaitGroup
	failures := make([]error, len(machines))
	for i, each := range machines {
		calls.Go(func() { failures[i] = do(each) })
	}
	calls.Wait()
	return errors.Join(failures...)
}

// startProcess starts the process of a machine.
func (c *crowd) startProcess(m *guardedMachine) error {
	p, err := c.startGateway(m.addresses, c.seeds)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
	return err
}

// restart starts the process of a machine again if it has ended.
func (c *crowd) restart(m *guardedMachine) error {
	// The watcher holds the mutex until a process that it ends has gone.
	m.mu.Lock()
	hasEnded := m.process.hasEnded()
	m.mu.Unlock()
	if !hasEnded {
		return nil
	}
	time.Sleep(restartDelay)
	return c.startProcess(m)
}

// watch ends the process of a machine whenever it has taken too much memory.
func (c *crowd) watch(m *guardedMachine, stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		if p := m.process; p != nil && !p.hasEnded() {
			used := privateBytes(p.command.Process.Pid)
			m.peak = max(m.peak, used)
			if used > smallMachine.memoryMB<<20 {
				m.ends++
				c.record.add("%s: the process takes %d MB, %d are allowed; it is ended", m.addresses.name, used>>20, smallMachine.memoryMB)
				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.done
			}
		}
		m.mu.Unlock()
	}
}

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// privateBytes returns the memory of a process without that of its files.
func privateBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes := 0
	_, _ = fmt.Sscanf(rest, "%d", &kilobytes)
	return kilobytes << 10
}

// header returns the header of a request, of headerBytes bytes at most. With the trouble, it names the parts of a prompt by the blocks of the engines'
// memory, as many as there is room for; without it, it names a few parts, and a line of another kind takes the room.
func (c *crowd) header(id string) string {
	head := fmt.Sprintf("POST /review/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n%s: %d\r\nModel: m\r\nContent-Length: 2\r\n", id, names["deadline"], crowdTimeoutMs)
	prompt := func(parts []string, tokens int) string {
		return fmt.Sprintf("%s: %d,%d\r\n%s: %s\r\n", names["tokens"], tokens, crowdEvents, names["prompt"], strings.Join(parts, ","))
	}
	var parts []string
	if c.trouble {
		room := headerBytes - len(head) - len(prompt(nil, headerBytes*blockTokens))
		for number := 1; ; number++ {
			part := fmt.Sprintf("%x:%d", number, blockTokens)
			if room -= len(part) + 1; room < 0 {
				return head + prompt(parts, len(parts)*blockTokens) + "\r\n"
			}
			parts = append(parts, part)
		}
	}
	for number := range usualParts {
		parts = append(parts, fmt.Sprintf("5c1e07a%x:%d", number, usualTokens))
	}
	head += prompt(parts, usualParts*usualTokens) + "Cookie: "
	return head + strings.Repeat("c", headerBytes-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
}

// request sends a request on a connection of its own and reads the response.
func (c *crowd) request(m *guardedMachine, id string) {
	c.sent.Add(1)
	conn, err := net.Dial("tcp4", m.addresses.callers)
	if err != nil {
		c.record.add("client %s: %v", id, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waveTime))
	header := c.header(id)
	if _, err := conn.Write([]byte(header + "hi")); err != nil {
		c.record.add("client %s: sent %d bytes of header, %v", id, len(header), err)
		return
	}
	reader := bufio.NewReader(conn)
	status, err := reader.ReadString('\n')
	if strings.Contains(status, " 200 ") {
		c.served.Add(1)
	}
	c.record.add("client %s: sent %d bytes of header, %q, %v", id, len(header), strings.TrimSpace(status), err)
	for err == nil {
		_, err = reader.ReadString('\n')
	}
}
