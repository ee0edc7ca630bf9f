package agent

import (
	"slices"
	"sort"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// maxPendingSegments bounds the segments of one stream that wait for earlier tokens.
const maxPendingSegments = 1024

// runKey names one run of a request at an engine.
type runKey struct {
	engine      string
	incarnation uint64
}

func keyOfRun(run *granitebayv1.RunReference) runKey {
	return runKey{engine: run.GetEngine(), incarnation: run.GetEngineIncarnation()}
}

// segment is a piece of an answer, with the run that was said to produce it.
type segment struct {
	offset uint32
	tokens []string
	run    runKey
}

func (s segment) end() uint32 { return s.offset + uint32(len(s.tokens)) }

// stream is what one router sends of an answer under one attempt. The router began with the tokens that the attempt
// named and only adds to them, so that what it sends is one text, also when it changed the engine meanwhile.
type stream struct {
	// agreed is the number of leading tokens of the answer that the stream is known to share.
	agreed uint32
	// unfit is set when the stream contradicted the answer or itself. It is not used any more.
	unfit      bool
	total      uint32
	totalKnown bool
	// pending are the segments that arrived before the tokens in front of them, ordered by offset.
	pending []segment
}

// answer assembles the tokens of one request. It only grows. A stream may extend it only if the stream shares all tokens
// that the answer already has, and a run only if no other run has extended the answer since: so tokens of two runs are
// never mixed into something that no engine said.
type answer struct {
	tokens []string
	// limit is the number of tokens that were asked for.
	limit uint32
	// single is set for work that may not be repeated: it has one run, and all its streams are one.
	single  bool
	streams map[string]*stream
	// reach is the length of the answer when a run last extended it.
	reach map[runKey]uint32
}

// taken tells what a Progress did to an answer.
type taken struct {
	// added is the number of new tokens.
	added int
	// gap is set when tokens are known to be missing, from the offset in agreed on.
	gap    bool
	agreed uint32
	// conflict is set when the stream contradicts the answer or itself.
	conflict bool
	// whole is set when the answer is complete.
	whole bool
}

func newAnswer(limit uint32, single bool) answer {
	return answer{limit: limit, single: single, streams: make(map[string]*stream, 1), reach: make(map[runKey]uint32, 1)}
}

func (a *answer) length() uint32 { return uint32(len(a.tokens)) }

// startAttempt forgets the streams of earlier attempts.
func (a *answer) startAttempt() {
	if !a.single {
		clear(a.streams)
	}
}

// streamFrom returns the stream of a router under the latest attempt, which named its tokens up to an offset.
func (a *answer) streamFrom(source string, resumeOffset uint32) *stream {
	if a.single {
		source = ""
		resumeOffset = a.length()
	}
	from := a.streams[source]
	if from == nil {
		from = &stream{agreed: resumeOffset}
		a.streams[source] = from
	}
	return from
}

// take uses the tokens of a Progress from a router under the latest attempt.
func (a *answer) take(source string, resumeOffset uint32, progress *granitebayv1.Progress) taken {
	from := a.streamFrom(source, resumeOffset)
	before := a.length()
	piece := segment{offset: progress.GetOffset(), tokens: progress.GetTokens(), run: keyOfRun(progress.GetRun())}
	if !from.unfit && !a.consistent(from, piece, progress) {
		from.unfit = true
	}
	if !from.unfit && len(piece.tokens) > 0 {
		a.insert(from, piece)
		a.drain(from)
	}
	result := taken{added: int(a.length() - before), agreed: from.agreed}
	if from.unfit {
		from.pending = nil
		result.conflict = true
		return result
	}
	result.whole = from.totalKnown && from.agreed == a.length() && from.total == a.length()
	result.gap = len(from.pending) > 0 || piece.offset > from.agreed || (from.totalKnown && !result.whole)
	return result
}

// consistent checks a Progress against the limit and against the length that the stream itself gave, and notes that
// length.
func (a *answer) consistent(from *stream, piece segment, progress *granitebayv1.Progress) bool {
	if progress.GetFinished() {
		if progress.GetTotalTokens() != piece.end() || (from.totalKnown && from.total != piece.end()) {
			return false
		}
		from.total = piece.end()
		from.totalKnown = true
	}
	if from.totalKnown && (piece.end() > from.total || a.length() > from.total) {
		return false
	}
	return piece.end() <= a.limit
}

// insert uses a segment as far as it fits, or lets it wait.
func (a *answer) insert(from *stream, piece segment) {
	held := a.length()
	if piece.offset < held {
		overlap := min(piece.end(), held)
		if !slices.Equal(a.tokens[piece.offset:overlap], piece.tokens[:overlap-piece.offset]) {
			from.unfit = true
			return
		}
		if piece.offset <= from.agreed {
			from.agreed = max(from.agreed, overlap)
		}
	}
	switch {
	case piece.end() <= held:
	case from.agreed < held || piece.offset > held:
		from.wait(piece)
	case !a.mayExtend(piece.run):
		from.unfit = true
	default:
		a.tokens = append(a.tokens, piece.tokens[held-piece.offset:]...)
		a.reach[piece.run] = a.length()
		from.agreed = a.length()
	}
}

// mayExtend tells whether a run may add to the answer now. A run that another one has overtaken was left: it did not
// continue from the tokens that came after its own.
func (a *answer) mayExtend(run runKey) bool {
	reach, known := a.reach[run]
	if a.single {
		return known || len(a.reach) == 0
	}
	return !known || reach == a.length()
}

// wait keeps a segment, ordered by offset.
func (s *stream) wait(piece segment) {
	at := sort.Search(len(s.pending), func(i int) bool { return s.pending[i].offset >= piece.offset })
	if at < len(s.pending) && s.pending[at].offset == piece.offset && s.pending[at].end() >= piece.end() {
		return
	}
	if len(s.pending) >= maxPendingSegments {
		return
	}
	s.pending = slices.Insert(s.pending, at, piece)
}

// drain uses the waiting segments that fit by now.
func (a *answer) drain(from *stream) {
	for len(from.pending) > 0 && !from.unfit {
		first := from.pending[0]
		if first.offset > a.length() || from.agreed < a.length() {
			return
		}
		from.pending = from.pending[1:]
		a.insert(from, first)
	}
}
