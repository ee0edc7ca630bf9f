package configuration

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// Snapshot is a validated document with its JSON encoding and its parsed selectors. It is immutable and safe for concurrent use.
type Snapshot struct {
	document Document
	encoded  []byte
	groups   []compiledGroup
	rules    []compiledRule
}

type compiledGroup struct {
	group    Group
	selector Selector
}

type compiledRule struct {
	rule     Rule
	selector Selector
}

// Selector is a parsed label selector. It implements routing.Selector.
type Selector struct{ parsed labels.Selector }

// MatchesLabels reports whether the selector matches a set of labels.
func (s Selector) MatchesLabels(set map[string]string) bool { return s.parsed.Matches(labels.Set(set)) }

// Compile validates a document and compiles its selectors. The error is FieldErrors if the document is invalid.
func Compile(document Document) (*Snapshot, error) {
	if err := Validate(document).OrNil(); err != nil {
		return nil, err
	}
	document.Spec = normalize(document.Spec)
	encoded, err := Encode(document)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	snapshot := &Snapshot{document: document, encoded: encoded}
	return snapshot, snapshot.compileSelectors()
}

func (s *Snapshot) compileSelectors() error {
	for _, group := range s.document.Groups {
		selector, err := labels.Parse(group.WorkerSelector)
		if err != nil {
			return errors.Wrapf(err, "compile selector of group %s", group.Name)
		}
		s.groups = append(s.groups, compiledGroup{group: group, selector: Selector{selector}})
	}
	for _, rule := range s.document.Rules {
		selector, err := labels.Parse(rule.RequestSelector)
		if err != nil {
			return errors.Wrapf(err, "compile selector of rule %s", rule.Name)
		}
		s.rules = append(s.rules, compiledRule{rule: rule, selector: Selector{selector}})
	}
	slices.SortFunc(s.rules, func(a, b compiledRule) int {
		return lo.Ternary(rulePrecedes(a.rule, b.rule), -1, 1)
	})
	return nil
}

// Document returns the document. The caller must not modify it.
func (s *Snapshot) Document() Document { return s.document }

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.document.Revision }

// Groups returns all groups sorted by name. The caller must not modify them.
func (s *Snapshot) Groups() []Group { return s.document.Groups }

// Rules returns all rules in matching order.
func (s *Snapshot) Rules() []Rule {
	return lo.Map(s.rules, func(c compiledRule, _ int) Rule { return c.rule })
}

// GroupOf returns the group that selects a worker.
func (s *Snapshot) GroupOf(worker WorkerInfo) (Group, bool) {
	set := s.LabelsOf(worker)
	for _, candidate := range s.groups {
		if candidate.group.Service == worker.Service && candidate.selector.MatchesLabels(set) {
			return candidate.group, true
		}
	}
	return Group{}, false
}

// LabelsOf returns the labels that a worker reports, overridden by those that operators set.
func (s *Snapshot) LabelsOf(worker WorkerInfo) map[string]string {
	return lo.Assign(worker.Labels, s.document.WorkerLabels[worker.Address])
}

// RuleFor returns the rule that selects a request.
func (s *Snapshot) RuleFor(requestLabels map[string]string) (Rule, bool) {
	found, selected := lo.Find(s.rules, func(c compiledRule) bool { return c.selector.MatchesLabels(requestLabels) })
	return found.rule, selected
}

// Routing converts the groups and rules to the configuration of the request path. It does not include the services.
func (s *Snapshot) Routing() *routing.Configuration {
	result := &routing.Configuration{Revision: int64(s.Revision()), WorkerLabels: s.document.WorkerLabels}
	for _, g := range s.groups {
		result.Groups = append(result.Groups, routing.Group{
			Name: g.group.Name, SelectFrom: g.group.Service, Selector: g.selector,
			MinPerRole: map[backend.Role]int(g.group.RoleFloors),
		})
	}
	for _, r := range s.rules {
		result.Rules = append(result.Rules, r.toRoutingRule())
	}
	return result
}

// toRoutingRule converts a rule to the form that the request path uses.
func (c compiledRule) toRoutingRule() routing.Rule {
	return routing.Rule{
		Name:              c.rule.Name,
		Match:             routing.LabelMatch{Selector: c.selector, Precedence: c.rule.Precedence},
		Kind:              routing.KindStream,
		Resumable:         true,
		Timeout:           c.rule.Timeout.Std(),
		Objective:         c.rule.Objective.Std(),
		Priority:          c.rule.Priority,
		MaxAttempts:       c.rule.MaximumAttempts,
		MaxTenantInFlight: c.rule.TenantInFlight,
		Shares: lo.Map(c.rule.Groups, func(share GroupShare, _ int) routing.Share {
			return routing.Share{Group: share.Group, Weight: share.Weight}
		}),
	}
}
