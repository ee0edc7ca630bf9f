package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
)

// normalize returns the canonical form of a spec: objects sorted by name, and empty lists and maps instead of nil, so that
// equal content has equal encodings. It does not modify its argument.
func normalize(spec Spec) Spec {
	spec.Groups = sortedBy(spec.Groups, func(g Group) string { return g.Name })
	spec.Rules = sortedBy(spec.Rules, func(r Rule) string { return r.Name })
	spec.WorkerLabels = lo.PickBy(spec.WorkerLabels, func(_ string, labels map[string]string) bool { return len(labels) > 0 })
	for i := range spec.Groups {
		floors := map[backend.Role]int{}
		maps.Copy(floors, spec.Groups[i].RoleFloors)
		spec.Groups[i].RoleFloors = floors
	}
	for i := range spec.Rules {
		spec.Rules[i].Groups = nonNil(spec.Rules[i].Groups)
	}
	return spec
}

// nonNil replaces nil, which JSON encodes as null, by an empty list.
func nonNil[T any](list []T) []T {
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
