package configuration

import (
	"encoding/json"
	"time"
)

// Defaults of Rule and GroupShare other than the zero value.
const (
	DefaultPriority        = 5
	DefaultTimeout         = Duration(30 * time.Second)
	DefaultObjective       = Duration(time.Second)
	DefaultMaximumAttempts = 2
	DefaultWeight          = 1
)

// DefaultRule returns an unnamed rule with all defaults set.
func DefaultRule() Rule {
	return Rule{
		Priority:        DefaultPriority,
		Timeout:         DefaultTimeout,
		Objective:       DefaultObjective,
		MaximumAttempts: DefaultMaximumAttempts,
	}
}

// UnmarshalJSON decodes a rule; omitted fields get their defaults.
func (r *Rule) UnmarshalJSON(data []byte) error {
	type plain Rule
	value := plain(DefaultRule())
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*r = Rule(value)
	return nil
}

// UnmarshalJSON decodes a share; omitted fields get their defaults.
func (s *GroupShare) UnmarshalJSON(data []byte) error {
	type plain GroupShare
	value := plain(GroupShare{Weight: DefaultWeight})
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*s = GroupShare(value)
	return nil
}
