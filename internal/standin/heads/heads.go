// Package heads lists responses whose heads RFC 9112 excludes, for tests of all parts that read responses.
package heads

// Parts of sound heads.
const (
	version  = "HTTP/1.1"
	StatusOK = "200 OK"
	framed   = "Content-Length: 5\r\n\r\nwrong"
	noBody   = "\r\n"
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
	{"status 000 in chunks", version, "000 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
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
}
