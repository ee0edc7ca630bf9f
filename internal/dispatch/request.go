package dispatch

import (
	"strconv"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
)

// phase is where a request stands at its owner.
type phase int

const (
	// phaseQueued: no engine was chosen.
	phaseQueued phase = iota
	// phaseClaiming: an engine was chosen and the claim is being decided.
	phaseClaiming
	// phaseSubmitted: a Submit was sent and no event of the run came yet.
	phaseSubmitted
	// phaseAttaching: an Attach was sent and no event of the run came yet.
	phaseAttaching
	// phaseRunning: the engine runs the request.
	phaseRunning
	// phaseCancelling: a Cancel was sent and has not been confirmed.
	phaseCancelling
	// phaseWithdrawing: the claim is being decided as withdrawn.
	phaseWithdrawing
	// phaseAnswered: the whole answer is here.
	phaseAnswered
	// phaseClosed: the outcome was sent, or the request went on elsewhere.
	phaseClosed
)

// request is the entry of one request.
type request struct {
	work         *granitebayv1.Work
	policy       Policy
	attempt      uint32
	agentName    string
	agentAddress string
	deadline     time.Time
	arrived      time.Time

	phase phase
	// engine and incarnation of the chosen run; empty while queued.
	engine      string
	incarnation uint64
	// instance is the number of the claim instance: each engine that surely will not run the request moves it on.
	instance uint32
	// submitted is set once a Submit went out whose fate was not settled as "did not run".
	submitted bool
	// uncached is the part of the prompt that was expected to be read at the engine.
	uncached int
	// reserved is set while the request counts at its engine.
	reserved bool
	started  bool

	// tokens is the answer so far, from offset base. The base is above zero when the agent came from another router with
	// tokens that it did not send along.
	base     uint32
	tokens   []string
	complete bool

	failures     int
	retryAt      time.Time
	lastProgress time.Time
	excluded     []string
	// tombstoned lists the engines that never run the request because it was cancelled there.
	tombstoned []string
	// returns counts how often the request came back to the queue; notBefore delays the next try.
	returns   int
	notBefore time.Time
	// queuedAt is when the request came into the queue, or when another owner was last looked for.
	queuedAt time.Time
	hops     uint32
	// passedBy names the owners that had the attempt before and passed it on.
	passedBy []string
	// cancelReason is why the run is being cancelled.
	cancelReason string

	// withdrawn is set when the claim shows that no attempt ever runs.
	withdrawn bool

	endedAt time.Time
	outcome *granitebayv1.Outcome
}

func (r *request) id() string { return r.work.GetRequestId() }

// ended tells whether nothing more happens to the request here.
func (r *request) ended() bool { return !r.endedAt.IsZero() }

// repeatable tells whether the work may run more than once.
func (r *request) repeatable() bool { return r.work.GetRepeatable() }

// length is the number of tokens that the agent has or can get from here.
func (r *request) length() uint32 { return r.base + uint32(len(r.tokens)) }

// instanceID names the current claim instance.
func (r *request) instanceID() string {
	if r.instance == 0 {
		return r.id()
	}
	return r.id() + claim.InstanceSeparator + strconv.FormatUint(uint64(r.instance), 10)
}

// run returns the reference of the chosen run, or nil.
func (r *request) run() *granitebayv1.RunReference {
	if r.engine == "" || r.phase == phaseClaiming {
		return nil
	}
	return &granitebayv1.RunReference{Engine: r.engine, EngineIncarnation: r.incarnation}
}
