package gateway

import "golang.org/x/sys/unix"

// connectionLimits are the numbers of connections that the listeners of a gateway hold at a time. They are such that requests in progress, the store and
// other gateways have the descriptors that they need, however many connections come to one listener.
type connectionLimits struct{ callers, directory, ready, control, admin int }

// Shares of the descriptors for sockets. A request takes two, one for its caller and one for its worker. No caller reaches the control listener, at which a
// few gateways may have to serve all others.
const (
	callersShare   = 3.0 / 8
	directoryShare = 1.0 / 8
	controlShare   = 1.0 / 2
	smallShare     = 1.0 / 16
	// minConnections is the least that a listener holds.
	minConnections = 8
)

// Memory of connections.
const (
	// connectionBytes is what a connection of a caller may take at most, beside the bytes that all requests share: its goroutine and its buffers, what it
	// may hold of a request without asking, and its receive buffer. The small listeners have a connection for each smallMultiple of callers.
	connectionBytes = 96 << 10
	smallMultiple   = 4
	// receiveDivisor is the reciprocal of the share of the memory that may lie unread in the receive buffers of all callers.
	receiveDivisor = 8
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a connection.
	minReceiveBytes = 16 << 10
	maxReceiveBytes = 1 << 20
)

// receiveBuffer returns the size of the receive buffer of a connection.
func (s *Settings) receiveBuffer() int {
	if s.ReceiveBytes > 0 {
		return s.ReceiveBytes
	}
	perCaller := int(s.MemoryBytes) / receiveDivisor / s.connectionLimits().callers
	return min(max(perCaller, minReceiveBytes), maxReceiveBytes)
}

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
	inMemory := int(s.MemoryBytes / connectionBytes)
	share := func(share float64, most int) int { return max(min(int(share*sockets), most), minConnections) }
	limits := connectionLimits{
		callers: share(callersShare, inMemory), directory: share(directoryShare, inMemory/smallMultiple),
		ready: share(smallShare, inMemory/smallMultiple), admin: share(smallShare, inMemory/smallMultiple),
		// The connections that other gateways relay here are among those of the control listener.
		control: share(controlShare, inMemory) + s.MaxRelayed(),
	}
	if s.CallerConnections > 0 {
		limits.callers = s.CallerConnections
	}
	if s.DirectoryConnections > 0 {
		limits.directory = s.DirectoryConnections
	}
	return limits
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
