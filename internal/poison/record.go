package poison

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// BarPrefix is the prefix of the store keys of bars. The keys have no lease, because a bar must survive a restart of all gateways.
const BarPrefix = "barred/"

// BarKey returns the store key of the bar of a request.
func BarKey(digest Digest) string { return BarPrefix + digest.String() }

// record is the stored form of a bar. Its key contains the digest.
type record struct {
	Rule    string    `json:"rule,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	Workers []string  `json:"workers"`
	Times   int       `json:"times"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	// Part, Group and TrialDelayMs are set in bars of parts only.
	Part         string `json:"part,omitempty"`
	Group        string `json:"group,omitempty"`
	TrialDelayMs int64  `json:"trialDelayMs,omitempty"`
	// PartAtVersion replaces Part and Group in bars that are limited to a software version. Builds that don't know it keep such a bar as that of
	// a request that never comes.
	PartAtVersion *versionedPart `json:"partAtVersion,omitempty"`
}

// versionedPart is the stored form of a part that is limited to the workers of a software version.
type versionedPart struct {
	Part    string `json:"part"`
	Group   string `json:"group"`
	Version string `json:"version"`
}

// Encode returns the stored form of a bar.
func (b Bar) Encode() ([]byte, error) {
	written := record{
		Rule: b.Rule, Tenant: b.Tenant, Workers: b.Workers, Times: b.Times, Since: b.Since.UTC(), Until: b.Until.UTC(),
		TrialDelayMs: b.TrialDelay.Milliseconds(),
	}
	if b.Part.Version == "" {
		written.Part, written.Group = b.Part.ID, b.Part.Group
	} else {
		written.PartAtVersion = &versionedPart{Part: b.Part.ID, Group: b.Part.Group, Version: b.Part.Version}
	}
	value, err := json.Marshal(written)
	return value, errors.Wrapf(err, "encode the bar of request %s", b.Digest)
}

// DigestFromKey returns the digest in the key of a bar.
func DigestFromKey(key string) (Digest, error) {
	digest, err := ParseDigest(strings.TrimPrefix(key, BarPrefix))
	return digest, errors.Wrapf(err, "read the bar %s", key)
}

// DecodeBar decodes a stored bar.
func DecodeBar(key string, value []byte) (Bar, error) {
	digest, err := DigestFromKey(key)
	if err != nil {
		return Bar{}, err
	}
	var read record
	if err := json.Unmarshal(value, &read); err != nil {
		return Bar{}, errors.Wrapf(err, "read the bar %s", key)
	}
	part := Part{Group: read.Group, ID: read.Part}
	if limited := read.PartAtVersion; limited != nil {
		part = Part{Group: limited.Group, ID: limited.Part, Version: limited.Version}
	}
	if !part.IsZero() && part.Digest() != digest {
		return Bar{}, errors.Newf("read the bar %s: it names the part %s, whose digest is %s", key, part, part.Digest())
	}
	return Bar{
		Part: part, TrialDelay: time.Duration(read.TrialDelayMs) * time.Millisecond,
		Digest: digest, Rule: read.Rule, Tenant: read.Tenant, Workers: read.Workers, Times: read.Times, Since: read.Since, Until: read.Until,
	}, nil
}
