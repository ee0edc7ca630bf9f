package configuration

import "github.com/granitebay/granitebay/internal/backend"

// Group is a set of workers of one service.
type Group struct {
	// Name of the group. Required.
	Name string `json:"name"`
	// Service whose workers the group selects from, by the name that the platform uses. Required.
	Service string `json:"service"`
	// WorkerSelector is a Kubernetes label selector for workers, for example "pool=counter,zone in (zone-a, zone-b)". It
	// matches the labels that workers report, including LabelZone and LabelRole, overridden by those that operators set. An
	// empty selector selects every worker. Default: empty.
	WorkerSelector string `json:"workerSelector"`
	// RoleFloors is the minimum number of workers of the group in each role. Default: none, which assigns half of the
	// workers to each role.
	RoleFloors map[backend.Role]int `json:"roleFloors"`
}
