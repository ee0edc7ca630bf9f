package transport

import (
	"encoding/binary"
	"io"
	"net/http"
)

// prefixBytes is the length of what stands before each message on a stream: a byte of flags and the length of the message.
const prefixBytes = 5

// messageClient is an HTTP client that sends each message of a streamed body in one frame.
type messageClient struct{ client *http.Client }

// Do is part of connect.HTTPClient.
func (c messageClient) Do(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		request.Body = &messageBody{body: request.Body}
	}
	return c.client.Do(request)
}

// messageBody reads a body of messages with prefixes. The body comes through a pipe, into which prefix and message are
// written one after the other; read as they come, each would be a frame of its own, with a system call here and a wake-up
// at the peer.
type messageBody struct {
	body   io.ReadCloser
	prefix [prefixBytes]byte
	// unread is the part of the prefix that was not handed out, and rest the length of the part of the message.
	unread []byte
	rest   uint32
}

// Read hands out a prefix together with the message after it, if there is room.
func (b *messageBody) Read(buffer []byte) (int, error) {
	if len(b.unread) == 0 && b.rest == 0 {
		if _, err := io.ReadFull(b.body, b.prefix[:]); err != nil {
			return 0, err
		}
		b.unread = b.prefix[:]
		b.rest = binary.BigEndian.Uint32(b.prefix[1:])
	}
	count := copy(buffer, b.unread)
	b.unread = b.unread[count:]
	room := buffer[count:]
	if len(room) == 0 || b.rest == 0 {
		return count, nil
	}
	read, err := b.body.Read(room[:min(uint32(len(room)), b.rest)])
	b.rest -= uint32(read)
	return count + read, err
}

// Close ends the body.
func (b *messageBody) Close() error { return b.body.Close() }
