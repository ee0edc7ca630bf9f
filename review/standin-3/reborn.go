package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// The course of the case.
const (
	rebornWorkers  = 5
	rebornGateways = 4
	rebornEvents   = 24
	rebornPause    = 150 * time.Millisecond
	// clientTime is how long clients send requests.
	clientTime = 16 * time.Second
	// cutAt is when the path is cut, from the start of the clients. crashAt and restartAt are when the worker crashes and starts again, from the cut.
	cutAt     = 6 * time.Second
	crashAt   = 300 * time.Millisecond
	restartAt = 900 * time.Millisecond
)

// rebornCourse is what differs between the cases.
type rebornCourse struct {
	// newID makes the worker start again under a new id.
	newID bool
	slots int
	// cutFor is how long the path is cut, and interval the time between two requests.
	cutFor, interval time.Duration
}

// outcome is what a client saw of a stream.
type outcome struct {
	id     string
	status int
	// events is the number of events, and isWhole is set if the response ended as complete.
	events  int
	isWhole bool
	inOrder bool
	err     error
}

// runReborn runs the case and returns its exit code.
func runReborn(gateway, record string, trouble bool, course rebornCourse) int {
	s, err := newSystem(gateway, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.end()
	outcomes, err := s.playReborn(trouble, course)
	if err != nil {
		s.record.add("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	served, broken := 0, 0
	for _, o := range outcomes {
		s.record.add("client %s: status %d, %d of %d events, in order %t, ended as complete %t, %v", o.id, o.status, o.events, rebornEvents, o.inOrder, o.isWhole, o.err)
		if o.status == http.StatusOK && o.isWhole && o.inOrder && o.events == rebornEvents {
			served++
		}
		if o.status == http.StatusOK && o.isWhole && (o.events < rebornEvents || !o.inOrder) {
			broken++
			s.record.add("BROKEN: stream %s ended as complete after %d of %d events", o.id, o.events, rebornEvents)
		}
	}
	verdict := fmt.Sprintf("%d streams, %d whole, %d ended as complete before their last event", len(outcomes), served, broken)
	s.record.add("%s", verdict)
	fmt.Println(verdict)
	switch {
	case served < len(outcomes)/2:
		return 2
	case broken > 0:
		return 1
	default:
		return 0
	}
}

// playReborn starts the deployment, sends the requests and injects the disruption.
func (s *system) playReborn(trouble bool, course rebornCourse) ([]outcome, error) {
	s.store.Put(names["configKey"], object{
		"version": 1,
		"routes": []object{{
			"name": "digest", "host": "desk.example", names["prefix"]: "/digest/", "kind": "stream", "timeoutMs": 10000, "targetLatencyMs": 800, "targetGapMs": 200,
			"priority": 1, "maxAttempts": 1, "resumable": false, "service": "assistant", "sticky": true,
		}},
		"services": []object{{
			"name": "assistant", "maxConns": 750, "healthPath": "/health", "engine": object{
				"kvCapacity": 400000, "tokenKvBytes": 18432, "linkMbps": 370000, "stride": 1, "kvTtlS": 5, "reconfigS": 1, "backups": false,
			},
		}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	workers, addresses := make([]*process, rebornWorkers), make([]string, rebornWorkers)
	startWorker := func(i int, suffix string) error {
		id := fmt.Sprintf("i-%d%s", i, suffix)
		var err error
		workers[i], err = s.start(id, nil, nil, s.program, "worker", "--id", id, "--address", addresses[i], "--service", "assistant", "--stage", "decode",
			"--store", s.putURL, "--events", fmt.Sprint(rebornEvents), "--pause", rebornPause.String(), "--unframed",
			"--slots", fmt.Sprint(course.slots))
		return err
	}
	for i := range workers {
		addresses[i] = freeAddress()
		if err := startWorker(i, ""); err != nil {
			return nil, err
		}
	}
	var gateways []gatewayAddresses
	var seeds []string
	for i := range rebornGateways {
		gateways = append(gateways, newAddresses(fmt.Sprintf("front-%d", i)))
		seeds = append(seeds, gateways[i].control)
	}
	var starts sync.WaitGroup
	failures := make([]error, rebornGateways)
	for i, each := range gateways {
		starts.Go(func() { _, failures[i] = s.startGateway(each, seeds) })
	}
	starts.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	s.record.add("clients begin")
	begun := time.Now()
	disrupted := make(chan error, 1)
	go func() {
		if !trouble {
			disrupted <- nil
			return
		}
		time.Sleep(time.Until(begun.Add(cutAt)))
		var index int
		if _, err := fmt.Sscanf(s.busiest(gateways[0].name, rebornEvents*rebornPause), "i-%d", &index); err != nil {
			disrupted <- err
			return
		}
		disrupted <- s.disrupt(gateways[0].name, addresses[index], workers[index], course.cutFor, func() error {
			if !course.newID {
				return startWorker(index, "")
			}
			// The entry of the worker that crashed goes after three heartbeats of silence.
			time.AfterFunc(3*heartbeat, func() { s.store.Delete(fmt.Sprintf("%si-%d", names["workers"], index)) })
			return startWorker(index, "-again")
		})
	}()
	for number := 0; time.Since(begun) < clientTime; number++ {
		to := gateways[number%len(gateways)]
		clients.Go(func() {
			o := s.requestStream(fmt.Sprintf("r%04d-%s", number, to.name), to.callers)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		time.Sleep(course.interval)
	}
	clients.Wait()
	return outcomes, <-disrupted
}

// disrupt cuts the path of a gateway to a worker, which crashes behind the cut and starts again.
func (s *system) disrupt(gateway, address string, worker *process, cutFor time.Duration, restart func() error) error {
	cut := time.Now()
	s.record.add("the path of %s to the worker at %s is cut for %s", gateway, address, cutFor)
	s.proxy(gateway, address).Set(netproxy.ModeHang)
	time.Sleep(time.Until(cut.Add(crashAt)))
	s.record.add("the worker at %s is killed", address)
	worker.kill()
	time.Sleep(time.Until(cut.Add(restartAt)))
	s.record.add("the worker at %s starts again", address)
	if err := restart(); err != nil {
		return err
	}
	time.Sleep(time.Until(cut.Add(cutFor)))
	s.record.add("the path heals")
	s.proxy(gateway, address).Set(netproxy.ModePass)
	return nil
}

// requestStream sends a request on a connection of its own and reads the stream to its end.
func (s *system) requestStream(id, address string) outcome {
	o := outcome{id: id, inOrder: true}
	body := "dossier of " + id
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/digest/1", strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		"Request-Id": id, names["deadline"]: "10000", "Model": "m", names["tokens"]: "200,24", names["prompt"]: "a1:100,b" + id[1:5] + ":100",
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	s.record.add("client %s: sent", id)
	response, err := client.Do(request)
	if err != nil {
		o.err = err
		return o
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if number := 0; strings.HasPrefix(line, "id: ") {
			_, _ = fmt.Sscanf(line, "id: %d", &number)
			o.events++
			o.inOrder = o.inOrder && number == o.events
		}
		if errors.Is(err, io.EOF) {
			o.isWhole = true
			return o
		}
		if err != nil {
			o.err = err
			return o
		}
	}
}
