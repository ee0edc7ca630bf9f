package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/heads"
)

// TestMalformedHeadClosesConnection guards against a malformed head that is taken for the response to its request, and against bytes behind it that are
// taken for the response to this request or the next one.
func TestMalformedHeadClosesConnection(t *testing.T) {
	checkMalformed(t, heads.Malformed, StepAwait)
}

// TestMalformedTrailersCloseConnection guards against the same for trailers.
func TestMalformedTrailersCloseConnection(t *testing.T) {
	checkMalformed(t, heads.MalformedTrailers, StepReceive)
}

// checkMalformed fails the test unless each response fails its request in a step and closes its connection.
func checkMalformed(t *testing.T, malformed []heads.Response, step Step) {
	t.Helper()
	const closeTime = time.Second
	for _, response := range malformed {
		t.Run(response.Desc, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, number int) {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				if number > 1 {
					_, _ = io.WriteString(connection, headOfOwn+"Content-Length: 5\r\n\r\nhello")
					return
				}
				_, _ = io.WriteString(connection, response.Text("Id: 1\r\n")+headOfOwn+"Content-Length: 6\r\n\r\nbehind")
				_, _ = io.Copy(io.Discard, reader)
				close(closed)
			})
			client := New(DefaultSettings())
			got, err := send(client, address, "1", "")
			var failed *Error
			if !errors.As(err, &failed) || failed.Step != step || failed.FailureCause() != CauseOther {
				t.Fatalf("got %q, %v, want a response that is malformed", got, err)
			}
			select {
			case <-closed:
			case <-time.After(closeTime):
				t.Error("the connection was not closed")
			}
			if got, err := send(client, address, "1", ""); err != nil || got != "hello" {
				t.Errorf("the next request got %q, %v", got, err)
			}
		})
	}
}

// TestUnusualResponsesAreWhole guards against a response that RFC 9112 allows, or lets a recipient accept, and that fails its request or harms the next one.
func TestUnusualResponsesAreWhole(t *testing.T) {
	for _, ends := range []bool{false, true} {
		responses := heads.Unusual
		if ends {
			responses = heads.UnusualUntilEnd
		}
		for _, response := range responses {
			t.Run(response.Desc, func(t *testing.T) {
				t.Parallel()
				address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
					for {
						if _, _, err := readRequest(reader); err != nil {
							return
						}
						_, _ = io.WriteString(connection, response.Text("Id: 1\r\n"))
						if ends {
							return
						}
					}
				})
				client := New(DefaultSettings())
				for range 3 {
					if got, err := send(client, address, "1", ""); err != nil || got != heads.UnusualBody {
						t.Errorf("got %q, %v", got, err)
					}
				}
			})
		}
	}
}
