package configuration

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// normalize returns the spec in the one form that all specs of the same content have: objects in order of name, and
// empty lists instead of missing ones. So equal content has equal bytes. The argument is not changed.
func normalize(spec Spec) Spec {
	spec.Models = sortedBy(spec.Models, func(m Model) string { return m.Name })
	spec.Groups = sortedBy(spec.Groups, func(g Group) string { return g.Name })
	spec.Rules = sortedBy(spec.Rules, func(r Rule) string { return r.Name })
	spec.Tenants = sortedBy(spec.Tenants, func(t Tenant) string { return t.Name })
	spec.EngineLabels = lo.PickBy(spec.EngineLabels, func(_ string, of map[string]string) bool { return len(of) > 0 })
	for i := range spec.Models {
		spec.Models[i].Versions = orEmpty(spec.Models[i].Versions)
		spec.Models[i].Adapters = orEmpty(spec.Models[i].Adapters)
	}
	for i := range spec.Groups {
		normalizeGroup(&spec.Groups[i])
	}
	for i := range spec.Rules {
		spec.Rules[i].Groups = orEmpty(spec.Rules[i].Groups)
	}
	return spec
}

func normalizeGroup(group *Group) {
	group.Models = slices.Clone(orEmpty(group.Models))
	for i := range group.Models {
		group.Models[i].Adapters = orEmpty(group.Models[i].Adapters)
	}
	group.RolePolicy.AllowedRoles = orEmpty(group.RolePolicy.AllowedRoles)
	if group.RolePolicy.Floors == nil {
		group.RolePolicy.Floors = map[engine.Role]int{}
	}
}

// orEmpty returns an empty list for a missing one.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// sortedBy returns a sorted copy that is never nil.
func sortedBy[T any](values []T, key func(T) string) []T {
	result := append(make([]T, 0, len(values)), values...)
	slices.SortStableFunc(result, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return result
}
