package responsehead

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/excerpt"
)

// check returns an error for a head that net/http accepts and the RFCs exclude.
func check(head *http.Response) error {
	return cmp.Or(checkVersion(head), checkStatus(head), checkNames(head.Header), checkNames(head.Trailer), checkUpgrade(head))
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

// checkNames returns an error if the name of a field or a trailer is not a token. net/http accepts names with spaces, also before the colon, and leaves them
// as they are.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return errors.Newf("the response has field name %q, allowed are tokens", excerpt.Of(name, excerpt.IDBytes))
		}
	}
	return nil
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
