package gateway

import "golang.org/x/sys/unix"

// connectionLimits are the numbers of connections that the listeners of a gateway hold at a time. They are such that requests in progress, the store and
// other gateways have the descriptors that they need, however many connections come to one listener.
type connectionLimits struct{ callers, directory, ready, control, admin int }

// Shares of the descriptors for sockets. A request takes two, one for its caller and one for its worker.
const (
	callersShare   = 3.0 / 8
	directoryShare = 1.0 / 8
	controlShare   = 1.0 / 8
	smallShare     = 1.0 / 16
	// minConnections is the least that a listener holds.
	minConnections = 8
)

// Descriptors that are no sockets.
const (
	// fileDivisor is the reciprocal of the share of all descriptors that is kept for files, and maxFiles the most that is.
	fileDivisor = 10
	maxFiles    = 200
)

// connectionLimits returns the limits for a number of descriptors, with those of the settings in place of the shares.
func (s *Settings) connectionLimits() connectionLimits {
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	sockets := float64(descriptors - min(descriptors/fileDivisor, maxFiles))
	limit := func(configured int, share float64) int {
		if configured > 0 {
			return configured
		}
		return max(int(share*sockets), minConnections)
	}
	return connectionLimits{
		callers: limit(s.CallerConnections, callersShare), directory: limit(s.DirectoryConnections, directoryShare),
		ready: limit(0, smallShare), admin: limit(0, smallShare),
		// The connections that other gateways relay here are among those of the control listener.
		control: limit(0, controlShare) + s.MaxRelayed(),
	}
}

// processDescriptors returns the number of descriptors that this process may open.
func processDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Numbers of descriptors: where the limit can't be read, and above which more make no difference.
const (
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20
)
