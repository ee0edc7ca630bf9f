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

var testOrder = order{
	kind:   class{name: "quick", deadline: 10 * time.Second, wanted: 10 * time.Second},
	tenant: "cafe", id: "01M8TV82FSD4KWQPSGE56P4G3K", model: "model", prompt: "grind size", answerTokens: 4,
}

// piece is the events of some tokens of the answer to testOrder.
func piece(from, to int) string { return pieceOf(from, expectedAnswer(testOrder)[from:to]) }

// pieceOf is the events of tokens from a place on.
func pieceOf(from int, tokens []string) string {
	var text strings.Builder
	for i, token := range tokens {
		fmt.Fprintf(&text, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", from+i+1, token)
	}
	return text.String()
}

const testEnd = "id: 5\ndata: [DONE]\n\n"

func TestCallTellsHowARequestEnded(t *testing.T) {
	tests := []struct {
		desc   string
		status int
		body   string
		want   outcome
		wrong  bool
		untold bool
	}{
		{desc: "whole and right", body: piece(0, 1) + piece(1, 4) + testEnd, want: outcomeAnswered},
		{desc: "a wrong word", body: piece(0, 2) + pieceOf(2, []string{" no", " way"}) + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "a piece is missing", body: piece(0, 1) + piece(2, 4) + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "a piece came twice", body: piece(0, 2) + piece(0, 2) + piece(2, 4) + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "it ends too early", body: piece(0, 3) + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "it ends too late", body: piece(0, 4) + pieceOf(4, []string{" more"}) + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "an event cannot be read", body: "data: {\n\n" + testEnd, want: outcomeAnswered, wrong: true},
		{desc: "the stream breaks off", body: piece(0, 2), want: outcomeUnknown, untold: true},
		{desc: "wrong before it breaks off", body: piece(1, 2), want: outcomeUnknown, wrong: true, untold: true},
		{desc: "the stream says that it broke off", body: piece(0, 2) + "event: error\ndata: {\"error\":\"the time is over\"}\n\n", want: outcomeUnknown},
		{desc: "not run", status: 503, want: outcomeNotRun},
		{desc: "time over", status: 504, want: outcomeUnknown},
		{desc: "failed", status: 502, want: outcomeFailed},
		{desc: "not valid", status: 400, want: outcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(lo.CoalesceOrEmpty(test.status, http.StatusOK))
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			asked := testOrder
			asked.gateway = server.Listener.Addr().String()
			got := caller{client: server.Client()}.call(t.Context(), asked)
			if got.outcome != test.want || got.wrong != test.wrong || got.told == test.untold {
				t.Errorf("outcome %s, wrong %t, told %t: %s", got.outcome, got.wrong, got.told, got.detail)
			}
		})
	}
}

func TestCallSendsWhatTheRulesSelectOn(t *testing.T) {
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { header = request.Header }))
	defer server.Close()
	asked := testOrder
	asked.kind.once = true
	asked.gateway = server.Listener.Addr().String()
	caller{client: server.Client()}.call(t.Context(), asked)
	for name, want := range map[string]string{
		completions.HeaderTenant: "cafe", completions.HeaderLabels: "class=quick", completions.HeaderDeadline: "10s",
		completions.HeaderRepeatable: "false", completions.HeaderRequestID: asked.id,
	} {
		if got := header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
}
