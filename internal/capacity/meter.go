package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/platform"
)

// traffic counts messages and bytes.
type traffic struct{ messages, bytes int }

// meter counts what one real router spends.
type meter struct {
	// busy is the processor time of the thread in the steps of the core, and in decoding and encoding its messages.
	busy     time.Duration
	sent     map[string]traffic
	received map[string]traffic
	requests map[string]int
	// asked is what each open request to the platform asks.
	asked map[platform.RequestID]string
	// wholeReads are the bytes of the latest answer to each request that reads a whole list.
	wholeReads map[string]int
}

func newMeter() *meter {
	m := &meter{asked: map[platform.RequestID]string{}, wholeReads: map[string]int{}}
	m.reset()
	return m
}

// reset begins to count anew.
func (m *meter) reset() {
	m.busy = 0
	m.sent, m.received, m.requests = map[string]traffic{}, map[string]traffic{}, map[string]int{}
}

// threadTime is the processor time that the calling thread has used. The caller must be locked to its thread.
func threadTime() time.Duration {
	var spent unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent) != nil {
		return 0
	}
	return time.Duration(spent.Nano())
}

// time runs something and adds its processor time.
func (m *meter) time(run func()) {
	begin := threadTime()
	run()
	m.busy += threadTime() - begin
}

func add(counts map[string]traffic, kind string, bytes int) {
	entry := counts[kind]
	counts[kind] = traffic{messages: entry.messages + 1, bytes: entry.bytes + bytes}
}

// kindOf names the body of an envelope, for example "PoolDigest".
func kindOf(envelope *granitebayv1.Envelope) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", envelope.GetBody()), "*granitebayv1.Envelope_")
}

// countSent counts a message that the router sends, and encodes it at its cost.
func (m *meter) countSent(envelope *granitebayv1.Envelope) {
	var encoded []byte
	m.time(func() { encoded, _ = proto.Marshal(envelope) })
	add(m.sent, kindOf(envelope), len(encoded))
}

// receive counts a message that the router gets, and decodes it at its cost.
func (m *meter) receive(envelope *granitebayv1.Envelope) *granitebayv1.Envelope {
	encoded, _ := proto.Marshal(envelope)
	add(m.received, kindOf(envelope), len(encoded))
	decoded := &granitebayv1.Envelope{}
	m.time(func() { _ = proto.Unmarshal(encoded, decoded) })
	return decoded
}

// receiveJSON counts something that comes as JSON, and decodes it at the cost of the router.
func receiveJSON[T any](m *meter, kind string, value *T) *T {
	decoded, bytes := decodeJSON(m, value)
	add(m.received, kind, bytes)
	return decoded
}

// decodeJSON decodes something at the cost of the router, and returns its size.
func decodeJSON[T any](m *meter, value *T) (decoded *T, bytes int) {
	encoded, _ := json.Marshal(value)
	decoded = new(T)
	m.time(func() { _ = json.Unmarshal(encoded, decoded) })
	return decoded, len(encoded)
}

// receiveResponse counts an answer of the platform. Answers with whole lists are rare and counted apart.
func (m *meter) receiveResponse(response *platform.Response) *platform.Response {
	kind := m.asked[response.ID]
	delete(m.asked, response.ID)
	decoded, bytes := decodeJSON(m, response)
	if isWholeRead(kind) {
		m.wholeReads[kind] = bytes
	} else {
		add(m.received, "answer to "+kind, bytes)
	}
	return decoded
}

// isWholeRead tells whether a request reads a whole list.
func isWholeRead(kind string) bool { return kind == listMembers || strings.HasPrefix(kind, listPrefix) }

// Names of the requests that read whole lists. The prefix of the keys follows the second one.
const (
	listMembers = "ListMembers"
	listPrefix  = "List "
)

// requestKind names what a request asks, for example "KeepAlive".
func requestKind(request platform.Request) string {
	if list, ok := request.(platform.List); ok {
		return listPrefix + list.Prefix
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", request), "platform.")
}

// countJSON counts something that the router sends as JSON.
func (m *meter) countJSON(kind string, value any) {
	encoded, _ := json.Marshal(value)
	add(m.sent, kind, len(encoded))
}

// countRequest counts a request to the platform.
func (m *meter) countRequest(id platform.RequestID, request platform.Request) {
	kind := requestKind(request)
	m.asked[id] = kind
	if isWholeRead(kind) {
		return
	}
	m.requests[kind]++
	m.countJSON("platform requests", request)
}
