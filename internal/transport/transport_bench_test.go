package transport

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// startTransport serves a transport on loopback and returns it with its address.
func startTransport(b *testing.B, name string, deliver func(*granitebayv1.Envelope)) (*Transport, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().String()
	transport := New(Options{
		Self:    &granitebayv1.Peer{Name: name, Address: address},
		Deliver: deliver, Unreachable: func(string) {}, Logger: logrus.StandardLogger(),
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(transport.Handler())
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close(); transport.Close() })
	return transport, address
}

// BenchmarkRoundTrip measures the time from a Generate to the Progress that answers it, one at a time with pauses, as a
// lone request meets it.
func BenchmarkRoundTrip(b *testing.B) {
	const pause = 2 * time.Millisecond
	answered := make(chan struct{}, 1)
	agent, agentAddress := startTransport(b, "agent", func(*granitebayv1.Envelope) { answered <- struct{}{} })
	var router *Transport
	router, routerAddress := startTransport(b, "router", func(*granitebayv1.Envelope) {
		router.Send(core.Message{To: "agent", Address: agentAddress, Envelope: &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Progress{
			Progress: &granitebayv1.Progress{RequestId: "cafe-1/1", Tokens: []string{"roast"}},
		}}})
	})
	var times []time.Duration
	for b.Loop() {
		begun := time.Now()
		agent.Send(core.Message{To: "router", Address: routerAddress, Envelope: &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Generate{
			Generate: &granitebayv1.Generate{Work: &granitebayv1.Work{RequestId: "cafe-1/1", Prompt: "Is it ground for a moka pot?"}},
		}}})
		<-answered
		times = append(times, time.Since(begun))
		time.Sleep(pause)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "median-µs")
	b.ReportMetric(float64(times[len(times)*95/100].Microseconds()), "p95-µs")
}
