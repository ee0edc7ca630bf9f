package callers

import (
	"fmt"
	"testing"
	"time"
)

// TestUnreadBytesAreReported guards against a request that waits on a connection which nobody reads, and of which nobody tells; and against
// reports of connections that are as they should be.
func TestUnreadBytesAreReported(t *testing.T) {
	const least = 20 * time.Millisecond
	s := newTestServer(t, time.Hour, time.Hour)
	idle, fresh, unread := s.dial(t), s.dial(t), s.dial(t)
	for _, caller := range []*testCaller{idle, unread} {
		caller.request(t, "/1")
	}
	check := func(desc, want string) {
		t.Helper()
		time.Sleep(2 * least)
		s.reportUnread(least)
		if got := s.recorder.String(); got != want {
			t.Errorf("%s: reported %q, want %q", desc, got, want)
		}
	}
	check("connections without unread bytes", "")
	// The next request is sent by the handler. Sent before, it might be in the buffer of net/http, and no byte would be unread.
	var blocked <-chan struct{}
	s.onHook = func() {
		if err := fresh.send(requestFor("/pipelined")); err != nil {
			t.Error(err)
		}
		check("a request behind one that is handled", "")
		time.Sleep(testStall)
		blocked = s.listener.beforeRead.close()
	}
	fresh.request(t, pathHook)
	<-blocked
	s.reportUnread(testStall)
	if got := s.recorder.String(); got != "" {
		t.Errorf("a request that came long before its turn: reported %q", got)
	}
	s.listener.beforeRead.open()
	if err := fresh.readResponse(); err != nil {
		t.Fatal(err)
	}
	s.onHook = func() { blocked = s.listener.beforeRead.close() }
	unread.request(t, pathHook)
	<-blocked
	request := requestFor("/unread")
	if err := unread.send(request); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprint(len(request), " unread bytes, next request")
	s.reportUnread(time.Hour)
	check("a request that nobody reads", want)
	check("a request that was reported", want)
	s.listener.beforeRead.open()
	if err := unread.readResponse(); err != nil {
		t.Fatal(err)
	}
	check("a request that was read", want)
	unread.request(t, pathHook)
	<-blocked
	if err := unread.send(request); err != nil {
		t.Fatal(err)
	}
	check("another request that nobody reads", want+", "+want)
	s.listener.beforeRead.open()
	if err := unread.readResponse(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkReportUnread measures the look at an idle connection.
func BenchmarkReportUnread(b *testing.B) {
	const resting = 1000
	s := newPlainTestServer(b)
	for range resting {
		s.dial(b).request(b, "/1")
	}
	b.ReportAllocs()
	for b.Loop() {
		s.reportUnread(maxUnreadTime)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/resting, "ns/connection")
}
