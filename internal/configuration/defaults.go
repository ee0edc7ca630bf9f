package configuration

import (
	"encoding/json"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// Defaults of groups.
const (
	DefaultMinimumEngines  = 1
	DefaultChangeCost      = 20.0
	DefaultMinimumDwell    = Duration(2 * time.Minute)
	DefaultMaximumChanging = 1
)

// Defaults of rules and tenants.
const (
	DefaultPriority        = 5
	DefaultDeadline        = Duration(30 * time.Second)
	DefaultMaximumDeadline = Duration(10 * time.Minute)
	DefaultWeight          = 1.0
	DefaultMaximumQueue    = 256
)

// DefaultRolePolicy returns the role policy of a group that gives none.
func DefaultRolePolicy() RolePolicy {
	return RolePolicy{
		AllowedRoles:    engine.Roles(),
		ChangeCost:      DefaultChangeCost,
		MinimumDwell:    DefaultMinimumDwell,
		MaximumChanging: DefaultMaximumChanging,
	}
}

// DefaultRule returns a rule with every default and no name.
func DefaultRule() Rule {
	return Rule{
		Priority:        DefaultPriority,
		DefaultDeadline: DefaultDeadline,
		MaximumDeadline: DefaultMaximumDeadline,
		Weight:          DefaultWeight,
		MaximumQueue:    DefaultMaximumQueue,
	}
}

// UnmarshalJSON reads a group; what is not given has its default.
func (g *Group) UnmarshalJSON(data []byte) error {
	type plain Group
	value := plain(Group{RolePolicy: DefaultRolePolicy()})
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*g = Group(value)
	return nil
}

// UnmarshalJSON reads a model of a group; what is not given has its default.
func (m *GroupModel) UnmarshalJSON(data []byte) error {
	type plain GroupModel
	value := plain(GroupModel{MinimumEngines: DefaultMinimumEngines})
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*m = GroupModel(value)
	return nil
}

// UnmarshalJSON reads a role policy; what is not given has its default.
func (p *RolePolicy) UnmarshalJSON(data []byte) error {
	type plain RolePolicy
	value := plain(DefaultRolePolicy())
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*p = RolePolicy(value)
	return nil
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

// UnmarshalJSON reads a tenant; what is not given has its default.
func (t *Tenant) UnmarshalJSON(data []byte) error {
	type plain Tenant
	value := plain(Tenant{Weight: DefaultWeight})
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	*t = Tenant(value)
	return nil
}
