package simulation

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// trace is a digest over all events of a run in order.
type trace struct {
	digest  *xxhash.Digest
	scratch [8]byte
	buffer  []byte
	events  uint64
}

func newTrace() *trace { return &trace{digest: xxhash.New()} }

// add takes one event into the digest.
func (t *trace) add(at time.Duration, kind string, parts ...string) {
	t.events++
	t.number(uint64(at))
	t.text(kind)
	for _, part := range parts {
		t.text(part)
	}
}

// bytes takes the content of an event into the digest.
func (t *trace) bytes(content []byte) {
	t.number(uint64(len(content)))
	_, _ = t.digest.Write(content)
}

func (t *trace) text(content string) {
	t.number(uint64(len(content)))
	_, _ = t.digest.WriteString(content)
}

func (t *trace) number(value uint64) {
	binary.LittleEndian.PutUint64(t.scratch[:], value)
	_, _ = t.digest.Write(t.scratch[:])
}

// sum returns the digest of all events up to now.
func (t *trace) sum() uint64 { return t.digest.Sum64() }

// formatDigest renders a digest.
func formatDigest(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// value takes a message of the ports into the digest.
func (t *trace) value(at time.Duration, kind, party string, value any) {
	t.add(at, kind, party)
	_, _ = fmt.Fprintf(t.digest, "%T%+v", value, value)
}

// envelope takes an envelope into the digest.
func (t *trace) envelope(at time.Duration, envelope *granitebayv1.Envelope) {
	t.add(at, "envelope", envelope.GetTo())
	content, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(t.buffer[:0], envelope)
	if err != nil {
		panic(err) // envelopes always marshal
	}
	t.buffer = content
	t.bytes(content)
}
