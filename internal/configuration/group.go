package configuration

import "github.com/granitebay/granitebay/internal/engine"

// Group is a set of engines that share models and a role policy.
type Group struct {
	// Name of the group. Required.
	Name string `json:"name"`
	// EngineSelector selects the engines by label, in the selector syntax of Kubernetes, for example
	// "pool=counter,zone in (zone-a, zone-b)". Labels are those of the platform, those of the operators on top, and
	// "engine" with the name of the engine. An empty selector selects every engine. Default: empty.
	EngineSelector string `json:"engineSelector"`
	// Models that the engines of the group serve. Required, at least one.
	Models []GroupModel `json:"models"`
	// RolePolicy bounds the role changes in the group.
	RolePolicy RolePolicy `json:"rolePolicy"`
}

// GroupModel is one model that a group serves.
type GroupModel struct {
	// Model is the name of the model. Required.
	Model string `json:"model"`
	// Version of the model that the engines load. Required.
	Version string `json:"version"`
	// Adapters that the engines load. Default: none.
	Adapters []string `json:"adapters"`
	// MinimumEngines is the least number of engines of the group that keep this model. Default: 1.
	MinimumEngines int `json:"minimumEngines"`
}

// RolePolicy says which roles the engines of a group may have and when a change of role is worth it.
type RolePolicy struct {
	// AllowedRoles lists the roles that may be ordered. Default: prefill and decode.
	AllowedRoles []engine.Role `json:"allowedRoles"`
	// Floors is the least number of engines of the group in each role. Default: 0 for every role.
	Floors map[engine.Role]int `json:"floors"`
	// ChangeCost is how many more answers in time one role change must bring to be worth it, on top of what it loses
	// while the engine is out. Unit: answers per change. Default: 20.
	ChangeCost float64 `json:"changeCost"`
	// MinimumDwell is the least time that an engine keeps a role. Default: 2m.
	MinimumDwell Duration `json:"minimumDwell"`
	// MaximumChanging is the most engines of the group that are out for a change at once; zero forbids changes of
	// role. Default: 1.
	MaximumChanging int `json:"maximumChanging"`
}

// Allows tells whether the policy allows a role.
func (p RolePolicy) Allows(role engine.Role) bool {
	for _, allowed := range p.AllowedRoles {
		if allowed == role {
			return true
		}
	}
	return false
}

// Serves returns the entry of a model and whether the group serves that model.
func (g Group) Serves(model string) (GroupModel, bool) {
	for _, served := range g.Models {
		if served.Model == model {
			return served, true
		}
	}
	return GroupModel{}, false
}
