// Package adminapi is the HTTP API that operators use: its types and paths, its handlers on top of a Backend, and its
// client. Every gateway serves it.
package adminapi

// The paths of the API.
const (
	PathStatus          = "/admin/v1/status"
	PathWorkers         = "/admin/v1/workers"
	PathGroups          = "/admin/v1/groups"
	PathRules           = "/admin/v1/rules"
	PathGateways        = "/admin/v1/gateways"
	PathTenants         = "/admin/v1/tenants"
	PathBarred          = "/admin/v1/barred"
	PathCapacity        = "/admin/v1/capacity"
	PathUsage           = "/admin/v1/usage"
	PathConfig          = "/admin/v1/config"
	PathConfigHistory   = "/admin/v1/config/history"
	PathConfigEdits     = "/admin/v1/config/edits"
	PathDecisions       = "/admin/v1/decisions"
	PathDecisionsStream = "/admin/v1/decisions/stream"
	PathExplain         = "/admin/v1/explain"
)
