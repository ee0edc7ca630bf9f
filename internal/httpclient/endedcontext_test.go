package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestEndedContextSendsNothing guards against sending a request whose context has ended on an idle connection, which closes the connection and
// leaves open whether the worker ran the request.
func TestEndedContextSendsNothing(t *testing.T) {
	connections := make(chan int, 10)
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, number int) {
		connections <- number
		for {
			request, _, err := readRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := New(DefaultSettings())
	if _, err := send(client, address, "1", ""); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("test cause")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	_, err := client.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	var failed *Error
	if !errors.As(err, &failed) || !failed.NothingSent() || !errors.Is(err, cause) {
		t.Errorf("got %v", err)
	}
	if _, err := send(client, address, "2", ""); err != nil {
		t.Fatal(err)
	}
	if opened := len(connections); opened != 1 {
		t.Errorf("%d connections were opened", opened)
	}
}
