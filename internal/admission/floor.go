package admission

// floor lets a share of the tokens of one class start with the urgency of the most urgent class.
//
// Invariant: after each call of take, the tokens that were granted are at least the share of all tokens, less those of the largest request.
type floor struct{ credit float64 }

// take adds the tokens of a request and reports whether the request is granted by the floor.
func (f *floor) take(tokens int, share float64) bool {
	// A request without known tokens is work, too.
	tokens = max(tokens, 1)
	f.credit += share * float64(tokens)
	if f.credit < float64(tokens) {
		return false
	}
	f.credit -= float64(tokens)
	return true
}

// sizeTracker estimates the size that nine tenths of the requests do not exceed.
type sizeTracker struct {
	threshold float64
	seen      int
}

// Parameters of the size estimate: the fraction of requests that are not large, the relative step of the estimate, and how many requests are
// seen before any counts as large.
const (
	largeQuantile  = 0.9
	sizeStep       = 0.05
	minSizesBefore = 10
)

// add adds a size and reports whether it is large. The threshold rises for each larger size and falls for each smaller one, by steps whose
// ratio keeps it at the quantile.
func (s *sizeTracker) add(tokens int) bool {
	// The steps are relative to the threshold, which would stay at zero.
	size := float64(max(tokens, 1))
	s.seen++
	if s.seen == 1 {
		s.threshold = size
		return false
	}
	large := size > s.threshold
	if large {
		s.threshold += largeQuantile * sizeStep * s.threshold
	} else {
		s.threshold -= (1 - largeQuantile) * sizeStep * s.threshold
	}
	return large && s.seen > minSizesBefore
}
