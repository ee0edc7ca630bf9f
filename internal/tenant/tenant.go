// Package tenant holds whose key is whose. A table keeps no key: each is hashed with a secret of the process, and looked up by its
// hash, so that neither a dump nor a log of a table shows one, and the time of a look-up tells nothing of the keys that are there.
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

// Grant says which keys a tenant has. Keys are only read to make a table.
type Grant struct {
	Name string
	Keys []string
	// Priority of the requests of the tenant, 0 the most urgent; nil leaves that of the rule.
	Priority *int
}

// Tenant is one that sends requests.
type Tenant struct {
	name     string
	keys     int
	priority *int
}

// Name of the tenant.
func (t *Tenant) Name() string { return t.name }

// Keys returns how many keys the tenant has.
func (t *Tenant) Keys() int { return t.keys }

// Priority returns the rank of the requests of the tenant, 0 the most urgent, and false when that of their rule holds.
func (t *Tenant) Priority() (int, bool) {
	if t.priority == nil {
		return 0, false
	}
	return *t.priority, true
}

// digest is a key as a table keeps it.
type keyDigest [sha256.Size]byte

// Table finds the tenant of a key. It is never changed, and safe for concurrent use.
type Table struct {
	tenants  []*Tenant
	byDigest map[keyDigest]*Tenant
	// doubled counts keys that more than one tenant has.
	duplicateKeys int
}

// NewTable returns the table of some grants. The error names the tenant at fault, and no key.
func NewTable(grants []Grant) (*Table, error) {
	table := &Table{byDigest: map[keyDigest]*Tenant{}}
	names := map[string]bool{}
	for _, grant := range grants {
		if grant.Name == "" {
			return nil, errors.New("field name of a tenant: it is empty; a name is needed")
		}
		if names[grant.Name] {
			return nil, errors.Newf("tenant %q: it is there twice; names must differ", grant.Name)
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

// add takes the keys of a tenant. A key that another tenant has already stays there: one key in doubt must not keep a whole
// configuration out of force.
func (t *Table) addKeys(tenant *Tenant, keys []string) error {
	for i, key := range keys {
		if key == "" {
			return errors.Newf("tenant %q, key %d: it is empty; a key is needed", tenant.name, i)
		}
		hashed := newKeyDigest(key)
		if other, taken := t.byDigest[hashed]; taken && other != tenant {
			t.duplicateKeys++
			continue
		}
		t.byDigest[hashed] = tenant
	}
	return nil
}

// Find returns the tenant that has a key.
func (t *Table) Find(key string) (*Tenant, bool) {
	if key == "" {
		return nil, false
	}
	found, known := t.byDigest[newKeyDigest(key)]
	return found, known
}

// Doubled returns how many keys a second tenant has too. They belong to the first.
func (t *Table) Doubled() int {
	if t == nil {
		return 0
	}
	return t.duplicateKeys
}

// Tenants returns all tenants by name.
func (t *Table) Tenants() []*Tenant { return t.tenants }

// secretBytes is the length of the secret: that of the hash, as RFC 2104 advises.
const digestSecretBytes = sha256.Size

// secret is drawn once by each process, so that hashes of two processes have nothing to do with each other.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, digestSecretBytes)
	// It never fails.
	_, _ = rand.Read(secret)
	return secret
})

// digestOf hashes a key.
func newKeyDigest(key string) keyDigest {
	hash := hmac.New(sha256.New, digestSecret())
	_, _ = hash.Write([]byte(key))
	return keyDigest(hash.Sum(nil))
}
