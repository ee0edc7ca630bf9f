// Package responsehead reads the heads of HTTP/1.1 responses. All parts that read responses from a connection of their own use it. The parser of net/http
// accepts more than RFC 9110 and RFC 9112 allow; Read returns an error for that, so that a faulty peer's bytes are not taken for a response.
//
// Invariants of a head that Read returns:
//   - its version is HTTP/1.x, and its status is between 100 and 599;
//   - its status is 101 only if it names the protocol that the request asks for;
//   - it has no transfer coding if its version is HTTP/1.0;
//   - the names of its fields are tokens, so a field that frames the body or ends the connection is found under its name.
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

	"github.com/granitebay/granitebay/internal/excerpt"
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

// parse reads a head as net/http does, with the difference that HTTP/1.0 has no transfer codings and no informational responses.
func parse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	// An error of Peek is that of the next read, too.
	if begin, _ := reader.Peek(len(version10)); string(begin) != version10 {
		return http.ReadResponse(reader, request)
	}
	if _, err := reader.Discard(len(version10)); err != nil {
		return nil, err
	}
	// net/http drops the Transfer-Encoding of HTTP/1.0 unseen. The new reader takes what follows on the connection, which is not used again.
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

// check returns an error for a head that net/http accepts and the RFCs exclude.
func check(head *http.Response) error {
	return cmp.Or(checkVersion(head), checkStatus(head), checkNames(head.Header), checkUpgrade(head))
}

// checkVersion returns an error for a version whose messages don't have the format that was read. net/http accepts all versions of two digits.
func checkVersion(head *http.Response) error {
	if head.ProtoMajor != 1 {
		return errors.Newf("the response has version %s, allowed is HTTP/1.x", head.Proto)
	}
	return nil
}

// checkStatus returns an error for a status outside the range of RFC 9110. net/http accepts three bytes that are a number with or without a sign.
func checkStatus(head *http.Response) error {
	const minStatus, maxStatus = 100, 599
	if head.StatusCode < minStatus || head.StatusCode > maxStatus {
		return errors.Newf("the response has status %03d, allowed are %d to %d", head.StatusCode, minStatus, maxStatus)
	}
	return nil
}

// checkNames returns an error if the name of a field is not a token. net/http leaves a name with a blank as it is, also if the blank is before the colon.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return errors.Newf("the response has field name %q, allowed are tokens", excerpt.Of(name, excerpt.IDBytes))
		}
	}
	return nil
}

// tokenSymbols are the characters of tokens that are neither letters nor digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether a text is a token of RFC 9110.
func isToken(text string) bool {
	for _, char := range []byte(text) {
		isLetter := 'a' <= char|0x20 && char|0x20 <= 'z'
		isDigit := '0' <= char && char <= '9'
		if !isLetter && !isDigit && strings.IndexByte(tokenSymbols, char) < 0 {
			return false
		}
	}
	return text != ""
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

// checkUpgrade returns an error for a response that switches the connection to another protocol than the request asks for, if any. What follows it is no
// response.
func checkUpgrade(head *http.Response) error {
	if head.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	asked, chosen := head.Request.Header.Get("Upgrade"), head.Header.Get("Upgrade")
	if asked == "" || !strings.EqualFold(asked, chosen) {
		return errors.Newf("the response switches to protocol %q, allowed is %q", excerpt.Of(chosen, excerpt.IDBytes), asked)
	}
	return nil
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
