package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// The course of the case with reads of the store that are seconds old.
const (
	staleGateways = 3
	// pageItems is the number of items in a page, and readLag how old the second and later pages of a stale read are.
	pageItems = 4
	readLag   = 3 * time.Second
	// changeAt is when the route moves, from the start of the clients, killAt when a gateway is killed, and startAt when it starts again.
	changeAt = 4 * time.Second
	killAt   = 4500 * time.Millisecond
	startAt  = 5 * time.Second
	// busyFor is how long the lists of the gateway that starts are beyond the rate of the store.
	busyFor = 500 * time.Millisecond
	// staleFor is how long clients send requests, and staleInterval the time between two.
	staleFor      = 24 * time.Second
	staleInterval = 40 * time.Millisecond
	// applyBound and contactBound are configApplyMs and contactMs.
	applyBound   = 3 * time.Second
	contactBound = 4 * time.Second
)

// item is an item of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// state is what the store held at a time.
type state struct {
	at       time.Time
	items    []item
	revision int64
}

// pagedStore serves the store in small pages. Stale reads may be seconds old, each page by itself.
type pagedStore struct {
	store http.Handler

	mu     sync.Mutex
	states []state
	// busyUntil is until when the lists of a gateway are beyond the rate, by its name.
	busyUntil map[string]time.Time
}

// current returns what the store holds now.
func (p *pagedStore) current() state {
	now := state{at: time.Now()}
	for after, more := "", true; more; {
		answer := httptest.NewRecorder()
		p.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, names["list"]+"?"+names["prefix"]+"=&after="+after, nil))
		var page struct {
			Items []item `json:"items"`
			More  bool   `json:"more"`
			At    int64  `json:"at"`
		}
		if json.Unmarshal(answer.Body.Bytes(), &page) != nil || len(page.Items) == 0 {
			break
		}
		if now.revision == 0 {
			now.revision = page.At
		}
		now.items = append(now.items, page.Items...)
		after, more = page.Items[len(page.Items)-1].Key, page.More
	}
	return now
}

// remember keeps what the store holds, for stale reads.
func (p *pagedStore) remember() {
	for range time.Tick(50 * time.Millisecond) {
		now := p.current()
		p.mu.Lock()
		p.states = append(p.states, now)
		for len(p.states) > 1 && time.Since(p.states[1].at) > readLag {
			p.states = p.states[1:]
		}
		p.mu.Unlock()
	}
}

// old returns what the store held readLag ago, or at the start.
func (p *pagedStore) old() state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[0]
}

// isBusy reports whether the lists of a gateway are beyond the rate.
func (p *pagedStore) isBusy(gateway string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.busyUntil[gateway])
}

// handler serves the store to a gateway.
func (p *pagedStore) handler(gateway string, record *recorder) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		if request.URL.Path != names["list"] {
			p.store.ServeHTTP(writer, request)
			return
		}
		isStale, after := query.Get("stale") != "", query.Get("after")
		if !isStale && p.isBusy(gateway) {
			record.add("store: 429 to a list of %s", gateway)
			writer.WriteHeader(http.StatusTooManyRequests)
			return
		}
		read := p.current()
		if isStale && after != "" {
			read = p.old()
		}
		page := []item{}
		more := false
		for _, each := range read.items {
			switch {
			case !strings.HasPrefix(each.Key, query.Get(names["prefix"])) || each.Key <= after:
			case len(page) == pageItems:
				more = true
			default:
				page = append(page, each)
			}
		}
		if isStale {
			record.add("store: a stale page for %s after %q, as of revision %d, %.1f s old", gateway, after, read.revision, time.Since(read.at).Seconds())
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(object{"items": page, "more": more, "at": read.revision})
	})
}

