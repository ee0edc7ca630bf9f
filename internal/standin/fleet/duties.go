package fleet

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Duties simulates the endpoint that receives the reports of the gateway that holds the duty lease. It rejects calls with a stale
// fence.
type Duties struct {
	mu      sync.Mutex
	fence   int64
	reports map[int64]map[string]int64
	// conflicting are the windows for which two different reports arrived.
	conflicting []int64
	holders     []string
}

// NewDuties returns an endpoint without reports.
func NewDuties() *Duties { return &Duties{reports: map[int64]map[string]int64{}} }

// Reports returns the accepted counts by window and tenant.
func (d *Duties) Reports() map[int64]map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.reports)
}

// Differing returns the windows for which two different reports arrived.
func (d *Duties) Differing() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int64(nil), d.conflicting...)
}

// Holders returns the successive holders that have called.
func (d *Duties) Holders() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.holders...)
}

// ServeHTTP implements http.Handler.
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
