package callers

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/netdial"
)

var (
	awkwardSeed = flag.Int64("awkward.seed", 1, "seed of TestRequestsAtAwkwardMoments")
	awkwardTime = flag.Duration("awkward.for", 2*time.Second, "duration of each part of TestRequestsAtAwkwardMoments")
)

// serverProcessEnv is set in a process that serves the callers of TestRequestsAtAwkwardMoments. Its value is the seed of its timeouts.
const serverProcessEnv = "GRANITEBAY_CALLERS_TEST_SERVER"

// TestMain runs the tests, or the server of a test in a process of its own, which can be suspended without its callers.
func TestMain(m *testing.M) {
	if seed := os.Getenv(serverProcessEnv); seed != "" {
		runServerProcess(seed)
	}
	os.Exit(m.Run())
}

// Words at the beginning of the lines that a server process prints.
const (
	wordAddress = "address"
	wordHandled = "handled"
	wordUnread  = "unread"
	wordClosing = "closing"
)

// lineWriter prints lines from several goroutines.
type lineWriter struct{ mu sync.Mutex }

func (w *lineWriter) print(words ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(words...)
}

// IdleTimeout implements Observer.
func (w *lineWriter) IdleTimeout() {}

// RequestNotHandled implements Observer.
func (w *lineWriter) RequestNotHandled(forward.Closer, string, time.Duration) {}

// RequestPastIdleTimeout implements Observer.
func (w *lineWriter) RequestPastIdleTimeout() {}

// HeaderRefused implements Observer.
func (w *lineWriter) HeaderRefused(HeaderRefusal, int, string) {}

// Evicted implements Observer.
func (w *lineWriter) Evicted(Eviction) {}

// RequestAfterClose implements Observer.
func (w *lineWriter) RequestAfterClose(forward.Closer, string, time.Duration) {}

// Unread implements Observer.
func (w *lineWriter) Unread(bytes UnreadBytes) { w.print(wordUnread, fmt.Sprintf("%+v", bytes)) }

// closeListener accepts connections whose closes are printed.
type closeListener struct {
	netdial.Listener
	output *lineWriter
}

// Accept implements net.Listener.
func (l closeListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return closeConn{accepted.(*net.TCPConn), l.output}, nil
}

// closeConn is a connection that prints when the last look at what has arrived began and ended, if that step closed the connection.
type closeConn struct {
	*net.TCPConn
	output *lineWriter
}

// SyscallConn implements syscall.Conn.
func (c closeConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return closeRawConn{raw, c}, err
}

// closeRawConn is the syscall.RawConn of a closeConn.
type closeRawConn struct {
	syscall.RawConn
	conn closeConn
}

// Control implements syscall.RawConn.
func (c closeRawConn) Control(f func(descriptor uintptr)) error {
	var before, after uint8
	var begun, ended time.Time
	err := c.RawConn.Control(func(descriptor uintptr) {
		before, begun = tcpState(descriptor), time.Now()
		f(descriptor)
		after, ended = tcpState(descriptor), time.Now()
	})
	if before == tcpEstablished && after != tcpEstablished {
		c.conn.output.print(wordClosing, c.conn.RemoteAddr(), begun.UnixNano(), ended.UnixNano())
	}
	return err
}

// awkwardBounds are the timeouts between which a server process changes at random. Callers rest for about one of them.
var awkwardBounds = []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond}

