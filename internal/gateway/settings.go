// Package gateway implements the gateway process. It serves the directory in which callers look up gateways, forwards
// their requests to workers, and coordinates with the other gateways of the fleet.
//
// A few gateways, the entries, receive the requests of callers; the others are standbys. The leader is the gateway that
// holds the controller key in the store and gives orders to the platform and to engines.
package gateway

import (
	"time"

	"github.com/granitebay/granitebay/internal/drain"
)

// Settings configures a gateway. Settings are read once at start, except for Grace, the address TTLs and the retry
// settings, which Reload applies.
type Settings struct {
	// Name is unique in the fleet.
	Name string
	Zone string
	// Cores is the number of CPU cores available to the process.
	Cores float64
	// LinkMbps is the network bandwidth of the machine, and Descriptors the limit on open files and connections. A
	// resource with an unknown limit, given as zero, is left out of the utilization.
	LinkMbps    float64
	Descriptors int
	// MemoryBytes is the memory that the process may use, and RequestBytes what requests may hold of it together while they arrive and are served, beside
	// a few kilobytes each; zero stands for a share of it.
	MemoryBytes, RequestBytes int64
	// CallerConnections and DirectoryConnections are how many connections the listeners for callers and of the directory hold at a time; zero stands for a
	// share of the descriptors.
	CallerConnections, DirectoryConnections int
	// ReceiveBytes is the size of the receive buffer of a connection; zero stands for a share of the memory.
	ReceiveBytes int
	// ListenCallers, ListenReady, ListenDirectory and ListenAdmin are host:port. ListenAdmin serves operators and
	// metrics.
	ListenCallers   string
	ListenReady     string
	ListenDirectory string
	ListenAdmin     string
	// ListenPeers is the host:port that receives datagrams of other gateways.
	ListenPeers string
	// ListenControl is the host:port at which other gateways query this one; empty disables it.
	ListenControl string
	// Seeds are control addresses of other gateways; some may be stale or down.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time, so that none of the shared retry allowance can
	// have been spent.
	FirstStart bool
	// StoreAddress is the host:port of the store.
	StoreAddress string
	// Grace is how long a graceful stop may take before the process is killed.
	Grace time.Duration
	// AddressTTL is how long callers cache the response of the directory, at most MaxAddressTTL. By default it is as long as a stopping gateway
	// accepts requests.
	AddressTTL    time.Duration
	MaxAddressTTL time.Duration
	// RetryRatio, RetryAllowance and RetryWindow limit the retries of all gateways together.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// CopyBytes bounds the size of the copies of runs that engines keep for this gateway; zero asks for none.
	CopyBytes int64
	// LeaseTTL is the time to live of leases in the store.
	LeaseTTL time.Duration
	// ConfigurationAge is the maximum age of a configuration that may be used to reject a request as not allowed.
	ConfigurationAge time.Duration
	// DrainTime is how long a leaving worker accepts requests that are already on their way.
	DrainTime time.Duration
	// ResumeDelay is how long no orders are given after the process was suspended or stalled.
	ResumeDelay time.Duration
	// PlatformAddress is the host:port of the platform service, which only the leader calls; empty disables these calls.
	PlatformAddress string
	// UsageWindow is the length of the windows for which the usage of tenants is reported, zero for none. UsageDue is
	// how long after its end the report of a window is due.
	UsageWindow, UsageDue time.Duration
	// ContactTime is the time within which callers must be served again after this gateway has lost its paths to workers that other gateways
	// reach. Zero disables connections through other gateways.
	ContactTime time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// requestDivisor is the reciprocal of the share of the memory that requests may hold unless the settings say so.
const requestDivisor = 6

// MaxRequestBytes returns how many bytes requests may hold together.
func (s *Settings) MaxRequestBytes() int {
	if s.RequestBytes > 0 {
		return int(s.RequestBytes)
	}
	return int(s.MemoryBytes / requestDivisor)
}

// collectorShare is the share of the memory from which on the collector of the runtime works harder instead of letting the heap grow.
const collectorShare = 0.75

// CollectorLimit returns the number of bytes to which the runtime should limit the memory that it manages.
func (s *Settings) CollectorLimit() int64 { return int64(collectorShare * float64(s.MemoryBytes)) }

// Limits of the connections that a gateway relays for others.
const (
	// relayDescriptors is the number of descriptors of a relayed connection, and relayShare the inverse share of all descriptors for them.
	relayDescriptors = 2
	relayShare       = 4
	// defaultMaxRelayed applies if the limit on descriptors is unknown.
	defaultMaxRelayed = 256
)

// MaxRelayed returns the number of connections to workers that the gateway relays for others at a time.
func (s *Settings) MaxRelayed() int {
	if s.Descriptors == 0 {
		return defaultMaxRelayed
	}
	return s.Descriptors / relayShare / relayDescriptors
}

// DefaultSettings returns the default settings, without names and addresses.
func DefaultSettings() *Settings {
	return &Settings{
		Cores:          1,
		MemoryBytes:    128 << 20,
		Grace:          8 * time.Second,
		AddressTTL:     drain.AcceptTime,
		MaxAddressTTL:  5 * time.Second,
		RetryRatio:     0.2,
		RetryAllowance: 50,
		RetryWindow:    10 * time.Second,
		LeaseTTL:       3 * time.Second,
		// A changed configuration must be in force on all gateways within this time.
		ConfigurationAge: 3 * time.Second,
		DrainTime:        2 * time.Second,
		ResumeDelay:      300 * time.Millisecond,
		LogLevel:         "info",
	}
}
