// Package heads lists responses whose heads RFC 9112 excludes, and unusual ones that it allows, for tests of all parts that read responses.
package heads

// Parts of sound responses. The body is an event, so that it can reach callers on each kind of route.
const (
	body     = "id: 1\ndata: wrong\n\n"
	version  = "HTTP/1.1"
	StatusOK = "200 OK"
	framed   = "Content-Length: 19\r\n\r\n" + body
	chunked  = "13\r\n" + body + "\r\n0\r\n\r\n"
	noBody   = "\r\n"
	lastPart = "Transfer-Encoding: chunked\r\n\r\n13\r\n" + body + "\r\n0\r\n"
)

// Response is a response as its peer sends it.
type Response struct {
	Desc string
	// Version and Status make the first line.
	Version, Status string
	// Framed are the last fields of the head, the empty line and the body.
	Framed string
}

// Text returns the response with some fields, each of which ends with its line end, before its own.
func (r Response) Text(fields string) string {
	return r.Version + " " + r.Status + "\r\n" + fields + r.Framed
}

// Malformed are responses with a head that the grammar excludes.
var Malformed = []Response{
	{"status 000", version, "000 OK", framed},
	{"status 000 without a reason", version, "000 ", noBody},
	{"status 000 without a body", version, "000 OK", noBody},
	{"status 000 in chunks", version, "000 OK", "Transfer-Encoding: chunked\r\n\r\n" + chunked},
	{"status 001", version, "001 OK", noBody},
	{"status 099", version, "099 OK", noBody},
	{"status with a plus sign", version, "+20 OK", noBody},
	{"status with a minus sign", version, "-20 OK", framed},
	{"status of minus zero", version, "-00 OK", noBody},
	{"status 600", version, "600 OK", framed},
	{"status 999", version, "999 OK", framed},
	{"status of two digits", version, "20 OK", framed},
	{"status of four digits", version, "2000 OK", framed},
	{"status that is no number", version, "2x0 OK", framed},
	{"no status", version, "", framed},
	{"tab behind the status", version, "200\tOK", framed},
	{"unrequested upgrade", version, "101 Switching Protocols", noBody},
	{"unrequested upgrade, named", version, "101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"},
	{"version 2.0", "HTTP/2.0", StatusOK, framed},
	{"version 3.0", "HTTP/3.0", StatusOK, framed},
	{"version 0.9", "HTTP/0.9", StatusOK, framed},
	{"version 0.9 without a length", "HTTP/0.9", StatusOK, "\r\n" + body},
	{"version 9.9", "HTTP/9.9", StatusOK, framed},
	{"version of one number", "HTTP/1", StatusOK, framed},
	{"version of two digits", "HTTP/1.10", StatusOK, framed},
	{"version with a leading zero", "HTTP/01.1", StatusOK, framed},
	{"version with a sign", "HTTP/+1.1", StatusOK, framed},
	{"version with letters", "HTTP/1.x", StatusOK, framed},
	{"no version", "HTTP/", StatusOK, framed},
	{"protocol in lower case", "http/1.1", StatusOK, framed},
	{"another protocol", "ICY/1.1", StatusOK, framed},
	{"space before the protocol", " HTTP/1.1", StatusOK, framed},
	{"name with a space inside", version, StatusOK, "A b: c\r\n" + framed},
	{"name with a space before the colon", version, StatusOK, "A : b\r\n" + framed},
	{"name with a tab before the colon", version, StatusOK, "A\t: b\r\n" + framed},
	{"name with a tab inside", version, StatusOK, "A\tb: c\r\n" + framed},
	{"name with a NUL", version, StatusOK, "A\x00b: c\r\n" + framed},
	{"name with a carriage return", version, StatusOK, "A\rb: c\r\n" + framed},
	{"name with an escape", version, StatusOK, "A\x1bb: c\r\n" + framed},
	{"name with a DEL", version, StatusOK, "A\x7fb: c\r\n" + framed},
	{"name with a byte above ASCII", version, StatusOK, "A\xe9: b\r\n" + framed},
	{"name in parentheses", version, StatusOK, "(A): b\r\n" + framed},
	{"empty name", version, StatusOK, ": b\r\n" + framed},
	{"no colon", version, StatusOK, "A\r\n" + framed},
	{"space before the colon of the length", version, StatusOK, "Content-Length : 19\r\n\r\n" + body},
	{"space before the colon of a second length", version, StatusOK, "Content-Length : 2\r\n" + framed},
	{"space before the colon of the coding", version, StatusOK, "Transfer-Encoding : chunked\r\n\r\n" + chunked},
	{"space before the colon of the coding, and a length", version, StatusOK, "Transfer-Encoding : chunked\r\n" + framed},
	{"version 1.0 in chunks", "HTTP/1.0", StatusOK, "Transfer-Encoding: chunked\r\n\r\n" + chunked},
	{"version 1.0 in chunks, and a length", "HTTP/1.0", StatusOK, "Transfer-Encoding: chunked\r\n" + framed},
	{"version 1.0 of another coding", "HTTP/1.0", StatusOK, "Transfer-Encoding: gzip\r\n" + framed},
	{"version 1.0, informational", "HTTP/1.0", "100 Continue", noBody},
	{"another coding", version, StatusOK, "Transfer-Encoding: gzip\r\n" + framed},
	{"coding twice", version, StatusOK, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked},
	{"two lengths", version, StatusOK, "Content-Length: 2\r\n" + framed},
	{"length with a sign", version, StatusOK, "Content-Length: +19\r\n\r\n" + body},
	{"announced trailer with a space in its name", version, StatusOK, "Trailer: A b\r\n" + lastPart + "\r\n"},
	{"announced trailer with a control byte in its name", version, StatusOK, "Trailer: A, B\x7f\r\n" + lastPart + "\r\n"},
	{"space before the colon of Connection", version, StatusOK, "Connection : close\r\n" + framed},
	{"value with a NUL", version, StatusOK, "A: b\x00c\r\n" + framed},
	{"value with a carriage return", version, StatusOK, "A: b\rc\r\n" + framed},
	{"value with an escape", version, StatusOK, "A: b\x1bc\r\n" + framed},
}