// runServerProcess serves until standard input ends. A seed of zero keeps the timeouts.
func runServerProcess(seedText string) {
	seed, err := strconv.ParseInt(seedText, 10, 64)
	if err != nil {
		panic(err)
	}
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	output := &lineWriter{}
	output.print(wordAddress, listener.Addr())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := NewServer(CancelOnDisconnect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		output.print(wordHandled, r.URL.Path)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.URL.Path)
	})), &Traffic{}, output, logrus.NewEntry(logger))
	server.SetTimeouts(awkwardBounds[1], awkwardBounds[1])
	if seed != 0 {
		random := rand.New(rand.NewSource(seed))
		go func() {
			for {
				server.SetTimeouts(awkwardBounds[random.Intn(len(awkwardBounds))], awkwardBounds[random.Intn(len(awkwardBounds))])
				time.Sleep(time.Duration(random.Intn(50)) * time.Millisecond)
			}
		}()
	}
	go WatchUnread(context.Background(), server)
	go func() { _ = server.Serve(closeListener{listener, output}) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// awkwardRun is a run of TestRequestsAtAwkwardMoments.
type awkwardRun struct {
	address string
	process *os.Process

	mu sync.Mutex
	// handled holds the paths of requests that reached the handler, and unread what the server process says of unread bytes.
	handled  map[string]bool
	unread   []string
	outcomes []awkwardOutcome
	// closes are the steps in which the server looked at connections for the last time and closed them, by the address of the caller.
	closes map[string]timeSpan
	// suspensions are the times in which the server process was suspended.
	suspensions []timeSpan
}

// timeSpan is the time from a begin to an end.
type timeSpan struct{ begun, ended time.Time }

// overlaps reports whether two spans have a time in common.
func (s timeSpan) overlaps(other timeSpan) bool {
	return !s.begun.After(other.ended) && !other.begun.After(s.ended)
}

// parseClose returns the address and the step of a line about a close.
func parseClose(line string) (address string, step timeSpan, err error) {
	var begun, ended int64
	_, err = fmt.Sscan(line, &address, &begun, &ended)
	return address, timeSpan{time.Unix(0, begun), time.Unix(0, ended)}, err
}

// awkwardOutcome is what a caller saw of a request.
type awkwardOutcome struct {
	path string
	// kind names how the request was sent.
	kind string
	// address is that of the caller.
	address string
	rest    time.Duration
	// sending is the time from the first byte of the request to the last one, and endedAt when the response or the connection ended.
	sending timeSpan
	endedAt time.Time
	// wasOpen is set if the server had not closed the connection when the request had been sent, and wasRead if a request that was sent whole and got
	// no response had been read.
	wasOpen, wasRead bool
	err              error
}

// startAwkwardRun starts a server process and returns a function that ends it and waits for its output.
func startAwkwardRun(t *testing.T, seed int64) (*awkwardRun, func()) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprint(serverProcessEnv, "=", seed))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	r := &awkwardRun{process: command.Process, handled: map[string]bool{}, closes: map[string]timeSpan{}}
	address, ended := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			word, rest, _ := strings.Cut(lines.Text(), " ")
			r.mu.Lock()
			switch word {
			case wordAddress:
				address <- rest
			case wordHandled:
				r.handled[rest] = true
			case wordUnread:
				r.unread = append(r.unread, rest)
			case wordClosing:
				caller, step, err := parseClose(rest)
				if err != nil {
					t.Errorf("%q: %v", rest, err)
				}
				r.closes[caller] = step
			}
			r.mu.Unlock()
		}
	}()
	stop := sync.OnceFunc(func() {
		_ = input.Close()
		<-ended
		_ = command.Wait()
	})
	t.Cleanup(stop)
	select {
	case r.address = <-address:
	case <-time.After(testTimeout):
		_ = command.Process.Kill()
		t.Fatal("the server process did not start")
	}
	return r, stop
}

// suspend suspends the server process again and again until a time.
func (r *awkwardRun) suspend(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(20+random.Intn(150)) * time.Millisecond)
		start := time.Now()
		_ = r.process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(1+random.Intn(200)) * time.Millisecond)
		_ = r.process.Signal(syscall.SIGCONT)
		r.mu.Lock()
		r.suspensions = append(r.suspensions, timeSpan{start, time.Now()})
		r.mu.Unlock()
	}
}

// Kinds of requests: sent whole, in two parts of the head, with the body after the head, and two at once.
const (
	kindWhole = iota
	kindSplitHead
	kindLateBody
	kindPair
	awkwardKinds
)

// awkwardKindNames are the names of the kinds.
var awkwardKindNames = [awkwardKinds]string{"whole", "split head", "late body", "pair"}

// maxBoundOffset is the largest distance of a request from a bound of its connection.
const maxBoundOffset = 2 * time.Millisecond

