// Command 3 is the program of case 3: the three workers of a service crash one after the other while each runs the same often asked lookup. Run it
// by run.sh.
package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/granitebay/granitebay/review/harness"
)

const (
	service   = "dock-api"
	deadline  = time.Second
	work      = 700 * time.Millisecond
	pollEvery = 2 * time.Second
	pollers   = 6
	// otherEvery is the time between two other requests, each with a path of its own.
	otherEvery = 200 * time.Millisecond
	firstCrash = 150 * time.Millisecond
	crashEvery = 150 * time.Millisecond
	downTime   = 3 * time.Second
	healthyFor = 40 * time.Second
	settle     = 3 * time.Second
)

func main() {
	code, err := run("review/3/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

//go:embed config.json
var configuration []byte

// member is a worker that is started anew after its crash, with another id.
type member struct {
	process       *harness.Process
	address, zone string
	starts        int
}

func (m *member) name(number int) string { return fmt.Sprintf("i-%d-%d", number, m.starts) }

func (m *member) start(d *harness.Deployment, number int) error {
	m.starts++
	process, err := d.StartWorker(m.name(number), m.address, "--service", service, "--zone", m.zone, "--slots", "6", "--work", work.String())
	m.process = process
	return err
}

// counts are what the clients received.
type counts struct {
	mu             sync.Mutex
	sent, served   int
	denied, others map[int]int
	// deniedHealthy counts the requests that were denied after the workers were back, and sentHealthy all of that time.
	deniedHealthy, sentHealthy int
}

func run(record string) (int, error) {
	d, err := harness.New(record)
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer d.Close()
	if err := d.StartStore(); err != nil {
		return harness.ExitNotRun, err
	}
	if err := d.Put(harness.Wire.ConfigKey, configuration); err != nil {
		return harness.ExitNotRun, err
	}
	zones := []string{"memphis-hall", "jackson-hall", "mobile-hall"}
	members := make([]*member, len(zones))
	for i := range members {
		address, err := d.Address()
		if err != nil {
			return harness.ExitNotRun, err
		}
		members[i] = &member{address: address, zone: zones[i]}
		if err := members[i].start(d, i); err != nil {
			return harness.ExitNotRun, err
		}
	}
	if err := d.StartGateways(zones...); err != nil {
		return harness.ExitNotRun, err
	}
	time.Sleep(settle)
	c := &counts{denied: map[int]int{}, others: map[int]int{}}
	var requests sync.WaitGroup
	stop := make(chan struct{})
	healthy := make(chan struct{})
	requests.Go(func() {
		poll(d, c, &requests, stop, healthy, "poll", pollEvery, pollers, func(int, int) string { return "/lookup/board" })
	})
	requests.Go(func() {
		poll(d, c, &requests, stop, healthy, "other", otherEvery, 1, func(round, _ int) string { return fmt.Sprintf("/lookup/carrier-%d", round) })
	})
	// The first polls are answered before the crashes. The fourth round begins after three intervals.
	time.Sleep(3*pollEvery + firstCrash)
	for i, m := range members {
		if !harness.Trouble() {
			break
		}
		d.Note("worker %s at %s is killed (SIGKILL)", m.name(i), m.address)
		m.process.Kill()
		time.Sleep(crashEvery)
	}
	time.Sleep(downTime)
	for i, m := range members {
		if !harness.Trouble() {
			break
		}
		if err := m.start(d, i); err != nil {
			return harness.ExitNotRun, err
		}
		d.Note("worker %s runs at %s", m.name(i), m.address)
	}
	time.Sleep(settle)
	d.Note("all workers have been back for %s", settle)
	close(healthy)
	time.Sleep(healthyFor)
	close(stop)
	requests.Wait()
	for _, line := range d.Runs() {
		d.Note("worker log: %s", line)
	}
	if c.served == 0 {
		return harness.ExitNotRun, fmt.Errorf("no request was answered")
	}
	denied := 0
	for _, count := range c.denied {
		denied += count
	}
	allowed := 5 + c.sent/500
	summary := fmt.Sprintf("%d requests, %d served; %d ended with a 3xx or 4xx of the gateway (by status %v), %d are allowed; "+
		"from %s after the last worker was back on: %d requests, %d of them denied; other statuses %v",
		c.sent, c.served, denied, c.denied, allowed, settle, c.sentHealthy, c.deniedHealthy, c.others)
	d.Note("result: %s", summary)
	fmt.Println("case 3:", summary)
	if denied > allowed {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}

// poll sends requests at the same moment in each interval until stop is closed.
func poll(
	d *harness.Deployment, c *counts, requests *sync.WaitGroup, stop, healthy <-chan struct{}, kind string, every time.Duration, clients int,
	path func(round, client int) string,
) {
	client := &http.Client{Timeout: deadline + 500*time.Millisecond}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for number := range clients {
			requests.Go(func() {
				gateway := d.Gateways[(round*clients+number)%len(d.Gateways)]
				if clients > 1 {
					gateway = d.Gateways[number%len(d.Gateways)]
				}
				id := fmt.Sprintf("%s-%d-%d", kind, round, number)
				header := map[string]string{harness.Wire.Deadline: fmt.Sprint(deadline.Milliseconds())}
				answer := harness.Send(client, gateway.Callers, http.MethodGet, path(round, number), id, header, "")
				d.Note("GET %s to %s -> %s", path(round, number), gateway.Name, answer)
				c.add(answer, healthy)
			})
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// add counts an answer.
func (c *counts) add(answer harness.Answer, healthy <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isHealthy := false
	select {
	case <-healthy:
		isHealthy = true
		c.sentHealthy++
	default:
	}
	c.sent++
	own := answer.Err == nil && answer.Header.Get(harness.Wire.Signature) == ""
	switch {
	case answer.Err == nil && answer.Status == http.StatusOK:
		c.served++
	case own && answer.Status >= 300 && answer.Status < 500 && answer.Status != 408 && answer.Status != 421 && answer.Status != 429:
		c.denied[answer.Status]++
		if isHealthy {
			c.deniedHealthy++
		}
	default:
		c.others[answer.Status]++
	}
}
