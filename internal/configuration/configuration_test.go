package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// exampleEngines returns the engines of a deployment.
func exampleEngines(zones string, each int) []EngineInfo {
	var engines []EngineInfo
	for _, zone := range zones {
		for i := 1; i <= each; i++ {
			engines = append(engines, EngineInfo{
				Name:   fmt.Sprintf("engine-%c-%d", zone, i),
				Labels: map[string]string{LabelZone: "zone-" + string(zone)},
			})
		}
	}
	return engines
}

func TestExamplesAreValidAndMatchEverything(t *testing.T) {
	tests := []struct {
		desc     string
		example  string
		engines  []EngineInfo
		requests map[string]string
	}{
		{
			desc: "Fès", example: ExampleFes, engines: exampleEngines("abcd", 3),
			requests: map[string]string{"history": "history", "quick": "quick", "billing": "billing"},
		},
		{
			desc: "Magnolia", example: ExampleMagnolia, engines: exampleEngines("abc", 6),
			requests: map[string]string{"manifest": "manifest", "rate-check": "rate-check", "pickup": "pickup-confirmation"},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			document, err := Example(test.example)
			if err != nil {
				t.Fatal(err)
			}
			if warnings := Warnings(document, test.engines); len(warnings) > 0 {
				t.Errorf("warnings: %s", strings.Join(warnings, "\n"))
			}
			snapshot, err := Compile(document)
			if err != nil {
				t.Fatal(err)
			}
			for class, want := range test.requests {
				repeatable := fmt.Sprint(class != "billing" && class != "pickup")
				rule, found := snapshot.RuleFor(map[string]string{LabelClass: class, LabelRepeatable: repeatable})
				if !found || rule.Name != want {
					t.Errorf("class %s: rule %q, want %q", class, rule.Name, want)
				}
			}
		})
	}
}
