package configuration

import (
	"math"
	"slices"
	"strconv"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// placeholderValue is the value that satisfyingValue returns for a label that may have any value.
const placeholderValue = "other"

// keyConstraint combines the requirements on one label key.
type keyConstraint struct {
	// mayBeAbsent and mayBePresent report whether the label may be missing and whether it may be set.
	mayBeAbsent, mayBePresent bool
	// allowed values; nil allows every value.
	allowed  map[string]bool
	excluded map[string]bool
	// greaterThan and lessThan are exclusive bounds for integer values; bounded is set if either applies.
	greaterThan, lessThan int64
	bounded               bool
}

// constraints is a conjunction of requirements, by label key.
type constraints map[string]*keyConstraint

// newConstraints returns the conjunction of the requirements.
func newConstraints(requirements ...labels.Requirement) constraints {
	result := constraints{}
	for _, requirement := range requirements {
		result.add(requirement)
	}
	return result
}

// forKey returns the constraint of a label key, which it creates if necessary.
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

// add adds a requirement to the conjunction.
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

// intersectAllowed restricts the allowed values to the given ones.
func (k *keyConstraint) intersectAllowed(values []string) {
	allowed := map[string]bool{}
	for _, value := range values {
		if k.allowed == nil || k.allowed[value] {
			allowed[value] = true
		}
	}
	k.allowed = allowed
}

// parseBound returns the operand of a comparison, which the selector parser has checked to be a single integer.
func parseBound(values []string) int64 {
	value, _ := strconv.ParseInt(values[0], 10, 64)
	return value
}

// accepts reports whether a value satisfies the constraint.
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

// satisfyingValue returns a value that satisfies the constraint, and whether there is one.
func (k *keyConstraint) satisfyingValue() (string, bool) {
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
	if k.greaterThan == math.MaxInt64 { // greaterThan + 1 would overflow
		return "", false
	}
	// Each rejected candidate is an excluded value, so the loop ends after at most len(k.excluded)+1 iterations.
	for number := k.greaterThan + 1; number < k.lessThan; number++ {
		if candidate := strconv.FormatInt(number, 10); k.accepts(candidate) {
			return candidate, true
		}
	}
	return "", false
}

// unexcludedValue returns a value that is not excluded.
func (k *keyConstraint) unexcludedValue() string {
	value := placeholderValue
	for k.excluded[value] {
		value += "-" + placeholderValue
	}
	return value
}

// satisfyingLabels returns labels that satisfy all constraints, and whether there are any.
func (c constraints) satisfyingLabels() (labels.Set, bool) {
	result := labels.Set{}
	for key, constraint := range c {
		if constraint.mayBeAbsent {
			continue
		}
		value, found := constraint.satisfyingValue()
		if !found {
			return nil, false
		}
		result[key] = value
	}
	return result, true
}

// satisfiable reports whether any labels satisfy all constraints.
func (c constraints) satisfiable() bool {
	_, found := c.satisfyingLabels()
	return found
}

// implies reports whether all labels that satisfy the premise also satisfy the conclusion. It is conservative: it may return
// false where the implication holds, but never true where it does not.
func implies(premise, conclusion labels.Requirements) bool {
	return lo.EveryBy(conclusion, func(requirement labels.Requirement) bool {
		negated, negatable := negate(requirement)
		if !negatable {
			return lo.SomeBy(premise, requirement.Equal)
		}
		return !newConstraints(append(slices.Clone(premise), negated)...).satisfiable()
	})
}

// negate returns the logical negation of a requirement, if it can be expressed as one.
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
