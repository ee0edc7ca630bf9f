package settings

import (
	"k8s.io/apimachinery/pkg/util/validation/field"
)

// Levels and formats of logs.
var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"text", "json"}
)

// Logging says what a process logs and how.
type Logging struct {
	// Level is the least level that is logged: debug, info, warn or error. Default info.
	Level string `json:"level"`
	// Format is text, for people, or json. Default text.
	Format string `json:"format"`
}

func defaultLogging() Logging { return Logging{Level: "info", Format: "text"} }

func (l Logging) check(path *field.Path) field.ErrorList {
	errs := checkOneOf(path.Child("level"), l.Level, logLevels)
	return append(errs, checkOneOf(path.Child("format"), l.Format, logFormats)...)
}

// Peer names a router.
type Peer struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Address is the host:port at which it accepts messages of other processes.
	Address string `json:"address"`
	// Zone is the failure domain in which it runs.
	Zone string `json:"zone"`
}

// checkPeers checks a list of routers.
func checkPeers(path *field.Path, peers []Peer) field.ErrorList {
	var errs field.ErrorList
	names := make(map[string]bool, len(peers))
	for i, peer := range peers {
		at := path.Index(i)
		errs = append(errs, checkName(at.Child("name"), peer.Name)...)
		errs = append(errs, checkAddress(at.Child("address"), peer.Address, false)...)
		errs = append(errs, checkName(at.Child("zone"), peer.Zone)...)
		if names[peer.Name] && peer.Name != "" {
			errs = append(errs, field.Duplicate(at.Child("name"), peer.Name))
		}
		names[peer.Name] = true
	}
	return errs
}

// Process is what every process must know of itself.
type Process struct {
	// Name of the process, unique in the fleet. Required.
	Name string `json:"name"`
	// Zone is the failure domain in which it runs. Required.
	Zone string `json:"zone"`
	// ListenPeers is the host:port at which it accepts messages of other processes. Required. Port 0 takes a free one.
	ListenPeers string `json:"listenPeers"`
	// AdvertisePeers is the host:port that others are told to send to. Default: the address it listens at.
	AdvertisePeers string  `json:"advertisePeers"`
	Logging        Logging `json:"logging"`
	// StopTimeout is how long a planned stop waits for requests to finish. Default 30s.
	StopTimeout Duration `json:"stopTimeout"`
	// KeptDecisions is the number of decisions that the process keeps for those who ask. Default 4096.
	KeptDecisions int `json:"keptDecisions"`
}

func (p Process) checkProcess() field.ErrorList {
	errs := checkName(field.NewPath("name"), p.Name)
	errs = append(errs, checkName(field.NewPath("zone"), p.Zone)...)
	errs = append(errs, checkAddress(field.NewPath("listenPeers"), p.ListenPeers, true)...)
	if p.AdvertisePeers != "" {
		errs = append(errs, checkAddress(field.NewPath("advertisePeers"), p.AdvertisePeers, false)...)
	}
	errs = append(errs, p.Logging.check(field.NewPath("logging"))...)
	errs = append(errs, checkDuration(field.NewPath("stopTimeout"), p.StopTimeout, 0, maxStopTimeout)...)
	return append(errs, checkNumber(field.NewPath("keptDecisions"), p.KeptDecisions, 1, maxKeptDecisions)...)
}
