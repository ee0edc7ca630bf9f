package fleet

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Duties is a stand-in of the calls that one gateway makes for all. It checks fences, as the platform may.
type Duties struct {
	mu      sync.Mutex
	fence   int64
	reports map[int64]map[string]int64
	// differing are the windows of which two different counts came.
	conflicting []int64
	holders     []string
}

// NewDuties returns a stand-in that has taken nothing.
func NewDuties() *Duties { return &Duties{reports: map[int64]map[string]int64{}} }

// Reports returns the counts that were taken, by window and tenant.
func (d *Duties) Reports() map[int64]map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.reports)
}

// Differing returns the windows of which two different counts came.
func (d *Duties) Differing() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int64(nil), d.conflicting...)
}

// Holders returns who has called, one after the other.
func (d *Duties) Holders() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.holders...)
}

// ServeHTTP is part of http.Handler.
func (d *Duties) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	holder := r.Header.Get("Duty-Holder")
	if err != nil || holder == "" || r.URL.Path != "/usage" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence < d.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	d.fence = fence
	if len(d.holders) == 0 || d.holders[len(d.holders)-1] != holder {
		d.holders = append(d.holders, holder)
	}
	if known, taken := d.reports[body.WindowID]; taken && !maps.Equal(known, body.Counts) {
		d.conflicting = append(d.conflicting, body.WindowID)
		return
	}
	d.reports[body.WindowID] = body.Counts
}
