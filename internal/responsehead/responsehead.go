// Package responsehead reads the heads of HTTP/1.1 responses. All parts that read responses from a connection of their own use it. The parser of net/http
// accepts more than RFC 9110 and RFC 9112 allow; Read returns an error for that, so that a faulty peer's bytes are not taken for a response.
//
// Invariants of a head that Read returns:
//   - its version is HTTP/1.x, and its status is between 100 and 599;
//   - its status is 101 only if it names the protocol that the request asks for;
//   - it has no transfer coding if its version is HTTP/1.0;
//   - the names of its fields and of the trailers that it announces are tokens, so a field that frames the body or ends the connection is found under its name.
//
// Its body ends with io.EOF only if the names of its trailers are tokens, too.
package responsehead

import (
	"bufio"
	"cmp"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxBytes bounds the head of a response, with the informational ones before it. The reader that is given to Read has to keep it.
const MaxBytes = 64 << 10

// protocolName begins each response.
const protocolName = "HTTP/"

// errNotHTTP is returned for bytes that begin no response.
var errNotHTTP = errors.New("received bytes that are not a response")

// Read reads the head of the response to a request and skips the informational ones (1xx) before it. Of the request, only the method and the Upgrade
// header count. After an error, nothing that follows on the connection can be attributed to a request.
func Read(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		if err := peekProtocol(reader); err != nil {
			return nil, err
		}
		head, err := parse(reader, request)
		if err == nil {
			err = check(head)
		}
		if err != nil {
			return nil, err
		}
		if isFinal(head) {
			head.Body = &body{head.Body, head}
			return head, nil
		}
	}
}

// The first bytes of a response of HTTP/1.0, and of HTTP/1.1.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// parse reads a head as net/http does, except for one of HTTP/1.0.
func parse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	begin, err := reader.Peek(len(version10))
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case string(begin) == version10:
		return parseVersion10(reader, request)
	default:
		return http.ReadResponse(reader, request)
	}
}

// parseVersion10 reads a head of HTTP/1.0, which has no transfer codings and no informational responses. net/http drops the Transfer-Encoding of such a
// head unseen, so it gets the head as one of HTTP/1.1. The connection is not used again, since the reader of the body takes what follows.
func parseVersion10(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	if _, err := reader.Discard(len(version10)); err != nil {
		return nil, err
	}
	head, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(version11), reader)), request)
	switch {
	case err != nil:
		return nil, err
	case len(head.TransferEncoding) > 0:
		return nil, errors.Newf("the response of version %s has transfer coding %q, allowed is none", version10, head.TransferEncoding)
	case head.StatusCode < http.StatusOK:
		return nil, errors.Newf("the response of version %s has status %03d, allowed are %d and above", version10, head.StatusCode, http.StatusOK)
	}
	head.Proto, head.ProtoMinor, head.Close = version10, 0, true
	return head, nil
}

// isFinal reports whether no other response to the same request follows.
func isFinal(head *http.Response) bool {
	return head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols
}

// peekProtocol returns an error unless the next bytes begin a response.
func peekProtocol(reader *bufio.Reader) error {
	begin, err := reader.Peek(len(protocolName))
	switch {
	case err == nil && string(begin) == protocolName:
		return nil
	case len(begin) == 0 || strings.HasPrefix(protocolName, string(begin)):
		return cmp.Or(err, io.ErrUnexpectedEOF)
	default:
		return errNotHTTP
	}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	head *http.Response
}

// Read implements io.Reader. At the end of the body, net/http has read its trailers into the head.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		return n, cmp.Or(checkNames(b.head.Trailer), err)
	}
	return n, err
}
