package demo

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/standin/answers"
)

func TestWorkloadsMatchConfiguration(t *testing.T) {
	for _, spec := range deployment.All() {
		t.Run(spec.Name, func(t *testing.T) {
			load, err := workloadFor(spec.Name)
			if err != nil {
				t.Fatal(err)
			}
			document, err := configuration.Example(spec.Configuration)
			if err != nil {
				t.Fatal(err)
			}
			snapshot, err := configuration.Compile(document)
			if err != nil {
				t.Fatal(err)
			}
			for _, each := range load.classes {
				labels := map[string]string{"class": each.name, configuration.LabelRepeatable: lo.Ternary(each.nonIdempotent, "false", "true")}
				rule, ok := snapshot.RuleFor(labels)
				if !ok {
					t.Errorf("no rule matches class %s", each.name)
				}
				if longest := rule.Timeout.Std(); each.deadline > longest {
					t.Errorf("class %s has deadline %s, rule %s allows %s", each.name, each.deadline, rule.Name, longest)
				}
				if each.latencyTarget > each.deadline {
					t.Errorf("the latency target of class %s exceeds its deadline", each.name)
				}
			}
		})
	}
}

func TestMixShiftsWithinTenSeconds(t *testing.T) {
	for _, name := range deployment.Names() {
		load, err := workloadFor(name)
		if err != nil {
			t.Fatal(err)
		}
		before, after := load.rates(0), load.rates(8*time.Second)
		largest := 0.0
		for index := range load.classes {
			largest = max(largest, after[index]/lo.Sum(after)-before[index]/lo.Sum(before))
		}
		if largest < 0.2 {
			t.Errorf("%s: the largest gain in share of a class is %.2f, want at least 0.2", name, largest)
		}
		for elapsed := time.Duration(0); elapsed < load.period; elapsed += time.Second {
			if slices.Min(load.rates(elapsed)) < 0 {
				t.Errorf("%s: negative rate after %s", name, elapsed)
			}
		}
	}
}

func TestPickClassFollowsRates(t *testing.T) {
	load := fesWorkload()
	random := rand.New(rand.NewPCG(1, 1))
	drawn := map[string]int{}
	const draws = 10000
	for range draws {
		class, _ := load.pickClass(0, random)
		drawn[class.name]++
	}
	rates := load.rates(0)
	for index, each := range load.classes {
		want := rates[index] / lo.Sum(rates)
		if got := float64(drawn[each.name]) / draws; got < want-0.02 || got > want+0.02 {
			t.Errorf("class %s has share %.3f, want %.3f", each.name, got, want)
		}
	}
}

func TestTenantPromptsShareAPrefix(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	class := requestClass{name: "history", promptTokens: 3000, sharedTokens: 600}
	first, second := randomPrompt(class, "cafe", random), randomPrompt(class, "cafe", random)
	shared := tenantPrefix(class, "cafe")
	if first == second || !strings.HasPrefix(first, shared+" ") || !strings.HasPrefix(second, shared+" ") {
		t.Error("two prompts of a tenant are equal or do not share the tenant's prefix")
	}
	if strings.HasPrefix(randomPrompt(class, "mill", random), shared) {
		t.Error("prompts of different tenants share a prefix")
	}
	if got := answers.CountTokens(first); got < 2400 || got > 3600 {
		t.Errorf("the prompt has %d tokens, want 2400 to 3600", got)
	}
}
