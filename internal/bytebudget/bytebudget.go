// Package bytebudget bounds the memory that all responses in progress hold together. Most are small and need none of it.
package bytebudget

import "sync"

// Budget is a number of bytes that reservations share. It is safe for concurrent use.
//
// Invariant: the reservations hold no more than limit bytes together, beyond the first exempt bytes of each.
type Budget struct {
	limit, exempt int

	mu   sync.Mutex
	held int
}

// New returns a budget of limit bytes. The first exempt bytes of each reservation don't count.
func New(limit, exempt int) *Budget { return &Budget{limit: limit, exempt: exempt} }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Reservation is what one response holds. It is not safe for concurrent use. A nil Reservation holds any number of bytes.
type Reservation struct {
	budget *Budget
	held   int
}

// Reserve returns an empty reservation. Release must be called in the end.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Hold makes the reservation hold size bytes, if it doesn't hold as many already, and reports whether the budget has them.
func (r *Reservation) Hold(size int) bool {
	if r == nil {
		return true
	}
	more := size - r.budget.exempt - r.held
	if more <= 0 {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.budget.held+more > r.budget.limit {
		return false
	}
	r.budget.held += more
	r.held += more
	return true
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() {
	if r == nil || r.held == 0 {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.held -= r.held
	r.held = 0
}
