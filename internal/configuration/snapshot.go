package configuration

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
)

// Snapshot is a compiled document. It never changes and may be used by several goroutines.
type Snapshot struct {
	document Document
	encoded  []byte
	digest   uint64
	groups   []compiledGroup
	rules    []compiledRule
	// values are the fields of the document, if the snapshot was made of changes.
	values fieldValues
	// Objects by name.
	groupsByName  map[string]Group
	rulesByName   map[string]Rule
	modelsByName  map[string]Model
	tenantsByName map[string]Tenant
}

type compiledGroup struct {
	group    Group
	selector labels.Selector
}

type compiledRule struct {
	rule     Rule
	selector labels.Selector
}

// Compile checks a document and prepares it for matching. The error is FieldErrors when the document is not valid.
func Compile(document Document) (*Snapshot, error) {
	if err := Validate(document).orNil(); err != nil {
		return nil, err
	}
	document.Spec = normalize(document.Spec)
	encoded, err := Encode(document)
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	snapshot := &Snapshot{
		document:      document,
		encoded:       encoded,
		digest:        xxhash.Sum64(encoded),
		groupsByName:  lo.KeyBy(document.Groups, func(g Group) string { return g.Name }),
		rulesByName:   lo.KeyBy(document.Rules, func(r Rule) string { return r.Name }),
		modelsByName:  lo.KeyBy(document.Models, func(m Model) string { return m.Name }),
		tenantsByName: lo.KeyBy(document.Tenants, func(t Tenant) string { return t.Name }),
	}
	return snapshot, snapshot.compileSelectors()
}

func (s *Snapshot) compileSelectors() error {
	for _, group := range s.document.Groups {
		selector, err := labels.Parse(group.EngineSelector)
		if err != nil {
			return errors.Wrapf(err, "compile the selector of group %s", group.Name)
		}
		s.groups = append(s.groups, compiledGroup{group: group, selector: selector})
	}
	for _, rule := range s.document.Rules {
		selector, err := labels.Parse(rule.RequestSelector)
		if err != nil {
			return errors.Wrapf(err, "compile the selector of rule %s", rule.Name)
		}
		s.rules = append(s.rules, compiledRule{rule: rule, selector: selector})
	}
	slices.SortFunc(s.rules, func(a, b compiledRule) int {
		return lo.Ternary(ruleBefore(a.rule, b.rule), -1, 1)
	})
	return nil
}

// Document returns the document. The caller must not change it.
func (s *Snapshot) Document() Document { return s.document }

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.document.Revision }

// Digest returns a hash of the document.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Groups returns all groups by name. The caller must not change them.
func (s *Snapshot) Groups() []Group { return s.document.Groups }

// Rules returns all rules in the order in which they are tried.
func (s *Snapshot) Rules() []Rule {
	return lo.Map(s.rules, func(c compiledRule, _ int) Rule { return c.rule })
}

// Group returns the group of a name.
func (s *Snapshot) Group(name string) (Group, bool) {
	group, known := s.groupsByName[name]
	return group, known
}

// Rule returns the rule of a name.
func (s *Snapshot) Rule(name string) (Rule, bool) {
	rule, known := s.rulesByName[name]
	return rule, known
}

// Model returns the model of a name.
func (s *Snapshot) Model(name string) (Model, bool) {
	model, known := s.modelsByName[name]
	return model, known
}

// Tenant returns the tenant of a name, with the defaults when the document does not name it.
func (s *Snapshot) Tenant(name string) Tenant {
	if tenant, known := s.tenantsByName[name]; known {
		return tenant
	}
	return Tenant{Name: name, Weight: DefaultWeight}
}

// LimitsOf returns the limits that hold for a tenant under a rule.
func (s *Snapshot) LimitsOf(rule Rule, tenant string) TenantLimits {
	if own := s.tenantsByName[tenant].Limits; own != nil {
		return *own
	}
	return rule.PerTenant
}

// GroupOf returns the group that selects an engine, by its name and the labels that the platform gave it.
func (s *Snapshot) GroupOf(engineName string, platformLabels map[string]string) (Group, bool) {
	view := engineLabels{name: engineName, operator: s.document.EngineLabels[engineName], platform: platformLabels}
	for i := range s.groups {
		if s.groups[i].selector.Matches(&view) {
			return s.groups[i].group, true
		}
	}
	return Group{}, false
}

// LabelsOf returns all labels of an engine: those of the platform, those of the operators on top, and its name.
func (s *Snapshot) LabelsOf(engineName string, platformLabels map[string]string) map[string]string {
	return lo.Assign(platformLabels, s.document.EngineLabels[engineName], map[string]string{LabelEngine: engineName})
}

// RuleFor returns the rule that selects a request.
func (s *Snapshot) RuleFor(requestLabels map[string]string) (Rule, bool) {
	set := labels.Set(requestLabels)
	for i := range s.rules {
		if s.rules[i].selector.Matches(set) {
			return s.rules[i].rule, true
		}
	}
	return Rule{}, false
}

// engineLabels joins the labels of an engine without copying them.
type engineLabels struct {
	name     string
	operator map[string]string
	platform map[string]string
}

// Has tells whether the engine has a label.
func (l *engineLabels) Has(key string) bool {
	_, has := l.Lookup(key)
	return has
}

// Get returns the value of a label, or nothing.
func (l *engineLabels) Get(key string) string {
	value, _ := l.Lookup(key)
	return value
}

// Lookup returns the value of a label and whether there is one.
func (l *engineLabels) Lookup(key string) (string, bool) {
	if key == LabelEngine {
		return l.name, true
	}
	if value, has := l.operator[key]; has {
		return value, true
	}
	value, has := l.platform[key]
	return value, has
}
