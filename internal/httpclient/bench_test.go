package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkDo measures a request on a kept connection, including the work of the peer.
func BenchmarkDo(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	client, ctx := New(DefaultSettings()), context.Background()
	request := &Request{Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Do(ctx, listener.Addr().String(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}
