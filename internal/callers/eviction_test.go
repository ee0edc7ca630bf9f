package callers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/intake"
	"github.com/granitebay/granitebay/internal/netdial"
)

// boundedServer serves with a number of connections at most.
func boundedServer(t *testing.T, connections int, handler http.HandlerFunc) (address string, observer *recordingObserver) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	observer = &recordingObserver{}
	server := NewServer(handler, &Traffic{}, observer, logrus.NewEntry(logger))
	server.SetIntake(intake.New(1<<20, time.Now).NewListener(connections))
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String(), observer
}

// client is a caller with one connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to a server.
func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// ask sends a request and returns the status of the response.
func (c *client) ask(path string) (int, error) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestWaitingConnectionsGiveWay guards against callers who get no connection while others hold all of them without a request.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	for name, begin := range map[string]string{
		"idle": "", "half a header": "GET / HT", "half a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			const connections = 2
			address, observer := boundedServer(t, connections, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			var holders []*client
			for range 2 * connections {
				holder := dial(t, address)
				_, _ = io.WriteString(holder, begin)
				holders = append(holders, holder)
			}
			if status, err := dial(t, address).ask("/"); status != http.StatusOK {
				t.Errorf("got %d, %v", status, err)
			}
			if _, err := io.Copy(io.Discard, holders[0]); isDeadlineExceeded(err) {
				t.Error("the connection that has waited longest is open")
			}
			observer.mu.Lock()
			defer observer.mu.Unlock()
			if len(observer.events) == 0 {
				t.Error("no eviction was reported")
			}
		})
	}
}

// TestServedConnectionsKeepTheirPlaces guards against requests in progress that are given up for new connections, which wait instead.
func TestServedConnectionsKeepTheirPlaces(t *testing.T) {
	const connections = 2
	release, begun := make(chan struct{}), make(chan struct{}, connections)
	address, _ := boundedServer(t, connections, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			begun <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	statuses := make(chan int, connections+1)
	ask := func(path string) {
		caller := dial(t, address)
		go func() {
			status, _ := caller.ask(path)
			statuses <- status
		}()
	}
	for range connections {
		ask("/long")
		<-begun
	}
	ask("/short")
	select {
	case status := <-statuses:
		t.Fatalf("a response with status %d while all places are taken", status)
	case <-time.After(500 * time.Millisecond):
	}
	close(release)
	for range connections + 1 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("got %d", status)
		}
	}
}

// TestEvictionLosesNoRequests guards against a request that is handled although its caller saw the connection end without a response.
func TestEvictionLosesNoRequests(t *testing.T) {
	const connections, callers, requests = 3, 12, 150
	var mu sync.Mutex
	handled := map[string]bool{}
	address, observer := boundedServer(t, connections, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		handled[r.URL.Path] = true
	})
	var lost []string
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		var caller *client
		wg.Go(func() {
			for j := range requests {
				if caller == nil {
					caller = dial(t, address)
				}
				path := fmt.Sprintf("/%d/%d", i, j)
				if status, err := caller.ask(path); status != http.StatusOK {
					mu.Lock()
					if err == nil || handled[path] {
						lost = append(lost, fmt.Sprint(path, " ", status, " ", err))
					}
					mu.Unlock()
					_ = caller.Close()
					caller = nil
				}
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if len(lost) > 0 {
		t.Errorf("%d requests were handled and not answered, such as %s", len(lost), lost[0])
	}
	observer.mu.Lock()
	defer observer.mu.Unlock()
	if len(observer.events) == 0 {
		t.Error("nothing was evicted, so the test checks nothing")
	}
}
