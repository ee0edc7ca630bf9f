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
type digest [sha256.Size]byte

// Table finds the tenant of a key. It is never changed, and safe for concurrent use.
type Table struct {
	tenants  []*Tenant
	byDigest map[digest]*Tenant
	// doubled counts keys that more than one tenant has.
	doubled int
}

// NewTable returns the table of some grants. The error names the tenant at fault, and no key.
func NewTable(grants []Grant) (*Table, error) {
	table := &Table{byDigest: map[digest]*Tenant{}}
	named := map[string]bool{}
	for _, grant := range grants {
		if grant.Name == "" {
			return nil, errors.New("field name of a tenant: it is empty; a name is needed")
		}
		if named[grant.Name] {
			return nil, errors.Newf("tenant %q: it is there twice; names must differ", grant.Name)
		}
		named[grant.Name] = true
		one := &Tenant{name: grant.Name, keys: len(grant.Keys), priority: grant.Priority}
		table.tenants = append(table.tenants, one)
		if err := table.add(one, grant.Keys); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(table.tenants, func(a, b *Tenant) int { return strings.Compare(a.name, b.name) })
	return table, nil
}

// add takes the keys of a tenant. A key that another tenant has already stays there: one key in doubt must not keep a whole
// configuration out of force.
func (t *Table) add(one *Tenant, keys []string) error {
	for i, key := range keys {
		if key == "" {
			return errors.Newf("tenant %q, key %d: it is empty; a key is needed", one.name, i)
		}
		hashed := digestOf(key)
		if other, taken := t.byDigest[hashed]; taken && other != one {
			t.doubled++
			continue
		}
		t.byDigest[hashed] = one
	}
	return nil
}

// Find returns the tenant that has a key.
func (t *Table) Find(key string) (*Tenant, bool) {
	if key == "" {
		return nil, false
	}
	found, known := t.byDigest[digestOf(key)]
	return found, known
}

// Doubled returns how many keys a second tenant has too. They belong to the first.
func (t *Table) Doubled() int {
	if t == nil {
		return 0
	}
	return t.doubled
}

// Tenants returns all tenants by name.
func (t *Table) Tenants() []*Tenant { return t.tenants }

// secretBytes is the length of the secret: that of the hash, as RFC 2104 advises.
const secretBytes = sha256.Size

// secret is drawn once by each process, so that hashes of two processes have nothing to do with each other.
var secret = sync.OnceValue(func() []byte {
	drawn := make([]byte, secretBytes)
	// It never fails.
	_, _ = rand.Read(drawn)
	return drawn
})

// digestOf hashes a key.
func digestOf(key string) digest {
	hash := hmac.New(sha256.New, secret())
	_, _ = hash.Write([]byte(key))
	return digest(hash.Sum(nil))
}
