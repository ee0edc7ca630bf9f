package versionsync

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/streamversion"
)

// TestAskReturnsWhatTheGatewayKnows guards against an answer that says something else than the gateway that was asked.
func TestAskReturnsWhatTheGatewayKnows(t *testing.T) {
	stream := streamversion.Stream{Key: 1<<63 + 5, Services: []string{"a b", "c&d"}, Lifetime: 6 * time.Second}
	sole := streamversion.Outlook{Versions: 1, Only: streamversion.Version{Service: "a b", Software: "v1"}, IsComplete: true}
	for _, want := range []Answer{
		{Found: true, Service: "a b", Software: "v1", AgeMs: 17},
		{},
		func() (answer Answer) { answer.SetOutlook(sole); return }(),
	} {
		server := httptest.NewServer(Handler(func(asked streamversion.Stream) Answer {
			if asked.Key != stream.Key || asked.Lifetime != stream.Lifetime || strings.Join(asked.Services, ",") != strings.Join(stream.Services, ",") {
				t.Errorf("asked for %+v", asked)
			}
			return want
		}))
		got, err := New().Ask(t.Context(), strings.TrimPrefix(server.URL, "http://"), stream)
		server.Close()
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

// TestInvalidQuestionIsRefused guards against an answer to a question that was not understood, which the other gateway would take for evidence.
func TestInvalidQuestionIsRefused(t *testing.T) {
	server := httptest.NewServer(Handler(func(streamversion.Stream) Answer { return Answer{Found: true} }))
	defer server.Close()
	for _, query := range []string{
		"", "key=x&service=s&lifetime_ms=1", "key=1&lifetime_ms=1", "key=1&service=s", "key=1&service=s&lifetime_ms=-1", "key=1&service=s&lifetime_ms=600001",
		"key=1&lifetime_ms=1" + strings.Repeat("&service=s", maxServices+1),
	} {
		response, err := http.Get(server.URL + Path + "?" + query)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: status %d", query, response.StatusCode)
		}
	}
}

// TestSilentGatewayIsAnError guards against a gateway without an answer, such as one of another build, that is taken for one without a record.
func TestSilentGatewayIsAnError(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	if answer, err := New().Ask(t.Context(), strings.TrimPrefix(server.URL, "http://"), streamversion.Stream{Services: []string{"s"}}); err == nil {
		t.Errorf("got %+v", answer)
	}
}
