package routing

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// validConfiguration returns a valid configuration with two rules on one host.
func validConfiguration() *Configuration {
	return &Configuration{
		Version: 1,
		Rules: []Rule{
			{
				Name: "outer", Match: PathMatch{Host: "a.example", PathPrefix: "/x/"}, Timeout: time.Second, MaxAttempts: 1,
				Shares: []Share{{Group: "g", Weight: 1}},
			},
			{
				Name: "inner", Match: PathMatch{Host: "a.example", PathPrefix: "/x/y/"}, Timeout: time.Second, MaxAttempts: 1,
				Shares: []Share{{Group: "g", Weight: 9}, {Group: "h", Weight: 1}},
			},
		},
		Groups: []Group{{Name: "g"}, {Name: "h"}},
	}
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	table := NewTable(validConfiguration(), nil)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "outer"},
		{"A.example:8080", "/x/1", "outer"},
		{"a.example", "/x/y/1", "inner"},
		{"a.example", "/x/y", "outer"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
	}
	for _, c := range cases {
		match, found := table.Match(c.host, c.path)
		if found != (c.want != "") || (found && match.Rule.Name != c.want) {
			t.Errorf("%s%s: got rule %v, want %q", c.host, c.path, match.Rule, c.want)
		}
	}
}

func TestValidateReportsEveryError(t *testing.T) {
	configuration := validConfiguration()
	configuration.Rules[0].Match = PathMatch{Host: "a.example", PathPrefix: "x"}
	configuration.Rules[0].Timeout = 0
	configuration.Rules[1].Shares[1].Group = "missing-group"
	configuration.Groups[1].Name = "g"
	err := configuration.Validate()
	for _, want := range []string{"rules[0].pathPrefix", "rules[0].timeout", "rules[1].shares[1].group", "groups[1].name"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that mentions %s", err, want)
		}
	}
	if err := validConfiguration().Validate(); err != nil {
		t.Errorf("valid configuration: error %v, want nil", err)
	}
}

func TestRotationStaysWithinOneRequestOfShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 20), 2, 4).Filter(func(weights []int) bool {
			sum := 0
			for _, weight := range weights {
				sum += weight
			}
			return sum > 0
		}).Draw(t, "weights")
		var shares []Share
		total := 0
		for i, weight := range weights {
			shares = append(shares, Share{Group: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		rotation := newRotation(shares)
		counts := map[string]int{}
		for n := 1; n <= 60; n++ {
			counts[rotation.next()]++
			for _, share := range shares {
				want := float64(n*share.Weight) / float64(total)
				if got := float64(counts[share.Group]); got > want+1 || got < want-1 {
					t.Fatalf("after %d requests, %s got %v, want %v within one request", n, share.Group, got, want)
				}
			}
		}
	})
}

func TestNewTableKeepsRotationOfUnchangedShares(t *testing.T) {
	first := NewTable(validConfiguration(), nil)
	first.Match("a.example", "/x/y/1")
	changed := validConfiguration()
	changed.Version = 2
	changed.Rules[1].Timeout = 2 * time.Second
	second := NewTable(changed, first)
	if first.byHost["a.example"][0].rotation != second.byHost["a.example"][0].rotation {
		t.Error("rule inner: unchanged shares got a new rotation")
	}
	changed = validConfiguration()
	changed.Rules[1].Shares[0].Weight = 1
	third := NewTable(changed, second)
	if third.byHost["a.example"][0].rotation == second.byHost["a.example"][0].rotation {
		t.Error("rule inner: changed shares kept their rotation")
	}
}
