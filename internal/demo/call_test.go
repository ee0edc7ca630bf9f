package demo

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/completions"
)

var testRequest = request{
	class:  requestClass{name: "quick", deadline: 10 * time.Second, latencyTarget: 10 * time.Second},
	tenant: "cafe", id: "01M8TV82FSD4KWQPSGE56P4G3K", model: "model", prompt: "grind size", answerTokens: 4,
}

// answerEvents returns the events of the tokens [from, to) of the answer to testRequest.
func answerEvents(from, to int) string { return eventsFrom(from, expectedAnswer(testRequest)[from:to]) }

// eventsFrom returns the events of tokens, numbered from an index on.
func eventsFrom(from int, tokens []string) string {
	var text strings.Builder
	for i, token := range tokens {
		fmt.Fprintf(&text, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", from+i+1, token)
	}
	return text.String()
}

const doneEvent = "id: 5\ndata: [DONE]\n\n"

func TestCallReportsOutcome(t *testing.T) {
	tests := []struct {
		desc       string
		status     int
		body       string
		want       outcome
		wrong      bool
		unreported bool
	}{
		{desc: "complete and correct", body: answerEvents(0, 1) + answerEvents(1, 4) + doneEvent, want: outcomeAnswered},
		{desc: "wrong token", body: answerEvents(0, 2) + eventsFrom(2, []string{" no", " way"}) + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "missing event", body: answerEvents(0, 1) + answerEvents(2, 4) + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "duplicate event", body: answerEvents(0, 2) + answerEvents(0, 2) + answerEvents(2, 4) + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "ends too early", body: answerEvents(0, 3) + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "ends too late", body: answerEvents(0, 4) + eventsFrom(4, []string{" more"}) + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "invalid event", body: "data: {\n\n" + doneEvent, want: outcomeAnswered, wrong: true},
		{desc: "stream aborted", body: answerEvents(0, 2), want: outcomeUnknown, unreported: true},
		{desc: "wrong event before the stream is aborted", body: answerEvents(1, 2), want: outcomeUnknown, wrong: true, unreported: true},
		{desc: "error event", body: answerEvents(0, 2) + "event: error\ndata: {\"error\":\"the time is over\"}\n\n", want: outcomeUnknown},
		{desc: "not run", status: 503, want: outcomeNotRun},
		{desc: "timeout", status: 504, want: outcomeUnknown},
		{desc: "failed", status: 502, want: outcomeFailed},
		{desc: "invalid request", status: 400, want: outcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(lo.CoalesceOrEmpty(test.status, http.StatusOK))
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			req := testRequest
			req.gateway = server.Listener.Addr().String()
			res := caller{client: server.Client()}.call(t.Context(), req)
			if res.outcome != test.want || res.wrong != test.wrong || res.outcomeReported == test.unreported {
				t.Errorf("outcome %s, wrong %t, outcome reported %t: %s", res.outcome, res.wrong, res.outcomeReported, res.detail)
			}
		})
	}
}

func TestCallSendsRoutingHeaders(t *testing.T) {
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { header = request.Header }))
	defer server.Close()
	req := testRequest
	req.class.nonIdempotent = true
	req.gateway = server.Listener.Addr().String()
	caller{client: server.Client()}.call(t.Context(), req)
	for name, want := range map[string]string{
		completions.HeaderTenant: "cafe", completions.HeaderLabels: "class=quick", completions.HeaderDeadline: "10s",
		completions.HeaderRepeatable: "false", completions.HeaderRequestID: req.id,
	} {
		if got := header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
}
