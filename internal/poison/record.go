package poison

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Prefix of the keys of bars in the store. They go with no lease: a bar outlives all gateways.
const Prefix = "barred/"

// KeyOf returns the key of the bar of a request.
func KeyOf(digest Digest) string { return Prefix + digest.String() }

// record is a bar as it lies in the store. Its key names the request.
type record struct {
	Rule    string    `json:"rule,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	Workers []string  `json:"workers"`
	Times   int       `json:"times"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
}

// Encode returns a bar as it lies in the store.
func (b Bar) Encode() ([]byte, error) {
	value, err := json.Marshal(record{
		Rule: b.Rule, Tenant: b.Tenant, Workers: b.Workers, Times: b.Times, Since: b.Since.UTC(), Until: b.Until.UTC(),
	})
	return value, errors.Wrap(err, "step encode a bar")
}

// AskedOf returns the request whose bar a key holds.
func AskedOf(key string) (Digest, error) {
	digest, err := ParseDigest(strings.TrimPrefix(key, Prefix))
	return digest, errors.Wrapf(err, "step read a bar, key %s", key)
}

// DecodeBar reads a bar.
func DecodeBar(key string, value []byte) (Bar, error) {
	digest, err := AskedOf(key)
	if err != nil {
		return Bar{}, err
	}
	var read record
	if err := json.Unmarshal(value, &read); err != nil {
		return Bar{}, errors.Wrapf(err, "step read a bar, key %s", key)
	}
	return Bar{
		Asked: digest, Rule: read.Rule, Tenant: read.Tenant, Workers: read.Workers, Times: read.Times, Since: read.Since, Until: read.Until,
	}, nil
}