// staleConfiguration returns a version of the configuration, in which a service serves the route.
func staleConfiguration(version int, service string) object {
	return object{
		"version": version,
		"routes": []object{{
			"name": "issue", "host": "desk.example", names["prefix"]: "/issue/", "kind": names["once"], "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 1, "maxAttempts": 1, "service": service,
		}},
		"services": []object{
			{"name": "desk-a", "maxConns": 550, "healthPath": "/health"}, {"name": "desk-b", "maxConns": 550, "healthPath": "/health"},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// call is a request and what its client saw.
type call struct {
	id, gateway, body string
	sent              time.Time
	status            int
	err               error
}

// runStale runs the case and returns its exit code.
func runStale(gateway, record string, trouble bool) int {
	s, err := newSystem(gateway, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer s.end()
	p := &pagedStore{store: s.store, busyUntil: map[string]time.Time{}}
	s.paged = p
	calls, changed, inTouch, err := s.playStale(p, trouble)
	if err != nil {
		s.record.add("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	served, broken := 0, 0
	for _, c := range calls {
		s.record.add("client %s at %.3f: status %d, %q, %v", c.id, c.sent.Sub(s.record.start).Seconds(), c.status, c.body, c.err)
		isServed := c.status == http.StatusOK
		if isServed {
			served++
		}
		if isServed && strings.Contains(c.body, "desk-a") && c.sent.After(changed.Add(applyBound)) && c.sent.After(inTouch[c.gateway]) {
			broken++
			s.record.add("BROKEN: %s was sent %.1f s after the acknowledgement, by which desk-b serves its route, and ran at desk-a", c.id, c.sent.Sub(changed).Seconds())
		}
	}
	verdict := fmt.Sprintf("%d requests, %d served, %d ran at the service of the older version although its gateway was in touch", len(calls), served, broken)
	s.record.add("%s", verdict)
	fmt.Println(verdict)
	switch {
	case served < len(calls)/2:
		return 2
	case broken > 0:
		return 1
	default:
		return 0
	}
}

// playStale starts the deployment, sends the requests, changes the configuration and injects the disruption. It returns when the change was acknowledged
// and from when on each gateway is in touch.
func (s *system) playStale(p *pagedStore, trouble bool) ([]call, time.Time, map[string]time.Time, error) {
	s.store.Put(names["configKey"], staleConfiguration(1, "desk-a"))
	inTouch := map[string]time.Time{}
	for _, service := range []string{"desk-a", "desk-b"} {
		for i := range 2 {
			id := fmt.Sprintf("i-%s-%d", service, i)
			if _, err := s.start(id, nil, nil, s.program, "worker", "--id", id, "--address", freeAddress(), "--service", service, "--store", s.putURL, "--name-service"); err != nil {
				return nil, time.Time{}, nil, err
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	p.states = []state{p.current()}
	go p.remember()
	var gateways []gatewayAddresses
	var seeds []string
	for i := range staleGateways {
		gateways = append(gateways, newAddresses(fmt.Sprintf("front-%d", i)))
		seeds = append(seeds, gateways[i].control)
	}
	var starts sync.WaitGroup
	failures, processes := make([]error, staleGateways), make([]*process, staleGateways)
	for i, each := range gateways {
		starts.Go(func() { processes[i], failures[i] = s.startGateway(each, seeds) })
	}
	starts.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, time.Time{}, nil, err
	}
	time.Sleep(2 * readLag)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var calls []call
	var changed time.Time
	s.record.add("clients begin")
	begun := time.Now()
	disrupted := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(begun.Add(changeAt)))
		s.store.Put(names["configKey"], staleConfiguration(2, "desk-b"))
		changed = time.Now()
		s.record.add("version 2 is acknowledged: desk-b serves the route")
		if !trouble {
			disrupted <- nil
			return
		}
		last := gateways[staleGateways-1]
		time.Sleep(time.Until(begun.Add(killAt)))
		s.record.add("%s is killed", last.name)
		processes[staleGateways-1].kill()
		time.Sleep(time.Until(begun.Add(startAt)))
		s.record.add("%s starts again", last.name)
		p.mu.Lock()
		p.busyUntil[last.name] = time.Now().Add(busyFor)
		p.mu.Unlock()
		_, err := s.startGateway(last, seeds)
		mu.Lock()
		inTouch[last.name] = time.Now().Add(busyFor + contactBound)
		mu.Unlock()
		disrupted <- err
	}()
	for number := 0; time.Since(begun) < staleFor; number++ {
		to := gateways[number%len(gateways)]
		clients.Go(func() {
			c := requestPlain(fmt.Sprintf("r%04d-%s", number, to.name), to)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
		time.Sleep(staleInterval)
	}
	clients.Wait()
	err := <-disrupted
	return calls, changed, inTouch, err
}

// requestPlain sends a request on a connection of its own.
func requestPlain(id string, to gatewayAddresses) call {
	c := call{id: id, gateway: to.name, sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+to.callers+"/issue/1", strings.NewReader("licence of "+id))
	if err != nil {
		c.err = err
		return c
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set(names["deadline"], "1500")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		c.err = err
		return c
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	c.body, c.err = string(body), err
	return c
}
