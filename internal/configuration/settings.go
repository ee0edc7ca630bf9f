package configuration

import "time"

// StoreKey is the key of the key-value service that holds the document.
const StoreKey = "/granitebay/configuration"

// requestOwner is the owner number of the platform requests of this core.
const requestOwner = 2

// MaximumDocumentBytes is the most that a document may take as JSON, its history included.
const MaximumDocumentBytes = 1 << 20

// Settings of a Core. DefaultSettings gives all but the first three.
type Settings struct {
	// Self is the name of this process and Incarnation its incarnation.
	Self        string
	Incarnation uint64
	// ReadOnly is set in agents: they never ask the store and learn everything from routers.
	ReadOnly bool

	// GossipInterval is the time between two digests to random peers.
	GossipInterval time.Duration
	// Fanout is the number of peers that get each digest.
	Fanout int
	// AppliedPerDigest is the most applied revisions that one digest carries, and AppliedRefresh how many of them are
	// sent in turn when there is nothing new.
	AppliedPerDigest int
	AppliedRefresh   int
	// FetchTimeout is how long a document is waited for before another peer is asked.
	FetchTimeout time.Duration
	// ServeBytesPerSecond bounds the documents sent to peers. Fetches beyond it get no answer and are repeated elsewhere.
	ServeBytesPerSecond int

	// Watchers is the number of routers that watch and poll the store.
	Watchers int
	// PollInterval is the time between two reads of the store by a watcher, in case a watch is silently dead.
	PollInterval time.Duration
	// IsolationTimeout is how long no peer may be heard before this process asks the store itself.
	IsolationTimeout time.Duration
	// StartWait is how long a starting process waits for the store before it takes the highest document of its peers.
	StartWait time.Duration
	// StoreTimeout is how long an answer of the store is waited for.
	StoreTimeout time.Duration
	// RetryMinimum and RetryMaximum bound the wait after a failed request to the store.
	RetryMinimum time.Duration
	RetryMaximum time.Duration
	// ProposeTimeout is how long an edit is tried before its proposer hears that it failed.
	ProposeTimeout time.Duration
	// MaximumProposals is the most edits that wait at once.
	MaximumProposals int
}

// DefaultSettings returns the settings of a router.
func DefaultSettings(self string, incarnation uint64) Settings {
	return Settings{
		Self:                self,
		Incarnation:         incarnation,
		GossipInterval:      time.Second,
		Fanout:              2,
		AppliedPerDigest:    256,
		AppliedRefresh:      8,
		FetchTimeout:        500 * time.Millisecond,
		ServeBytesPerSecond: 4 * MaximumDocumentBytes,
		Watchers:            3,
		PollInterval:        10 * time.Second,
		IsolationTimeout:    5 * time.Second,
		StartWait:           2 * time.Second,
		StoreTimeout:        2 * time.Second,
		RetryMinimum:        100 * time.Millisecond,
		RetryMaximum:        5 * time.Second,
		ProposeTimeout:      20 * time.Second,
		MaximumProposals:    32,
	}
}
