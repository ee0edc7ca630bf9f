package configuration

import (
	"encoding/json"
	"time"
)

// Defaults of rules.
const (
	DefaultPriority        = 5
	DefaultTimeout         = Duration(30 * time.Second)
	DefaultObjective       = Duration(time.Second)
	DefaultMaximumAttempts = 2
	DefaultWeight          = 1
)

// DefaultRule returns a rule with every default and no name.
func DefaultRule() Rule {
	return Rule{
		Priority:        DefaultPriority,
		Timeout:         DefaultTimeout,
		Objective:       DefaultObjective,
		MaximumAttempts: DefaultMaximumAttempts,
	}
}

// UnmarshalJSON reads a rule; what is not given has its default.
func (r *Rule) UnmarshalJSON(data []byte) error {
	type plain Rule
	value := plain(DefaultRule())
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*r = Rule(value)
	return nil
}

// UnmarshalJSON reads a share; what is not given has its default.
func (s *GroupShare) UnmarshalJSON(data []byte) error {
	type plain GroupShare
	value := plain(GroupShare{Weight: DefaultWeight})
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*s = GroupShare(value)
	return nil
}
