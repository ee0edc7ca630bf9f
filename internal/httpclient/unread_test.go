package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestResponseToUnreadRequestIsRead guards against a response that is not read because its worker closed the connection before the rest of the
// request could be written: a worker that refuses requests when it is full does so.
func TestResponseToUnreadRequestIsRead(t *testing.T) {
	const tries = 100
	address := startWorker(t, func(connection net.Conn, _ *bufio.Reader, _ int) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 7\r\nConnection: close\r\n\r\nrefused")
	})
	client := New(DefaultSettings())
	for _, bodyBytes := range []int{0, maxSyncBodyBytes / 2, maxSyncBodyBytes, maxSyncBodyBytes + 1, 1 << 20} {
		lost := 0
		for range tries {
			got, err := send(client, address, "1", strings.Repeat("x", bodyBytes))
			if err != nil || got != "refused" {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d responses to requests with a body of %d bytes were lost", lost, tries, bodyBytes)
		}
	}
}

// arrivalTime is the time in which what was sent arrives on the same machine.
const arrivalTime = 50 * time.Millisecond

// stopTime is the time within which workers have to learn that a request has ended.
const stopTime = 500 * time.Millisecond

// TestResponseThatHasArrivedOutlastsItsRequest guards against a response that is dropped although it has arrived, because the time of its request
// is over before it is read: after a suspension of the process both are due at once.
func TestResponseThatHasArrivedOutlastsItsRequest(t *testing.T) {
	const body = "a whole response"
	for _, test := range []struct {
		name, length, sent string
		// ends is set if the worker closes its sending half, and whole if the response is read to its end.
		ends, whole bool
	}{
		{"whole", fmt.Sprint("Content-Length: ", len(body), "\r\n"), body, false, true},
		{"whole by its end", "Connection: close\r\n", "", true, true},
		{"a part", fmt.Sprint("Content-Length: ", len(body), "\r\n"), body[:4], false, false},
		{"nothing", fmt.Sprint("Content-Length: ", len(body), "\r\n"), "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			hasHeader, hasSent := make(chan struct{}), make(chan struct{})
			address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+test.length+"\r\n")
				// The client reads the header with what comes with it.
				<-hasHeader
				_, _ = io.WriteString(connection, test.sent)
				if test.ends {
					_ = connection.(*net.TCPConn).CloseWrite()
				}
				close(hasSent)
				_, _ = io.Copy(io.Discard, reader)
				closed <- time.Now()
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			client := New(DefaultSettings())
			response, err := client.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			close(hasHeader)
			<-hasSent
			time.Sleep(arrivalTime)
			ended := time.Now()
			cancel(context.DeadlineExceeded)
			time.Sleep(lateReadTime / 10)
			got, err := io.ReadAll(response.Body)
			if test.whole != (err == nil && string(got) == test.sent) {
				t.Errorf("got %q, %v", got, err)
			}
			if took := (<-closed).Sub(ended); took > stopTime {
				t.Errorf("the worker saw the end after %s", took)
			}
		})
	}
}

// TestEndedRequestIsNotReadForever guards against a worker that goes on with a request that has ended because nobody reads its response.
func TestEndedRequestIsNotReadForever(t *testing.T) {
	closed := make(chan struct{})
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		defer close(closed)
		if _, _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100_000))
			_, _ = io.Copy(io.Discard, reader)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := New(DefaultSettings()).Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	cancel()
	select {
	case <-closed:
	case <-time.After(stopTime):
		t.Error("the connection is still open")
	}
}
