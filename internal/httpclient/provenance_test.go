package httpclient

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// sentResponse is a response that a peer sends, with the send of a request that caused it.
type sentResponse struct {
	key                string
	send               int
	isRefusal, isNamed bool
}

// kindFor returns what a response says of the request with a key.
func (r sentResponse) kindFor(key string) ResponseKind {
	switch {
	case !r.isNamed && r.isRefusal:
		return KindUnnamedRefusal
	case !r.isNamed || r.key != key:
		return KindOther
	case r.isRefusal:
		return KindRefusal
	default:
		return KindResponse
	}
}

// simulatedConn is a connection to a peer that sends second copies of its responses whenever a later response is due, or never.
type simulatedConn struct {
	provenance
	late []sentResponse
}

// exchange sends a request on the connection, and returns the responses in their order.
func (c *simulatedConn) exchange(t *rapid.T, key string, send int) []sentResponse {
	var responses []sentResponse
	for _, late := range c.late {
		if rapid.Bool().Draw(t, "late copy is due") {
			responses = append(responses, late)
		}
	}
	own := sentResponse{key, send, rapid.Bool().Draw(t, "refuses"), rapid.Bool().Draw(t, "names")}
	c.late = append(c.late, own)
	if rapid.IntRange(0, 4).Draw(t, "surplus") == 0 {
		// Also what has nothing to do with the response itself.
		c.late = append(c.late, sentResponse{key, send, true, rapid.Bool().Draw(t, "surplus names")})
	}
	return append(responses, own)
}

// TestAcceptedRefusalsBelongToTheirSend guards against requests that run again, or are said not to have run, because a refusal of another request, or
// of an earlier send of the same, is accepted: with any order of sends, second copies and names. No request
// is sent again once it was answered.
func TestAcceptedRefusalsBelongToTheirSend(t *testing.T) {
	accepted, repeated := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var idle []*simulatedConn
		refusedBefore, answered := map[string]bool{}, map[string]bool{}
		for send := range rapid.IntRange(1, 30).Draw(t, "sends") {
			key := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "request"))
			if answered[key] {
				continue
			}
			conn := &simulatedConn{}
			for _, candidate := range idle {
				if candidate.mayCarry(key) && rapid.Bool().Draw(t, "reuses") {
					conn = candidate
					break
				}
			}
			if conn.requests == 0 {
				idle = append(idle, conn)
			}
			conn.requests++
			isDone := false
			for _, response := range conn.exchange(t, key, send) {
				if !conn.accept(key, response.kindFor(key)) {
					continue
				}
				if response.isRefusal && response.send != send {
					t.Fatalf("send %d of %s: accepted the refusal of send %d of %s", send, key, response.send, response.key)
				}
				accepted++
				if response.isRefusal && refusedBefore[key] {
					repeated++
				}
				refusedBefore[key] = refusedBefore[key] || response.isRefusal
				answered[key] = !response.isRefusal
				isDone = true
				break
			}
			if !isDone {
				// The request is given up, and its connection closed.
				answered[key], conn.isSpent = true, true
			}
		}
	})
	if accepted == 0 || repeated == 0 {
		t.Errorf("%d responses were accepted, %d of them refusals of requests that had been refused before, so the test checks nothing", accepted, repeated)
	}
}
