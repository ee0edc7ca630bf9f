package configuration

import (
	"math"
	"slices"
	"strconv"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// anyValue stands in a witness for "any value that is not mentioned".
const placeholderValue = "other"

// keyConstraint is what a conjunction of requirements leaves open for one label.
type keyConstraint struct {
	// absent and present tell whether the label may be missing, and whether it may be there.
	mayBeAbsent, mayBePresent bool
	// allowed values; nil means every value.
	allowed map[string]bool
	// excluded values.
	excluded map[string]bool
	// greaterThan and lessThan bound integer values; numeric tells that one of them is set.
	greaterThan, lessThan int64
	bounded               bool
}

// constraints is what a conjunction of requirements leaves open, by key of label.
type constraints map[string]*keyConstraint

// constrain returns the constraints of requirements.
func newConstraints(requirements ...labels.Requirement) constraints {
	result := constraints{}
	for _, requirement := range requirements {
		result.add(requirement)
	}
	return result
}

// of returns the constraint of one key.
func (c constraints) forKey(key string) *keyConstraint {
	constraint, known := c[key]
	if !known {
		constraint = &keyConstraint{
			mayBeAbsent: true, mayBePresent: true, excluded: map[string]bool{},
			greaterThan: math.MinInt64, lessThan: math.MaxInt64,
		}
		c[key] = constraint
	}
	return constraint
}

// add joins one more requirement.
func (c constraints) add(requirement labels.Requirement) {
	constraint := c.forKey(requirement.Key())
	values := requirement.ValuesUnsorted()
	switch requirement.Operator() {
	case selection.In, selection.Equals, selection.DoubleEquals:
		constraint.mayBeAbsent = false
		constraint.intersectAllowed(values)
	case selection.NotIn, selection.NotEquals:
		for _, value := range values {
			constraint.excluded[value] = true
		}
	case selection.Exists:
		constraint.mayBeAbsent = false
	case selection.DoesNotExist:
		constraint.mayBePresent = false
	case selection.GreaterThan:
		constraint.mayBeAbsent, constraint.bounded = false, true
		constraint.greaterThan = max(constraint.greaterThan, parseBound(values))
	case selection.LessThan:
		constraint.mayBeAbsent, constraint.bounded = false, true
		constraint.lessThan = min(constraint.lessThan, parseBound(values))
	}
}

// allow keeps only the given values.
func (k *keyConstraint) intersectAllowed(values []string) {
	allowed := map[string]bool{}
	for _, value := range values {
		if k.allowed == nil || k.allowed[value] {
			allowed[value] = true
		}
	}
	k.allowed = allowed
}

// integer returns the one value of a comparison. The parser of selectors lets nothing else through.
func parseBound(values []string) int64 {
	value, _ := strconv.ParseInt(values[0], 10, 64)
	return value
}

// accepts tells whether one value fits.
func (k *keyConstraint) accepts(value string) bool {
	if k.excluded[value] || (k.allowed != nil && !k.allowed[value]) {
		return false
	}
	if !k.bounded {
		return true
	}
	number, err := strconv.ParseInt(value, 10, 64)
	return err == nil && number > k.greaterThan && number < k.lessThan
}

// value returns a value that fits, and whether there is one.
func (k *keyConstraint) exampleValue() (string, bool) {
	if !k.mayBePresent {
		return "", false
	}
	if k.allowed != nil {
		candidates := lo.Keys(k.allowed)
		slices.Sort(candidates)
		return lo.Find(candidates, k.accepts)
	}
	if !k.bounded {
		return k.unexcludedValue(), true
	}
	if k.greaterThan == math.MaxInt64 {
		return "", false
	}
	// Each step meets another excluded value, so the loop is as long as the list of excluded values.
	for number := k.greaterThan + 1; number < k.lessThan; number++ {
		if candidate := strconv.FormatInt(number, 10); k.accepts(candidate) {
			return candidate, true
		}
	}
	return "", false
}

// freeValue returns a value that is not excluded.
func (k *keyConstraint) unexcludedValue() string {
	value := placeholderValue
	for k.excluded[value] {
		value += "-" + placeholderValue
	}
	return value
}

// witness returns labels that meet all constraints, and whether there are any.
func (c constraints) example() (labels.Set, bool) {
	result := labels.Set{}
	for key, constraint := range c {
		if constraint.mayBeAbsent {
			continue
		}
		value, found := constraint.exampleValue()
		if !found {
			return nil, false
		}
		result[key] = value
	}
	return result, true
}

// satisfiable tells whether some labels meet all constraints.
func (c constraints) satisfiable() bool {
	_, found := c.example()
	return found
}

// implies tells whether everything that meets the requirements of narrow also meets those of wide. It may say no where
// the answer is yes, but never the reverse.
func implies(narrow, wide labels.Requirements) bool {
	return lo.EveryBy(wide, func(requirement labels.Requirement) bool {
		negated, negatable := negate(requirement)
		if !negatable {
			return lo.SomeBy(narrow, requirement.Equal)
		}
		return !newConstraints(append(slices.Clone(narrow), negated)...).satisfiable()
	})
}

// negate returns the requirement that holds exactly where the given one does not, if there is one.
func negate(requirement labels.Requirement) (labels.Requirement, bool) {
	var operator selection.Operator
	switch requirement.Operator() {
	case selection.In, selection.Equals, selection.DoubleEquals:
		operator = selection.NotIn
	case selection.NotIn, selection.NotEquals:
		operator = selection.In
	case selection.Exists:
		operator = selection.DoesNotExist
	case selection.DoesNotExist:
		operator = selection.Exists
	default:
		return labels.Requirement{}, false
	}
	negated, err := labels.NewRequirement(requirement.Key(), operator, requirement.ValuesUnsorted())
	if err != nil {
		return labels.Requirement{}, false
	}
	return *negated, true
}

// requirementsOf returns the requirements of a parsed selector.
func requirementsOf(selector labels.Selector) labels.Requirements {
	requirements, _ := selector.Requirements()
	return requirements
}
