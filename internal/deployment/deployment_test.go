package deployment

import (
	"testing"

	"github.com/granitebay/granitebay/internal/configuration"
)

// TestExamplesSelectAllWorkersOfDeployments guards against a deployment whose service or pools its example configuration does
// not select.
func TestExamplesSelectAllWorkersOfDeployments(t *testing.T) {
	for _, deployment := range All() {
		document, err := configuration.Example(deployment.Configuration)
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := configuration.Compile(document)
		if err != nil {
			t.Fatal(err)
		}
		for _, worker := range deployment.Workers {
			info := configuration.WorkerInfo{Service: deployment.Service, Labels: map[string]string{"pool": worker.Pool}}
			if _, selected := snapshot.GroupOf(info); !selected {
				t.Errorf("%s: no group selects %s", deployment.Name, worker.Name)
			}
		}
	}
}

// TestFindReportsAllowedNames guards against an unknown name that is accepted, or rejected without the allowed names.
func TestFindReportsAllowedNames(t *testing.T) {
	if found, err := Find(NameMagnolia); err != nil || len(found.Workers) != 18 {
		t.Errorf("deployment magnolia: %d workers, want 18; error %v", len(found.Workers), err)
	}
	if _, err := Find("none"); err == nil || err.Error() != `deployment "none", want one of fes, magnolia: unknown deployment` {
		t.Errorf("error %v", err)
	}
}
