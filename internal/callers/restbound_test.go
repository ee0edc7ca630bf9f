package callers

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// restBound is an idle timeout long enough to be announced in whole seconds, and restDelay what a round trip and the scheduling of a caller on a
// busy machine add to a rest.
const (
	restBound = 1500 * time.Millisecond
	restDelay = 200 * time.Millisecond
)

// maxRest is the longest rest after which a request is answered, from the end of the response at the server. On a busy machine callers may be later.
const maxRest = restBound + 2*restDelay

// restCallers is the number of callers of each case. Their rests are spread evenly.
const restCallers = 40

// boundChanges are the changes of the idle timeout beside a caller that rests.
var boundChanges = []struct {
	desc string
	// duringResponse changes the timeout between the header and the end of the response before the rest, and duringRest while the caller rests.
	duringResponse, duringRest time.Duration
}{
	{desc: "no change"},
	{desc: "shorter during the response", duringResponse: restBound / 10},
	{desc: "shorter during the rest", duringRest: restBound / 10},
	{desc: "longer during the rest", duringRest: 2 * restBound},
}

// TestRequestsAroundIdleTimeoutAreAnswered sends requests from just before the idle timeout to a round trip after it, while the timeout changes. It
// guards against callers that keep to the timeout and whose requests cross the close of the connection, because they and the server start to count
// at different times.
func TestRequestsAroundIdleTimeoutAreAnswered(t *testing.T) {
	for _, change := range boundChanges {
		t.Run(change.desc, func(t *testing.T) {
			t.Parallel()
			s := newRestServer(t, change.duringResponse)
			s.play(t, change.duringRest, func(i int, _ time.Duration) time.Duration {
				return restBound - restDelay/10 + restDelay*time.Duration(i)/restCallers
			})
		})
	}
}

// TestCallersThatHonorKeepAliveMeetNoClose guards against an announced time that is missing, that ends with or after the time at which the connection
// is closed, or that a change of the idle timeout overtakes.
func TestCallersThatHonorKeepAliveMeetNoClose(t *testing.T) {
	for _, change := range boundChanges {
		t.Run(change.desc, func(t *testing.T) {
			t.Parallel()
			s := newRestServer(t, change.duringResponse)
			s.play(t, change.duringRest, func(i int, announced time.Duration) time.Duration {
				if announced <= 0 || announced+restDelay >= restBound {
					t.Errorf("%v is announced for a timeout of %v", announced, restBound)
				}
				return announced - restDelay/2 + restDelay*time.Duration(i)/restCallers
			})
		})
	}
}

// restServer is a server whose idle timeout is restBound until the responses have begun.
type restServer struct {
	*servedServer
	// begun counts the callers whose response has begun, and ended is closed once the responses may end, at endedAt.
	begun   sync.WaitGroup
	ended   chan struct{}
	endedAt time.Time
}

// newRestServer returns a server that changes its idle timeout, unless the new one is zero, between the headers and the ends of the first responses.
func newRestServer(t *testing.T, duringResponse time.Duration) *restServer {
	s := &restServer{ended: make(chan struct{})}
	s.servedServer = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rest" {
			_ = http.NewResponseController(w).Flush()
			s.begun.Done()
			<-s.ended
		}
		_, _ = io.WriteString(w, "served")
	})
	s.SetTimeouts(restBound, time.Hour)
	s.begun.Add(restCallers)
	go func() {
		s.begun.Wait()
		s.SetTimeouts(duringResponse, 0)
		s.endedAt = time.Now()
		close(s.ended)
	}()
	return s
}

// play has callers rest after a response for a time that depends on their number and on the time that the response announced, and send another
// request, which must be answered if it is sent within maxRest.
func (s *restServer) play(t *testing.T, duringRest time.Duration, rest func(i int, announced time.Duration) time.Duration) {
	time.AfterFunc(restBound/2, func() { s.SetTimeouts(duringRest, 0) })
	var callers sync.WaitGroup
	var inTime atomic.Int32
	for i := range restCallers {
		conn := s.dialSlowCaller(t)
		callers.Go(func() {
			caller := &testCaller{conn, bufio.NewReader(conn)}
			if err := caller.send(requestFor("/rest")); err != nil {
				t.Error(err)
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			response, err := http.ReadResponse(caller.reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				t.Error(err)
				return
			}
			resting := rest(i, announcedTime(response))
			time.Sleep(resting)
			err = caller.send(requestFor("/next"))
			<-s.ended
			rested := time.Since(s.endedAt)
			if err == nil {
				err = caller.readResponse()
			}
			if rested > maxRest {
				return
			}
			inTime.Add(1)
			if err != nil {
				t.Errorf("no response after a rest of %v: %v", resting, err)
			}
		})
	}
	callers.Wait()
	if inTime.Load() == 0 {
		t.Error("no request was sent in time, so the test checks nothing")
	}
}

// announcedTime returns the time in the Keep-Alive header of a response, or zero if there is none.
func announcedTime(response *http.Response) time.Duration {
	seconds, _ := strconv.Atoi(strings.TrimPrefix(response.Header.Get("Keep-Alive"), "timeout="))
	return time.Duration(seconds) * time.Second
}

// TestFirstRequestsAroundHeaderTimeoutAreAnswered sends the first requests of connections from just before the header timeout to a round trip after
// it, in one or two parts. It guards against callers that keep to the timeout and whose requests cross the close, and against a first header that is
// cut off since it began late.
func TestFirstRequestsAroundHeaderTimeoutAreAnswered(t *testing.T) {
	const (
		headerTimeout = restBound / 2
		// maxSent is the latest end of a request that is answered.
		maxSent = headerTimeout + restDelay + restDelay/2
	)
	for _, firstPart := range []int{0, 10} {
		t.Run(strconv.Itoa(firstPart), func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, time.Hour, headerTimeout)
			var callers sync.WaitGroup
			var inTime atomic.Int32
			for i := range restCallers {
				// The server starts to count later.
				opened := time.Now()
				caller := s.dial(t)
				callers.Go(func() {
					time.Sleep(time.Until(opened.Add(headerTimeout - restDelay/10 + restDelay*time.Duration(i)/restCallers)))
					request := requestFor("/1")
					err := caller.send(request[:firstPart])
					if firstPart > 0 {
						time.Sleep(restDelay / 4)
					}
					if err == nil {
						err = caller.send(request[firstPart:])
					}
					sent := time.Since(opened)
					if err == nil {
						err = caller.readResponse()
					}
					// On a busy machine a caller may be late.
					if sent > maxSent {
						return
					}
					inTime.Add(1)
					if err != nil {
						t.Errorf("no response to a first request %v after the opening: %v", sent, err)
					}
				})
			}
			callers.Wait()
			if inTime.Load() == 0 {
				t.Error("no request was sent in time, so the test checks nothing")
			}
		})
	}
}
