// Package poison finds requests that end the workers that run them, and keeps them from further workers. In the field such a request
// is known as a query of death or a poison message: its caller sends it again, each time as a new request, and each time another
// worker is lost with all that it was running.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// digestBytes is the size of a digest: half of a SHA-256. Nobody can find another request with the digest of a given one, so nobody
// can have the request of somebody else barred.
const digestBytes = 16

// Digest names what a request asks for. Two requests with one digest are the same to a worker, whatever their ids.
type Digest [digestBytes]byte

// Asked is what makes two requests the same.
type Asked struct {
	// Tenant of the caller, as workers are told it; empty where the configuration has none.
	Tenant string
	Method string
	Host   string
	// Target is the path with the query, byte for byte as the caller wrote it.
	Target string
	Body   []byte
}

// Digest returns the digest of a request.
func (a Asked) Digest() Digest {
	sum := sha256.New()
	for _, field := range [][]byte{[]byte(a.Tenant), []byte(a.Method), []byte(a.Host), []byte(a.Target), a.Body} {
		// Lengths keep the fields apart.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		sum.Write(size[:])
		sum.Write(field)
	}
	return Digest(sum.Sum(nil)[:digestBytes])
}

// String returns the digest as hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest as String writes it.
func ParseDigest(text string) (Digest, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != digestBytes {
		return Digest{}, errors.Newf("digest: %q is not allowed; %d hexadecimal digits are needed", text, 2*digestBytes)
	}
	return Digest(decoded), nil
}
