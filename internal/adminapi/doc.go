// Package adminapi is the HTTP API that operators use: its types and paths, its handlers on top of a Backend, and its
// client. Every router serves it; all routers give the same answers but for what only one of them knows.
package adminapi

// The paths of the API.
const (
	PathStatus          = "/admin/v1/status"
	PathEngines         = "/admin/v1/engines"
	PathGroups          = "/admin/v1/groups"
	PathRules           = "/admin/v1/rules"
	PathRouters         = "/admin/v1/routers"
	PathRouterView      = "/admin/v1/router"
	PathConfig          = "/admin/v1/config"
	PathConfigStatus    = "/admin/v1/config/status"
	PathConfigHistory   = "/admin/v1/config/history"
	PathConfigEdits     = "/admin/v1/config/edits"
	PathDecisions       = "/admin/v1/decisions"
	PathDecisionsStream = "/admin/v1/decisions/stream"
	PathExplain         = "/admin/v1/explain"
)
