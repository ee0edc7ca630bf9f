package transport

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
)

func TestMessageBody(t *testing.T) {
	message := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(text))), text...)
	}
	for _, test := range []struct {
		desc string
		// writes into the pipe.
		writes [][]byte
		buffer int
		reads  []string
	}{
		{desc: "prefix and message in one read", writes: [][]byte{message("roast")[:5], []byte("roast")}, buffer: 64, reads: []string{"\x00\x00\x00\x00\x05roast"}},
		{desc: "empty message", writes: [][]byte{message(""), message("a")}, buffer: 64, reads: []string{"\x00\x00\x00\x00\x00", "\x00\x00\x00\x00\x01a"}},
		{desc: "small buffer", writes: [][]byte{message("roast")}, buffer: 4, reads: []string{"\x00\x00\x00\x00", "\x05roa", "st"}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			reader, writer := io.Pipe()
			go func() {
				for _, data := range test.writes {
					_, _ = writer.Write(data)
				}
				_ = writer.Close()
			}()
			body := &messageBody{body: reader}
			buffer := make([]byte, test.buffer)
			for _, want := range test.reads {
				count, err := body.Read(buffer)
				if err != nil || !bytes.Equal(buffer[:count], []byte(want)) {
					t.Fatalf("got %q and %v, want %q", buffer[:count], err, want)
				}
			}
			if _, err := body.Read(buffer); err != io.EOF {
				t.Errorf("got %v at the end, want EOF", err)
			}
		})
	}
}
