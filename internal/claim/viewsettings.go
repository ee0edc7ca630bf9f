package claim

import "time"

// The defaults of ViewSettings.
const (
	DefaultStableFor      = 30 * time.Second
	DefaultLead           = 5 * time.Second
	DefaultPollInterval   = 30 * time.Second
	DefaultSpreadInterval = 2 * time.Second
	DefaultSealInterval   = 500 * time.Millisecond
	DefaultRequestTimeout = 3 * time.Second
)

// blockedBeforeForce is how many pending views must have failed for want of sealed holders before one is proposed that
// needs none, but starts a ConfirmationLifetime later.
const blockedBeforeForce = 4

// ViewSettings are fixed for the life of a ViewControl. Zero durations take the defaults.
type ViewSettings struct {
	// Self is the name of the process.
	Self string
	// Holders make up the first view, if the key-value service has none yet.
	Holders []Holder
	// Acceptor of the process, which must not have a fixed view.
	Acceptor *Acceptor
	// Address returns the host:port of a router, or the empty string while it is unknown.
	Address func(name string) string
	// StableFor is how long the live routers must have been the same, and others than the holders, before a change.
	StableFor time.Duration
	// Lead is the time between the proposal of a view and its start. Must be well above ClockSkew.
	Lead time.Duration
	// PollInterval is the time between two reads of the record.
	PollInterval time.Duration
	// SpreadInterval is the time between two messages with the record to a random peer.
	SpreadInterval time.Duration
	// SealInterval is the time after which an unanswered ClaimSeal is sent again.
	SealInterval time.Duration
	// RequestTimeout is how long a request to the key-value service may take.
	RequestTimeout time.Duration
	// Window, ClockSkew and ConfirmationLifetime as in AcceptorSettings.
	Window               time.Duration
	ClockSkew            time.Duration
	ConfirmationLifetime time.Duration
}

// withDefaults fills in zero values.
func (s ViewSettings) withDefaults() ViewSettings {
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&s.StableFor, DefaultStableFor},
		{&s.Lead, DefaultLead},
		{&s.PollInterval, DefaultPollInterval},
		{&s.SpreadInterval, DefaultSpreadInterval},
		{&s.SealInterval, DefaultSealInterval},
		{&s.RequestTimeout, DefaultRequestTimeout},
		{&s.Window, DefaultWindow},
		{&s.ClockSkew, DefaultClockSkew},
		{&s.ConfirmationLifetime, DefaultConfirmationLifetime},
	} {
		if *setting.value <= 0 {
			*setting.value = setting.fallback
		}
	}
	return s
}