// call sends requests at awkward moments until a time, some on new connections.
func (r *awkwardRun) call(number int, random *rand.Rand, until time.Time) {
	var caller *testCaller
	disconnect := func() {
		if caller != nil {
			_ = caller.Close()
			caller = nil
		}
	}
	defer disconnect()
	for n := 0; time.Now().Before(until); n++ {
		if random.Intn(4) == 0 {
			disconnect()
		}
		if caller == nil {
			conn, err := net.Dial("tcp4", r.address)
			if err != nil {
				return
			}
			caller = &testCaller{conn, bufio.NewReader(conn)}
		}
		rest := time.Duration(0)
		if random.Intn(4) > 0 {
			// A connection closes the margin after its timeout.
			bound := awkwardBounds[random.Intn(len(awkwardBounds))]
			rest = bound + timeoutMargin(bound) + time.Duration(random.Int63n(int64(2*maxBoundOffset))) - maxBoundOffset
		}
		time.Sleep(rest)
		if !r.exchange(caller, fmt.Sprintf("/%d/%d", number, n), random.Intn(awkwardKinds), rest, random) {
			disconnect()
		}
	}
}

// exchange sends a request, or two, and reads the responses. It reports whether the connection can be used again.
func (r *awkwardRun) exchange(caller *testCaller, path string, kind int, rest time.Duration, random *rand.Rand) bool {
	paths := []string{path}
	first, second := requestFor(path), ""
	switch kind {
	case kindSplitHead:
		cut := 1 + random.Intn(len(first)-1)
		first, second = first[:cut], first[cut:]
	case kindLateBody:
		first, second = "POST "+path+" HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n", "body"
	case kindPair:
		paths = append(paths, path+"/next")
		first += requestFor(paths[1])
	}
	sending := timeSpan{begun: time.Now()}
	err := caller.send(first)
	if err == nil && second != "" {
		time.Sleep(time.Duration(random.Int63n(int64(2 * maxBoundOffset))))
		err = caller.send(second)
	}
	sending.ended = time.Now()
	wasOpen, address := isEstablished(caller.Conn), caller.LocalAddr().String()
	for _, path := range paths {
		if err == nil {
			err = caller.readResponseTo(path)
		}
		endedAt := time.Now()
		wasRead := err != nil && kind == kindWhole && hasReadAll(caller.Conn)
		r.mu.Lock()
		r.outcomes = append(r.outcomes, awkwardOutcome{path, awkwardKindNames[kind], address, rest, sending, endedAt, wasOpen, wasRead, err})
		r.mu.Unlock()
	}
	return err == nil
}

// errWrongResponse is the error of a caller that got the response to another request.
var errWrongResponse = errors.New("the response belongs to another request")

// readResponseTo waits for the response to a path.
func (c *testCaller) readResponseTo(path string) error {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(body) != path {
		return fmt.Errorf("%w: status %d, %q", errWrongResponse, response.StatusCode, body)
	}
	return nil
}

// States of a connection: closed by neither side, and closed by the other side without a reset.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// isEstablished reports whether the other side has not closed a connection.
func isEstablished(conn net.Conn) bool { return tcpInfo(conn).State == tcpEstablished }

// resetDelay is the time in which the reset of a connection reaches a caller on the same machine.
const resetDelay = 30 * time.Millisecond

// hasReadAll reports whether the other side closed a connection after it had read all that was sent: the kernel resets a connection that is closed with
// unread bytes.
func hasReadAll(conn net.Conn) bool {
	time.Sleep(resetDelay)
	info := tcpInfo(conn)
	return info.State == tcpCloseWait && info.Unacked == 0
}

// tcpInfo returns what the kernel knows of a connection, or the zero value.
func tcpInfo(conn net.Conn) (result unix.TCPInfo) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return result
	}
	_ = raw.Control(func(descriptor uintptr) { result = descriptorTCPInfo(descriptor) })
	return result
}

// descriptorTCPInfo returns what the kernel knows of the connection of a descriptor, or the zero value.
func descriptorTCPInfo(descriptor uintptr) unix.TCPInfo {
	info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return unix.TCPInfo{}
	}
	return *info
}

// tcpState returns the state of the connection of a descriptor, or zero.
func tcpState(descriptor uintptr) uint8 { return descriptorTCPInfo(descriptor).State }

