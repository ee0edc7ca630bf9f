// Package tenant maps API keys to tenants. A table stores no keys, only their HMACs with a random secret of the
// process, so that neither dumps nor logs of a table reveal keys, and the time of a lookup does not depend on how much of a key
// is right.
package tenant

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// KeyGrant lists the keys of a tenant. A Table keeps only their digests.
type KeyGrant struct {
	Name string
	Keys []string
	// Priority of the tenant's requests, 0 being the most urgent; nil uses the priority of the rule.
	Priority *int
}

// Tenant is a tenant in a Table.
type Tenant struct {
	name     string
	keys     int
	priority *int
}

// Name returns the name of the tenant.
func (t *Tenant) Name() string { return t.name }

// Keys returns the number of keys that are listed for the tenant, including those that belong to an earlier one.
func (t *Tenant) Keys() int { return t.keys }

// Priority returns the priority of the tenant's requests, 0 being the most urgent, or false if the priority of the rule applies.
func (t *Tenant) Priority() (int, bool) {
	if t.priority == nil {
		return 0, false
	}
	return *t.priority, true
}

// keyDigest is the HMAC of a key.
type keyDigest [sha256.Size]byte

// Table looks up the tenant of a key. It is immutable and safe for concurrent use.
type Table struct {
	tenants  []*Tenant
	byDigest map[keyDigest]*Tenant
	// duplicateKeys counts the keys that are listed for a second tenant.
	duplicateKeys int
}

// NewTable returns a table of the grants. The error identifies the invalid tenant and never contains a key.
func NewTable(grants []KeyGrant) (*Table, error) {
	table := &Table{byDigest: map[keyDigest]*Tenant{}}
	names := map[string]bool{}
	for i, grant := range grants {
		if grant.Name == "" {
			return nil, errors.Newf("tenants[%d]: name is missing", i)
		}
		if names[grant.Name] {
			return nil, errors.Newf("tenant %q: duplicate name; names must be unique", grant.Name)
		}
		names[grant.Name] = true
		tenant := &Tenant{name: grant.Name, keys: len(grant.Keys), priority: grant.Priority}
		table.tenants = append(table.tenants, tenant)
		if err := table.addKeys(tenant, grant.Keys); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(table.tenants, func(a, b *Tenant) int { return strings.Compare(a.name, b.name) })
	return table, nil
}

// addKeys adds the keys of a tenant. A key that an earlier tenant already has is skipped and counted, because an error would
// reject the whole configuration.
func (t *Table) addKeys(tenant *Tenant, keys []string) error {
	for i, key := range keys {
		if key == "" {
			return errors.Newf("tenant %q: key %d (counted from 0) is empty", tenant.name, i)
		}
		digest := newKeyDigest(key)
		if other, taken := t.byDigest[digest]; taken && other != tenant {
			t.duplicateKeys++
			continue
		}
		t.byDigest[digest] = tenant
	}
	return nil
}

// Find returns the tenant that a key belongs to.
func (t *Table) Find(key string) (*Tenant, bool) {
	if key == "" {
		return nil, false
	}
	found, known := t.byDigest[newKeyDigest(key)]
	return found, known
}

// DuplicateKeys returns the number of keys that are listed for a second tenant. Each key belongs to the first tenant for which it
// is listed. A nil Table has none.
func (t *Table) DuplicateKeys() int {
	if t == nil {
		return 0
	}
	return t.duplicateKeys
}

// Priorities returns the different priorities of the tenants; nil stands for tenants without one. A nil Table has none.
func (t *Table) Priorities() []*int {
	if t == nil {
		return nil
	}
	var priorities []*int
	for _, tenant := range t.tenants {
		if !slices.ContainsFunc(priorities, func(known *int) bool { return samePriority(known, tenant.priority) }) {
			priorities = append(priorities, tenant.priority)
		}
	}
	return priorities
}

// samePriority reports whether two priorities are equal or both missing.
func samePriority(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Tenants returns all tenants sorted by name. The caller must not modify the slice.
func (t *Table) Tenants() []*Tenant { return t.tenants }

// digestSecretBytes is the length of the HMAC secret, that of the hash (RFC 2104, section 3).
const digestSecretBytes = sha256.Size

// digestSecret returns a random secret generated once per process, so that digests cannot be compared between processes.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, digestSecretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	return secret
})

// newKeyDigest computes the HMAC of a key.
func newKeyDigest(key string) keyDigest {
	hash := hmac.New(sha256.New, digestSecret())
	_, _ = hash.Write([]byte(key))
	return keyDigest(hash.Sum(nil))
}
