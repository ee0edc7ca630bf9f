package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/tools/txtar"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
)

// keyFixture is a fixture whose tenants can be changed.
type keyFixture struct {
	*fixture
	stale        atomic.Bool
	public       bool
	workerTenant string
}

// TestCallerKeys guards against serving requests whose key belongs to no tenant, and against rejecting keys while the configuration may be
// out of date.
func TestCallerKeys(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/keys.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
				return wholeResponse(200, "answer"), nil
			}}
			k := &keyFixture{fixture: newFixture(t, fixtureOptions{}, workers)}
			workers.onRun = func(request *Request) { k.workerTenant = request.Tenant }
			k.handler.SetFreshness(func() bool { return !k.stale.Load() })
			for line := range strings.Lines(string(file.Data)) {
				k.step(t, strings.Fields(line))
			}
		})
	}
}

// TestKeysOfReplacedTableAreNotDenied guards against a request that is denied for good by an outdated table, because another one took its place
// and was confirmed after the request was matched.
func TestKeysOfReplacedTableAreNotDenied(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(200, "answer"), nil
	}}
	k := &keyFixture{fixture: newFixture(t, fixtureOptions{}, workers)}
	var replaced atomic.Bool
	k.handler.SetFreshness(func() bool {
		if replaced.CompareAndSwap(false, true) {
			k.setTenants(t, []string{"a=k1,k2"})
		}
		return true
	})
	k.setTenants(t, []string{"a=k1"})
	k.request(t, "k2", http.StatusServiceUnavailable, nil)
	k.request(t, "k2", http.StatusOK, nil)
	k.request(t, "k3", http.StatusUnauthorized, nil)
}

// step runs one line of a script.
func (k *keyFixture) step(t *testing.T, words []string) {
	t.Helper()
	switch words[0] {
	case "public":
		k.public = true
	case "stale", "fresh":
		k.stale.Store(words[0] == "stale")
	case "tenants":
		k.setTenants(t, words[1:])
	case "request":
		want, err := strconv.Atoi(words[2])
		if err != nil {
			t.Fatal(err)
		}
		k.request(t, words[1], want, words[3:])
	default:
		t.Fatalf("unknown step %q", words[0])
	}
}

// setTenants installs a configuration with the given tenants.
func (k *keyFixture) setTenants(t *testing.T, words []string) {
	t.Helper()
	changed := *k.handler.Table().Configuration()
	changed.Version++
	changed.Rules = []routing.Rule{changed.Rules[0]}
	changed.Rules[0].Public = k.public
	changed.Tenants = nil
	if words[0] != "-" {
		var grants []tenant.KeyGrant
		for _, word := range words {
			name, keys, _ := strings.Cut(word, "=")
			grants = append(grants, tenant.KeyGrant{Name: name, Keys: strings.FieldsFunc(keys, func(r rune) bool { return r == ',' })})
		}
		table, err := tenant.NewTable(grants)
		if err != nil {
			t.Fatal(err)
		}
		changed.Tenants = table
	}
	k.handler.SetTable(routing.NewTable(&changed, k.handler.Table()))
}

// request sends a request with a key and checks the status and the tenant that the worker received.
func (k *keyFixture) request(t *testing.T, key string, status int, wantTenant []string) {
	t.Helper()
	before := len(k.workers.runOptions)
	k.workerTenant = ""
	request, err := http.NewRequest(http.MethodGet, k.server.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "-" {
		request.Header.Set("Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != status || (len(k.workers.runOptions) > before) != (status == 200) {
		t.Errorf("key %s: got %d after %d runs, want %d", key, response.StatusCode, len(k.workers.runOptions)-before, status)
	}
	if status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Errorf("key %s: no Retry-After header", key)
	}
	if len(wantTenant) > 0 && strings.TrimPrefix(wantTenant[0], "-") != k.workerTenant {
		t.Errorf("key %s: the worker got tenant %q, want %s", key, k.workerTenant, wantTenant[0])
	}
}
