// Package platform defines what the system asks of the platform: the key-value service, the membership list and the
// weight store. It is a port: cores produce requests and take responses; a client turns them into HTTP, the
// simulation hands them to a model platform.
package platform

import "time"

// Request is one of Get, List, Transaction, GrantLease, KeepAlive, RevokeLease, Watch, ListMembers and FetchWeights.
type Request interface{ isRequest() }

// RequestID matches a Response to its Request. The asker chooses it; it is unique within one run of a process.
type RequestID uint64

// Entry is one key of the key-value service.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// ModRevision is the revision of the service at which the key was last written.
	ModRevision uint64 `json:"modRevision"`
	// CreateRevision is the revision at which the key was created.
	CreateRevision uint64 `json:"createRevision"`
	// Lease is the lease that the key is bound to; zero when it is bound to none.
	Lease uint64 `json:"lease,omitempty"`
}

// Get reads one key.
type Get struct{ Key string }

// List reads all keys with a prefix, in order of key.
type List struct{ Prefix string }

// Compare is a condition of a Transaction: the key has exactly this ModRevision. Zero means that it does not exist.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"modRevision"`
}

// Put writes one key, bound to a lease when Lease is not zero.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease,omitempty"`
}

// Transaction applies all its writes at one revision if all its conditions hold, and nothing otherwise.
type Transaction struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// GrantLease makes a lease. Keys bound to it are deleted when it expires.
type GrantLease struct{ TTL time.Duration }

// KeepAlive renews a lease for another TTL.
type KeepAlive struct{ Lease uint64 }

// RevokeLease ends a lease at once.
type RevokeLease struct{ Lease uint64 }

// Watch asks for all changes under a prefix after a revision. Each change comes as a WatchEvent.
type Watch struct {
	Prefix       string
	FromRevision uint64
}

// ListMembers reads the membership list, which lags.
type ListMembers struct{}

// FetchWeights asks the weight store for leave to load a model. The answer tells how long the load takes at its rate.
type FetchWeights struct {
	Model   string
	Version string
	Zone    string
}

func (Get) isRequest()          {}
func (List) isRequest()         {}
func (Transaction) isRequest()  {}
func (GrantLease) isRequest()   {}
func (KeepAlive) isRequest()    {}
func (RevokeLease) isRequest()  {}
func (Watch) isRequest()        {}
func (ListMembers) isRequest()  {}
func (FetchWeights) isRequest() {}

// Failure is why a request got no result.
type Failure string

// The failures. After FailureUnknown the request may or may not have taken effect; after the others it has not.
const (
	FailureNone        Failure = ""
	FailureUnknown     Failure = "unknown"      // no answer: a time-out, a cut or an outage midway
	FailureRateLimited Failure = "rate-limited" // asked too often
	FailureUnavailable Failure = "unavailable"  // the service refused the connection
	FailureNoLease     Failure = "no-lease"     // the lease does not exist or has expired
	FailureCompacted   Failure = "compacted"    // the watch starts before the oldest kept revision
)

// Response answers a Request.
type Response struct {
	ID      RequestID
	Failure Failure
	// RetryAfter is set with FailureRateLimited.
	RetryAfter time.Duration
	// Revision of the key-value service when it answered.
	Revision uint64
	// Entries of Get (none or one) and List.
	Entries []Entry
	// Succeeded tells whether the conditions of a Transaction held.
	Succeeded bool
	// Lease of GrantLease, and its TTL.
	Lease uint64
	TTL   time.Duration
	// Members of ListMembers.
	Members []Member
	// Duration of FetchWeights.
	Duration time.Duration
}

// WatchEvent carries changes of one watch, in order of revision.
type WatchEvent struct {
	// ID of the Watch request.
	ID       RequestID
	Revision uint64
	Changed  []Entry
	Deleted  []string
	// Closed is set when the watch broke and must be asked for again, from Revision.
	Closed bool
}

// MemberKind tells what a machine on the membership list runs.
type MemberKind string

// The kinds of members.
const (
	MemberRouter MemberKind = "router"
	MemberEngine MemberKind = "engine"
	MemberAgent  MemberKind = "agent"
)

// Member is one machine on the membership list.
type Member struct {
	Name string     `json:"name"`
	Kind MemberKind `json:"kind"`
	Zone string     `json:"zone"`
	// Address is the host:port at which the machine serves.
	Address string `json:"address"`
	// Incarnation of the process, when the platform knows it.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Leaving is set when the machine will go away soon.
	Leaving bool `json:"leaving,omitempty"`
	// Labels that the platform or the operators put on the machine.
	Labels map[string]string `json:"labels,omitempty"`
}
