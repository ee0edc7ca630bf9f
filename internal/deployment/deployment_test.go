package deployment

import (
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

func TestSizesAreThoseOfTheFleets(t *testing.T) {
	tests := []struct {
		desc                            string
		deployment                      Deployment
		zones, routers, engines, agents int
		lastEngine                      string
	}{
		{desc: "Fès Roasters", deployment: Fes(), zones: 4, routers: 8, engines: 12, agents: 4, lastEngine: "engine-d-3"},
		{desc: "Magnolia", deployment: Magnolia(), zones: 3, routers: 6, engines: 18, agents: 3, lastEngine: "engine-c-6"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got := test.deployment
			counts := []int{len(got.Zones), len(got.Routers), len(got.Engines), len(got.Agents)}
			if want := []int{test.zones, test.routers, test.engines, test.agents}; !slices.Equal(counts, want) {
				t.Errorf("zones, routers, engines and agents are %v, want %v", counts, want)
			}
			if last := got.Engines[len(got.Engines)-1].Name; last != test.lastEngine {
				t.Errorf("last engine is %s, want %s", last, test.lastEngine)
			}
			machines := slices.Concat(got.Routers, got.Engines, got.Agents)
			if names := lo.Map(machines, func(each Machine, _ int) string { return each.Name }); len(lo.Uniq(names)) != len(names) {
				t.Errorf("names are not unique: %v", names)
			}
			for _, kind := range [][]Machine{got.Routers, got.Engines, got.Agents} {
				perZone := lo.CountValuesBy(kind, func(each Machine) string { return each.Zone })
				if counts := lo.Uniq(lo.Values(perZone)); len(perZone) != test.zones || len(counts) != 1 {
					t.Errorf("machines are not spread evenly: %v", perZone)
				}
			}
		})
	}
}

func TestExampleConfigurationsFit(t *testing.T) {
	for _, deployment := range All() {
		t.Run(deployment.Name, func(t *testing.T) {
			document, err := configuration.Example(deployment.Configuration)
			if err != nil {
				t.Fatal(err)
			}
			snapshot, err := configuration.Compile(document)
			if err != nil {
				t.Fatal(err)
			}
			for _, engine := range deployment.Engines {
				group, ok := snapshot.GroupOf(engine.Name, map[string]string{configuration.LabelZone: engine.Zone})
				if _, serves := group.Serves(deployment.Model); !ok || !serves {
					t.Errorf("engine %s is in group %q, which does not serve %s", engine.Name, group.Name, deployment.Model)
				}
			}
		})
	}
}

func TestFind(t *testing.T) {
	for _, name := range Names() {
		if found, err := Find(name); err != nil || found.Name != name {
			t.Errorf("Find(%q) = %q, %v", name, found.Name, err)
		}
	}
	_, err := Find("sydney")
	if !errors.Is(err, ErrUnknown) {
		t.Fatalf("error is %v", err)
	}
	for _, want := range []string{"sydney", NameFes, NameMagnolia} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not name %q", err, want)
		}
	}
}
