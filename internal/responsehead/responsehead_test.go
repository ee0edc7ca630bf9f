package responsehead_test

import (
	"bufio"
	"io"
	"net/http"
	"slices"
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

// TestMalformedTrailersEndNoBody guards against a body that counts as whole although the trailers behind it are malformed.
func TestMalformedTrailersEndNoBody(t *testing.T) {
	for _, response := range heads.MalformedTrailers {
		t.Run(response.Desc, func(t *testing.T) {
			head, err := read(response.Text(""))
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(head.Body); err == nil {
				t.Errorf("read body %q with trailers %v", body, head.Trailer)
			}
		})
	}
}

// TestUnusualResponsesAreRead guards against a response that is rejected, or read in part, although RFC 9112 allows it or lets a recipient accept it.
func TestUnusualResponsesAreRead(t *testing.T) {
	for _, response := range slices.Concat(heads.Unusual, heads.UnusualUntilEnd) {
		t.Run(response.Desc, func(t *testing.T) {
			head, err := read(response.Text(""))
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(head.Body); err != nil || string(body) != heads.UnusualBody {
				t.Errorf("read body %q, %v", body, err)
			}
		})
	}
}

// TestFieldNamesAreTokens guards against a character in a field name that RFC 9110 excludes and Read accepts, or the other way round.
func TestFieldNamesAreTokens(t *testing.T) {
	const tokenChars = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for char := range 256 {
		isExcluded := !strings.Contains(tokenChars, string(rune(char)))
		switch char {
		case ':', '\n':
			// They end the name, or the line.
			continue
		}
		for _, name := range []string{string([]byte{byte(char)}), string([]byte{'a', byte(char)}), string([]byte{'a', byte(char), 'b'})} {
			text := "HTTP/1.1 200 OK\r\n" + name + ": c\r\nContent-Length: 0\r\n\r\n"
			if _, err := read(text); (err != nil) != isExcluded {
				t.Errorf("field name %q: got %v, want an error: %t", name, err, isExcluded)
			}
		}
	}
}
