package peersync

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/poison"
)

// Supplement is an extensible update. Its fields are numbered, so that other versions skip fields that they do not know
// and treat missing ones as empty. Add new kinds of updates here: older versions cannot decode a Message of another
// length, and would lose the whole message and with it the sender's heartbeat.
type Supplement struct {
	// Leaving lists workers that announced in responses to the sender that they are leaving.
	Leaving []string `cbor:"1,keyasint,omitempty"`
	// Limits lists workers that set or revoked a rate limit in responses to the sender.
	Limits []Limit `cbor:"2,keyasint,omitempty"`
	// LoanRequests ask for a part of other gateways' shares of rate limits, and Loans grant it.
	LoanRequests []LoanRequest `cbor:"3,keyasint,omitempty"`
	Loans        []Loan        `cbor:"4,keyasint,omitempty"`
	// EngineReports lists engines that reported their state to the sender after a start of all gateways.
	EngineReports []EngineReport `cbor:"5,keyasint,omitempty"`
	// Sender is set if Queued or Promises are.
	Sender string `cbor:"6,keyasint,omitempty"`
	// Queued is what the sender has at the queues of engines. Promises are the callers that it told to return since the last
	// supplement.
	Queued   []Queued  `cbor:"7,keyasint,omitempty"`
	Promises []Promise `cbor:"8,keyasint,omitempty"`
	// StreamVersions tell which software version began streams that callers may take up again at the receiver.
	StreamVersions []StreamVersion `cbor:"9,keyasint,omitempty"`
	// Parts is the sender's knowledge of parts of prompts that may crash workers; nil if there is nothing to send.
	Parts *poison.PartUpdate `cbor:"10,keyasint,omitempty"`
}

// StreamVersion tells which software version of which service began a stream.
type StreamVersion struct {
	_ struct{} `cbor:",toarray"`
	// Key recognizes the stream.
	Key      uint64
	Service  string
	Software string
	// LifetimeMs is how long the stream may be taken up again, in milliseconds.
	LifetimeMs int64
}

// EngineReport is what an engine reported about itself to the sender.
type EngineReport struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Role   string
	// Changing is set while the engine changes its role.
	Changing bool
	// Running counts the requests that run or wait at the engine, from all gateways.
	Running int
	// AgeMs is the age of the report in milliseconds when it is sent.
	AgeMs int64
}

// Queued is what one gateway has at one kind of queue of the engines of a group. Queue has the values of admission.Queue.
type Queued struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	Queue  int
	Counts []QueuedCount
}

// QueuedCount is the part of Queued with one urgency.
type QueuedCount struct {
	_       struct{} `cbor:",toarray"`
	Urgency int
	// Waiting is in the queues, in requests or tokens. SentPer10s and StartedPer10s are how much was sent there and started to run, in 10
	// seconds.
	Waiting, SentPer10s, StartedPer10s int
}

// Promise tells that the sender refused a request and told its caller to return after a time.
type Promise struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Key recognizes the request.
	Key     uint64
	AfterMs int64
}

// LoanRequest asks the other gateways for a loan of requests at workers with rate limits.
type LoanRequest struct {
	_        struct{} `cbor:",toarray"`
	Borrower string
	// Serial identifies a request of a borrower, also across its restarts.
	Serial  int64
	Workers []string
	// MaxRequests is the maximum number of requests per worker.
	MaxRequests int
}

// Loan transfers Count requests of the lender's share of a worker's rate limit to the borrower, for the given
// LoanRequest. The lender does not use them anymore.
type Loan struct {
	_        struct{} `cbor:",toarray"`
	Borrower string
	Serial   int64
	Lender   string
	Worker   string
	Count    int
}

// Limit is the number of requests per second that a worker accepts from all gateways together, according to a response
// to the sender.
type Limit struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	// PerSecond is zero if the worker revoked its limit.
	PerSecond float64
	// AgeMs is the age of the limit in milliseconds: since the response with the limit arrived or, for a revoked limit,
	// since the request was sent whose response revoked it.
	AgeMs int64
}

// Empty reports whether there is nothing to send.
func (s *Supplement) Empty() bool {
	return len(s.Leaving) == 0 && len(s.Limits) == 0 && len(s.LoanRequests) == 0 && len(s.Loans) == 0 && len(s.Queued) == 0 &&
		len(s.Promises) == 0 && len(s.EngineReports) == 0 && len(s.StreamVersions) == 0 && s.Parts == nil
}

// Encode returns the encoding of a supplement.
func (s *Supplement) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(s)
	return encoded, errors.Wrap(err, "encode supplement to peers")
}

// DecodeSupplement decodes a supplement.
func DecodeSupplement(encoded []byte) (*Supplement, error) {
	var supplement Supplement
	if err := cbor.Unmarshal(encoded, &supplement); err != nil {
		return nil, errors.Wrapf(err, "decode supplement of %d bytes from peer", len(encoded))
	}
	return &supplement, nil
}

// The first CBOR byte tells the kind of a datagram: supplements are maps, messages are not.
const (
	majorTypeShift = 5
	majorTypeMap   = 5
)

// isSupplement reports whether a datagram holds a supplement.
func isSupplement(encoded []byte) bool {
	return len(encoded) > 0 && encoded[0]>>majorTypeShift == majorTypeMap
}
