// Package adminapi implements the HTTP API for operators, which every gateway serves: its types and paths, the handlers
// on top of a Backend, and the client.
package adminapi

// Paths of the API.
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
	PathQueues          = "/admin/v1/queues"
	PathConfig          = "/admin/v1/config"
	PathConfigHistory   = "/admin/v1/config/history"
	PathConfigEdits     = "/admin/v1/config/edits"
	PathDecisions       = "/admin/v1/decisions"
	PathDecisionsStream = "/admin/v1/decisions/stream"
	PathExplain         = "/admin/v1/explain"
)
