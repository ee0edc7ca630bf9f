package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// exampleWorkers returns workers of a service that are all labeled with the same pool.
func exampleWorkers(service, pool string, count int) []WorkerInfo {
	var workers []WorkerInfo
	for i := range count {
		workers = append(workers, WorkerInfo{
			Address: fmt.Sprintf("%s-%d", pool, i+1), Service: service,
			Labels: map[string]string{LabelZone: "zone-a", "pool": pool},
		})
	}
	return workers
}

// TestExamplesSelectAllWorkersAndRequests guards against shipped examples whose groups or rules miss workers or requests.
func TestExamplesSelectAllWorkersAndRequests(t *testing.T) {
	tests := []struct {
		desc     string
		example  string
		workers  []WorkerInfo
		requests map[string]string
	}{
		{
			desc: "Fès", example: ExampleFes, workers: exampleWorkers("roastmind", "counter", 12),
			requests: map[string]string{"history": "history", "quick": "quick", "billing": "billing"},
		},
		{
			desc: "Magnolia", example: ExampleMagnolia,
			workers:  append(exampleWorkers("dispatch-llm", "dock", 12), exampleWorkers("dispatch-llm", "rates", 6)...),
			requests: map[string]string{"manifest": "manifest", "rate-check": "rate-check", "pickup": "pickup-confirmation"},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			document, err := Example(test.example)
			if err != nil {
				t.Fatal(err)
			}
			if warnings := Warnings(document, test.workers); len(warnings) > 0 {
				t.Errorf("warnings: %s", strings.Join(warnings, "\n"))
			}
			snapshot, err := Compile(document)
			if err != nil {
				t.Fatal(err)
			}
			for class, want := range test.requests {
				repeatable := fmt.Sprint(class != "billing" && class != "pickup")
				rule, found := snapshot.RuleFor(map[string]string{"class": class, LabelRepeatable: repeatable})
				if !found || rule.Name != want {
					t.Errorf("class %s: rule %q, want %q", class, rule.Name, want)
				}
			}
			if err := snapshot.Routing().Validate(); err == nil {
				t.Error("Validate accepts a routing configuration without services")
			}
		})
	}
}
