package enginemodel

import (
	"sort"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// runState is where a request is in its life at the engine.
type runState int

const (
	runWaiting    runState = iota // in the queue, not started
	runPrefilling                 // in the batch, its prompt is being read
	runDecoding                   // in the batch, producing tokens
	runFinished                   // its answer is whole and kept for a while
	runCut                        // it ended early, by a change
	runCancelled                  // a tombstone
)

// run is what the engine knows of one request id. Offsets count tokens of the whole answer.
type run struct {
	submit engine.Submit
	state  runState
	// started tells whether it ever entered the batch.
	started bool
	// prefillLeft is the number of tokens still to be read.
	prefillLeft int
	// reserved is the KV memory it takes, in tokens.
	reserved int
	// produced is the number of tokens at step, for a decoding run; for others it is the present number.
	produced uint32
	step     uint64
	// client gets the stream; empty when nobody listens. nextOffset is the first token that it was not yet sent.
	client     string
	nextOffset uint32
	failure    string
	expiry     time.Time
}

func (r *run) total() uint32 { return r.submit.MaxTokens }

// producedAt returns the number of tokens after a number of steps of the batch.
func (r *run) producedAt(step uint64) uint32 {
	if r.state != runDecoding {
		return r.produced
	}
	return r.produced + uint32(step-r.step)
}

// token returns one token of the answer. Those before ContinueFrom are the ones that came with the command.
func (r *run) token(offset uint32) string {
	if offset < uint32(len(r.submit.PriorTokens)) && offset < r.submit.ContinueFrom {
		return r.submit.PriorTokens[offset]
	}
	return engine.AnswerToken(r.submit.PromptDigest, offset)
}

func (m *Model) record(r *run) RunRecord {
	return RunRecord{
		Engine:       m.settings.Name,
		Incarnation:  m.settings.Incarnation,
		RequestID:    r.submit.RequestID,
		PromptDigest: r.submit.PromptDigest,
		MaxTokens:    r.submit.MaxTokens,
		ContinueFrom: r.submit.ContinueFrom,
	}
}

// attach makes a client the one that gets the stream of a run and sends it what there is already.
func (m *Model) attach(r *run, client string, offset uint32) {
	r.client = client
	r.nextOffset = min(offset, r.total())
	m.stream(r)
}

// stream sends the client of a run what it was not yet sent. After the end of the run the client is let go.
func (m *Model) stream(r *run) {
	if r.client == "" {
		return
	}
	ended := r.state == runFinished || r.state == runCut
	produced := r.producedAt(m.batch.steps)
	if r.nextOffset >= produced && !ended {
		return
	}
	event := engine.Tokens{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		RequestID:   r.submit.RequestID,
		Offset:      r.nextOffset,
		Error:       r.failure,
	}
	if produced > r.nextOffset {
		event.Tokens = make([]string, 0, produced-r.nextOffset)
	}
	for ; r.nextOffset < produced; r.nextOffset++ {
		event.Tokens = append(event.Tokens, r.token(r.nextOffset))
	}
	if r.state == runFinished {
		event.Finished = true
		event.Total = r.total()
	}
	m.send(r.client, event)
	if ended {
		r.client = ""
	}
}

// waitingQueue holds the runs that are not in the batch: higher priority first, then the earlier one.
type waitingQueue struct{ runs []*run }

func (q *waitingQueue) len() int { return len(q.runs) }

func (q *waitingQueue) head() *run {
	if len(q.runs) == 0 {
		return nil
	}
	return q.runs[0]
}

func (q *waitingQueue) push(r *run) {
	index := sort.Search(len(q.runs), func(i int) bool {
		return q.runs[i].submit.Priority < r.submit.Priority
	})
	q.runs = append(q.runs, nil)
	copy(q.runs[index+1:], q.runs[index:])
	q.runs[index] = r
}

func (q *waitingQueue) remove(r *run) { q.runs = without(q.runs, r) }

// without removes a run from a list and keeps the order.
func without(runs []*run, r *run) []*run {
	for i, other := range runs {
		if other == r {
			copy(runs[i:], runs[i+1:])
			runs[len(runs)-1] = nil
			return runs[:len(runs)-1]
		}
	}
	return runs
}

// expiryQueue lists ended runs in the order in which they are to be forgotten. All its entries are kept equally long.
type expiryQueue struct {
	entries []retainedRun
}

type retainedRun struct {
	run    *run
	expiry time.Time
}

// add keeps an ended run until a moment, in place of what was decided for it before.
func (q *expiryQueue) add(r *run, expiry time.Time) {
	r.expiry = expiry
	q.entries = append(q.entries, retainedRun{run: r, expiry: expiry})
}

// expire forgets the ended runs whose time is over.
func (m *Model) expire(now time.Time) {
	m.expireQueue(&m.answers, now)
	m.expireQueue(&m.tombstones, now)
}

func (m *Model) expireQueue(q *expiryQueue, now time.Time) {
	for len(q.entries) > 0 && !q.entries[0].expiry.After(now) {
		entry := q.entries[0]
		q.entries[0] = retainedRun{}
		q.entries = q.entries[1:]
		if entry.run.expiry.Equal(entry.expiry) {
			delete(m.runs, entry.run.submit.RequestID)
		}
	}
}