// Bounds of the requests that arrive between the last look at their connection and its close. No time passes there, unless the server is suspended or
// the machine is busy, which a server whose closes are slow would show at many connections.
const (
	// maxCloseTime is the longest time of that step without a suspension.
	maxCloseTime = 100 * time.Millisecond
	// maxSlowCrossings is how many requests may arrive in longer steps.
	maxSlowCrossings = 2
)

// judge returns the requests that were neither answered nor refused, although the server had read them or should have, and counts the outcomes.
func (r *awkwardRun) judge() (faults []string, counts map[string]int) {
	counts = map[string]int{}
	var slow []string
	for _, line := range r.unread {
		faults = append(faults, "unread bytes: "+line)
	}
	for _, o := range r.outcomes {
		took, timeout := o.endedAt.Sub(o.sending.ended), net.Error(nil)
		description := fmt.Sprintf("%s, %s, after a rest of %s, open when sent %t, ended %s later: %v", o.path, o.kind, o.rest, o.wasOpen, took, o.err)
		describe := func(what string) { faults = append(faults, what+": "+description) }
		switch {
		case o.err == nil:
			counts["served"]++
		case errors.Is(o.err, errWrongResponse):
			describe("wrong response")
		case errors.As(o.err, &timeout) && timeout.Timeout():
			describe("no response and no end")
		case r.handled[o.path]:
			describe("handled")
		case o.wasRead && !r.suspendedNear(&o):
			describe("read")
		case !o.wasOpen:
			counts["closed before"]++
		case !r.closes[o.address].overlaps(o.sending):
			describe("not read before the close")
		case r.isSlow(r.closes[o.address]):
			slow = append(slow, "crossed a slow close: "+description)
		default:
			counts["crossed"]++
		}
	}
	if len(slow) > maxSlowCrossings {
		faults = append(faults, slow...)
	}
	counts["crossed, slow"] = len(slow)
	return faults, counts
}

// isSlow reports whether a close took longer than maxCloseTime although the server process was not suspended.
func (r *awkwardRun) isSlow(step timeSpan) bool {
	return step.ended.Sub(step.begun) > maxCloseTime && !slices.ContainsFunc(r.suspensions, step.overlaps)
}

// suspendedNear reports whether the server process was suspended from the sending of a request until its caller looked at the connection. A request
// that arrives there after the close of the sending side stays unread until the process goes on.
func (r *awkwardRun) suspendedNear(o *awkwardOutcome) bool {
	return slices.ContainsFunc(r.suspensions, timeSpan{o.sending.ended, o.endedAt.Add(2 * resetDelay)}.overlaps)
}

// awkwardCallers is the number of callers of TestRequestsAtAwkwardMoments.
const awkwardCallers = 64

// TestRequestsAtAwkwardMoments guards against requests that lie unread on a connection, and against requests that were read and not answered. Callers
// send around the bounds of their connections while the bounds change and the server process is suspended.
func TestRequestsAtAwkwardMoments(t *testing.T) {
	for _, c := range []struct {
		desc              string
		changes, suspends bool
	}{
		{"around the bounds", false, false},
		{"beside changes of the bounds", true, false},
		{"beside standstills", false, true},
		{"beside changes and standstills", true, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			seed := int64(0)
			if c.changes {
				seed = *awkwardSeed
			}
			r, stop := startAwkwardRun(t, seed)
			until := time.Now().Add(*awkwardTime)
			var group sync.WaitGroup
			for number := range awkwardCallers {
				group.Go(func() { r.call(number, rand.New(rand.NewSource(*awkwardSeed*1000+int64(number))), until) })
			}
			if c.suspends {
				r.suspend(rand.New(rand.NewSource(*awkwardSeed)), until)
			}
			group.Wait()
			stop()
			faults, counts := r.judge()
			t.Logf("%d requests, %d suspensions: %v", len(r.outcomes), len(r.suspensions), counts)
			const maxNamed = 5
			if len(faults) > 0 {
				t.Errorf("%d faults, including %q", len(faults), faults[:min(len(faults), maxNamed)])
			}
			if counts["served"] == 0 {
				t.Error("no request was served, so the test checks nothing")
			}
		})
	}
}
