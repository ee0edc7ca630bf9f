package forward

import (
	"net/http"
	"testing"
)

// TestClosedConnectionAnnouncesNoIdleTime guards against a response that tells its caller how long the connection may be idle, although it closes
// behind the response.
func TestClosedConnectionAnnouncesNoIdleTime(t *testing.T) {
	header := http.Header{"Connection": {"keep-alive"}, "Keep-Alive": {"timeout=12"}}
	closeBehind(header)
	if got := header["Connection"]; len(got) != 1 || got[0] != "close" || header.Get("Keep-Alive") != "" {
		t.Errorf("got %v", header)
	}
}
