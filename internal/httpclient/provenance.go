package httpclient

import "slices"

// ResponseKind is what a response says of the request that waits on its connection.
type ResponseKind int

// The kinds of responses. A refusal states that the peer has not processed a request and never will.
const (
	// KindResponse is the response to the request, and KindRefusal its refusal.
	KindResponse ResponseKind = iota
	KindRefusal
	// KindUnnamedRefusal is a refusal that does not name its request.
	KindUnnamedRefusal
	// KindOther belongs to another request.
	KindOther
)

// maxRefusedKeys bounds the keys that a connection remembers. After as many refusals it is not used again.
const maxRefusedKeys = 16

// provenance judges which responses on a connection belong to the request that waits there. A peer may send a response twice, and the second copy may
// come in the place where the next response is due.
//
// Invariants:
//   - a refusal is accepted for a request only if no earlier send on the connection, of whatever request, can have caused it;
//   - so a refusal that names no request counts only as the first response on a connection that has carried no other request;
//   - and a request that was refused on a connection is not sent on it again.
type provenance struct {
	// requests counts the requests that the connection has carried.
	requests int
	// refused are the keys of the requests that were refused.
	refused []string
	// isSpent is set if the connection must not carry another request.
	isSpent bool
}

// mayCarry reports whether a request with a key may be sent on the connection.
func (p *provenance) mayCarry(key string) bool {
	return !p.isSpent && (key == "" || !slices.Contains(p.refused, key))
}

// isUnused reports whether the connection has carried no request.
func (p *provenance) isUnused() bool { return p.requests == 0 }

// accept reports whether a response of a kind belongs to the request with a key that was sent last. Others have to be discarded.
func (p *provenance) accept(key string, kind ResponseKind) bool {
	accepted := kind != KindOther
	if kind == KindUnnamedRefusal {
		accepted = p.requests == 1
		p.isSpent = true
	}
	if kind == KindRefusal {
		p.refused = append(p.refused, key)
		p.isSpent = p.isSpent || len(p.refused) == maxRefusedKeys
	}
	return accepted
}