// UnusualBody is the body of the unusual responses.
const UnusualBody = body

// Unusual are responses that the grammar allows, or that RFC 9112 lets a recipient accept. Those in UnusualUntilEnd end with their connection.
var (
	Unusual = []Response{
		{"version 1.0", "HTTP/1.0", StatusOK, framed},
		{"version 1.0 that stays open", "HTTP/1.0", StatusOK, "Connection: keep-alive\r\n" + framed},
		{"version 1.2", "HTTP/1.2", StatusOK, framed},
		{"version 1.9 in chunks", "HTTP/1.9", StatusOK, "Transfer-Encoding: chunked\r\n\r\n" + chunked},
		{"no reason", version, "200 ", framed},
		{"no space behind the status", version, "200", framed},
		{"two spaces before the status", version, " 200 OK", framed},
		{"reason of several words", version, "200 Quite all right", framed},
		{"reason of bytes above ASCII", version, "200 \xe9\xe8", framed},
		{"reason with a control byte", version, "200 O\x01K", framed},
		{"status without a name", version, "299 Unnamed", framed},
		{"informational heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 199 Unnamed\r\n\r\n" + version, StatusOK, framed},
		{"name of all kinds of characters", version, StatusOK, "aZ09!#$%&'*+-.^_`|~: b\r\n" + framed},
		{"name in lower case", version, StatusOK, "content-length: 19\r\n\r\n" + body},
		{"no space behind the colon", version, StatusOK, "Content-Length:19\r\n\r\n" + body},
		{"spaces and tabs around the value", version, StatusOK, "Content-Length: \t 19 \t\r\n\r\n" + body},
		{"spaces and tabs within the value", version, StatusOK, "A: b \t c\r\n" + framed},
		{"empty value", version, StatusOK, "A:\r\n" + framed},
		{"value of bytes above ASCII", version, StatusOK, "A: \xe9\xe8\r\n" + framed},
		{"folded line", version, StatusOK, "A: b\r\n c\r\n\td\r\n" + framed},
		{"line ends without a carriage return", version, StatusOK, "A: b\nContent-Length: 19\n\n" + body},
		{"length twice", version, StatusOK, "Content-Length: 19\r\n" + framed},
		{"length and chunks", version, StatusOK, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked},
		{"coding in upper case", version, StatusOK, "Transfer-Encoding: CHUNKED\r\n\r\n" + chunked},
		{"chunk with an extension", version, StatusOK, "Transfer-Encoding: chunked\r\n\r\n13;a=b\r\n" + body + "\r\n0\r\n\r\n"},
		{"trailers", version, StatusOK, lastPart + "A: b\r\nC:\r\n\r\n"},
		{"announced trailer", version, StatusOK, "Trailer: A, B\r\n" + lastPart + "A: b\r\n\r\n"},
		{"folded trailer", version, StatusOK, lastPart + "A: b\r\n c\r\n\r\n"},
	}
	UnusualUntilEnd = []Response{
		{"version 1.0 without a length", "HTTP/1.0", StatusOK, "\r\n" + body},
		{"version 1.9 without a length", "HTTP/1.9", StatusOK, "\r\n" + body},
		{"no length, and a connection that is to stay open", version, StatusOK, "Connection: keep-alive\r\n\r\n" + body},
	}
)

// MalformedTrailers are responses with trailers that the grammar excludes.
var MalformedTrailers = []Response{
	{"trailer with a space in its name", version, StatusOK, lastPart + "A b: c\r\n\r\n"},
	{"trailer with a space before the colon", version, StatusOK, lastPart + "A : b\r\n\r\n"},
	{"second trailer with a space before the colon", version, StatusOK, lastPart + "A: b\r\nC : d\r\n\r\n"},
	{"announced trailer with a space before the colon", version, StatusOK, "Trailer: A\r\n" + lastPart + "A : b\r\n\r\n"},
	{"trailer with a tab in its name", version, StatusOK, lastPart + "A\tb: c\r\n\r\n"},
	{"trailer with a NUL in its name", version, StatusOK, lastPart + "A\x00: b\r\n\r\n"},
	{"trailer with a DEL in its name", version, StatusOK, lastPart + "A\x7f: b\r\n\r\n"},
	{"trailer with an empty name", version, StatusOK, lastPart + ": b\r\n\r\n"},
	{"trailer without a colon", version, StatusOK, lastPart + "A\r\n\r\n"},
	{"trailer with a NUL in its value", version, StatusOK, lastPart + "A: b\x00\r\n\r\n"},
}
