package tenant

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestTableReturnsTenantsKeysAndPriorities guards against a key found for the wrong tenant, and a lost priority.
func TestTableReturnsTenantsKeysAndPriorities(t *testing.T) {
	urgent := 0
	table, err := NewTable([]KeyGrant{{Name: "b", Keys: []string{"k3"}, Priority: &urgent}, {Name: "a", Keys: []string{"k1", "k2"}}})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "": "", "K1": ""} {
		found, known := table.Find(key)
		if known != (want != "") || (known && found.Name() != want) {
			t.Errorf("key %q: got %v, %v, want %q", key, found, known, want)
		}
	}
	if names := fmt.Sprint(table.Tenants()[0].Name(), table.Tenants()[1].Name()); names != "ab" {
		t.Errorf("tenants %s, want ab", names)
	}
	if priority, given := table.Tenants()[1].Priority(); !given || priority != 0 {
		t.Error("the granted priority is missing")
	}
	if _, given := table.Tenants()[0].Priority(); given {
		t.Error("a tenant without a priority has one")
	}
}

// TestNoKeyCanBeReadFromATableOrAnError guards against API keys that leak into logs or dumps.
func TestNoKeyCanBeReadFromATableOrAnError(t *testing.T) {
	table, err := NewTable([]KeyGrant{{Name: "a", Keys: []string{"secret-key-1"}}, {Name: "b", Keys: []string{"secret-key-1", "secret-key-2"}}})
	if err != nil || table.DuplicateKeys() != 1 {
		t.Fatalf("got %v, %d", err, table.DuplicateKeys())
	}
	found, _ := table.Find("secret-key-1")
	dump := fmt.Sprintf("%+v %#v %v %+v", table, table, table.byDigest, *found)
	_, duplicateName := NewTable([]KeyGrant{{Name: "a", Keys: []string{"secret-key-1"}}, {Name: "a", Keys: []string{"secret-key-2"}}})
	_, emptyKey := NewTable([]KeyGrant{{Name: "a", Keys: []string{"secret-key-1", ""}}})
	_, unnamed := NewTable([]KeyGrant{{Keys: []string{"secret-key-1"}}})
	if duplicateName == nil || emptyKey == nil || unnamed == nil {
		t.Error("invalid grants are accepted")
	}
	if text := fmt.Sprint(dump, duplicateName, emptyKey, unnamed); strings.Contains(text, "secret-key") {
		t.Errorf("a key is visible in %s", text)
	}
}

// TestFindMatchesGrants guards against a key that is found for another tenant or for none.
func TestFindMatchesGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.MapOf(rapid.StringMatching(`k[0-9]`), rapid.SampledFrom([]string{"a", "b", "c"})).Draw(t, "owners")
		keys := map[string][]string{}
		for key, owner := range owners {
			keys[owner] = append(keys[owner], key)
		}
		var grants []KeyGrant
		for owner, tenantKeys := range keys {
			grants = append(grants, KeyGrant{Name: owner, Keys: tenantKeys})
		}
		table, err := NewTable(grants)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 10 {
			key := fmt.Sprint("k", i)
			found, known := table.Find(key)
			owner, granted := owners[key]
			if known != granted || (known && found.Name() != owner) {
				t.Fatalf("key %s: got %v, want %q", key, found, owner)
			}
		}
	})
}

func BenchmarkFind(b *testing.B) {
	var grants []KeyGrant
	for i := range 500 {
		grants = append(grants, KeyGrant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i), fmt.Sprint("l", i), fmt.Sprint("m", i)}})
	}
	table, err := NewTable(grants)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		table.Find("l250")
	}
}

func BenchmarkNewTable(b *testing.B) {
	var grants []KeyGrant
	for i := range 500 {
		grants = append(grants, KeyGrant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i), fmt.Sprint("l", i), fmt.Sprint("m", i)}})
	}
	for b.Loop() {
		if _, err := NewTable(grants); err != nil {
			b.Fatal(err)
		}
	}
}
