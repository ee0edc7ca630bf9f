package settings

import (
	"k8s.io/apimachinery/pkg/util/validation/field"
)

// RouterSettings are the static settings of granitebay-router.
type RouterSettings struct {
	Process
	// ListenAdmin is the host:port at which it serves operators, /healthz, /readyz and /metrics. Default 127.0.0.1:7190.
	ListenAdmin string `json:"listenAdmin"`
	// Platform says where the services of the platform are.
	Platform Platform `json:"platform"`
	// Peers are other routers to begin with; more come from the membership list. At the first start of a fleet they become
	// the first holders of claims, so name the router itself too.
	Peers []Peer `json:"peers"`
}

// Platform says where the services of the platform are. Each endpoint is a URL, or several with commas between.
type Platform struct {
	// Endpoint of all services. Required.
	Endpoint string `json:"endpoint"`
	// RequestTimeout of one request. Default 3s.
	RequestTimeout Duration `json:"requestTimeout"`
}

// DefaultRouterSettings returns the settings of a router with the defaults.
func DefaultRouterSettings() *RouterSettings {
	return &RouterSettings{
		Process:     defaultProcess(),
		ListenAdmin: "127.0.0.1:7190",
		Platform:    Platform{RequestTimeout: Duration(defaultPlatformTimeout)},
	}
}

// Validate returns an *InvalidError that names everything that is wrong.
func (s *RouterSettings) Validate() error { return validate(s) }

func (s *RouterSettings) check() field.ErrorList {
	errs := s.checkProcess()
	errs = append(errs, checkAddress(field.NewPath("listenAdmin"), s.ListenAdmin, true)...)
	platform := field.NewPath("platform")
	errs = append(errs, checkEndpoint(platform.Child("endpoint"), s.Platform.Endpoint)...)
	errs = append(errs, checkDuration(platform.Child("requestTimeout"), s.Platform.RequestTimeout, minPlatformTimeout, maxTimeout)...)
	return append(errs, checkPeers(field.NewPath("peers"), s.Peers)...)
}
