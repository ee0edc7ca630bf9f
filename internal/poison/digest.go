// Package poison detects requests that crash the workers that run them, and stops routing them to further workers. Such a request is
// known as a query of death or a poison message: its caller retries it, each time as a new request, and each retry crashes another
// worker and fails all requests that it runs. Any unplanned end of a worker's process counts as a crash, since the gateway cannot
// determine the cause.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// digestBytes is the size of a digest: half of a SHA-256. Second preimages are infeasible, so no caller can craft a request whose
// crashes bar the request of another caller.
const digestBytes = 16

// Digest identifies the content of a request. Requests with the same digest are the same to a worker, whatever their ids.
type Digest [digestBytes]byte

// Request is the content of a request that its digest covers.
type Request struct {
	// Tenant of the caller, as workers receive it; empty if the configuration defines none.
	Tenant string
	Method string
	Host   string
	// Target is the path with the query, byte for byte as the caller sent it.
	Target string
	Body   []byte
}

// Digest returns the digest of the request.
func (r Request) Digest() Digest {
	sum := sha256.New()
	for _, field := range [][]byte{[]byte(r.Tenant), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		// Length prefixes keep the field boundaries unambiguous.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		sum.Write(size[:])
		sum.Write(field)
	}
	return Digest(sum.Sum(nil)[:digestBytes])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the format of Digest.String.
func ParseDigest(text string) (Digest, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != digestBytes {
		return Digest{}, errors.Newf("digest: %q is not allowed; %d hexadecimal digits are needed", text, 2*digestBytes)
	}
	return Digest(decoded), nil
}
