package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// uploadReader is how a worker reads a long request.
type uploadReader struct {
	desc string
	// atOnce is the number of bytes of a read, and pause the time between two.
	atOnce int
	pause  time.Duration
}

// read reads until the connection ends.
func (r uploadReader) read(reader io.Reader) {
	if r.atOnce == 0 {
		return
	}
	buffer := make([]byte, r.atOnce)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return
		}
		time.Sleep(r.pause)
	}
}

// TestResetDuringUploadIsNotWhole guards against a response without a length that is taken for a whole one although its worker reset the connection, while
// the request was still being written, or had just been.
func TestResetDuringUploadIsNotWhole(t *testing.T) {
	const tries, maxTime = 4, 5 * time.Second
	var played atomic.Int64
	t.Cleanup(func() { t.Logf("%d responses were reset", played.Load()) })
	for _, worker := range []uploadReader{
		{desc: "nothing"}, {desc: "slowly", atOnce: 4 << 10, pause: time.Millisecond}, {desc: "at once", atOnce: 64 << 10},
	} {
		for _, upload := range []int{4 << 10, 64 << 10, 1 << 20, 16 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("the worker reads %s, upload of %d bytes, reset after %s", worker.desc, upload, pause), func(t *testing.T) {
					t.Parallel()
					body := strings.Repeat("x", upload)
					for _, part := range []int{0, 10, 100 << 10} {
						for range tries {
							address := startOneConnection(t, func(connection *net.TCPConn, reader *bufio.Reader) {
								if _, err := http.ReadRequest(reader); err != nil {
									return
								}
								go worker.read(reader)
								_, _ = io.WriteString(connection, headOfOwn+"\r\n"+strings.Repeat("y", part))
								time.Sleep(pause)
								_ = connection.SetLinger(0)
							})
							ctx, cancel := context.WithTimeout(t.Context(), maxTime)
							got, err := uploadTo(ctx, address, body)
							cancel()
							played.Add(1)
							if err == nil || errors.Is(err, context.DeadlineExceeded) {
								t.Errorf("got %d of %d bytes, %v", got, part, err)
							}
						}
					}
				})
			}
		}
	}
}

// uploadTo sends a request and returns how many bytes of the response came.
func uploadTo(ctx context.Context, address, body string) (int64, error) {
	response, err := New(DefaultSettings()).Do(ctx, address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(body),
	})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}
