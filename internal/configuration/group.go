package configuration

import "github.com/granitebay/granitebay/internal/backend"

// Group is a set of workers of one service.
type Group struct {
	// Name of the group. Required.
	Name string `json:"name"`
	// Service whose workers the group selects from, as the platform names it. Required.
	Service string `json:"service"`
	// WorkerSelector selects the workers by label, in the selector syntax of Kubernetes, for example
	// "pool=counter,zone in (zone-a, zone-b)". Labels are those that the workers tell of themselves (LabelZone and
	// LabelRole among them) and those of the operators on top. An empty selector selects every worker. Default: empty.
	WorkerSelector string `json:"workerSelector"`
	// RoleFloors is the least number of workers of the group that keep each role. Default: none, which leaves half of the
	// workers to each role.
	RoleFloors map[backend.Role]int `json:"roleFloors"`
}
