package responsehead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/responsehead"
	"github.com/granitebay/granitebay/internal/standin/heads"
)

// wholeResponse is a response without a fault.
const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// read reads the head of a response from a text.
func read(text string) (*http.Response, error) {
	return responsehead.Read(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodPost})
}

// TestMalformedHeadIsNoResponse guards against a malformed head that is taken for a response, and against one that is skipped, so that what follows it is
// taken for the response.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, response := range heads.Malformed {
		t.Run(response.Desc, func(t *testing.T) {
			for _, text := range []string{response.Text(""), response.Text("") + wholeResponse} {
				if head, err := read(text); err == nil {
					t.Errorf("read %q as %s with %v", text, head.Status, head.Header)
				}
			}
		})
	}
}
