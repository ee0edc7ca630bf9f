package forward

import (
	"slices"
	"strings"
	"sync"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
)

// WorkerView describes one worker as seen by this gateway.
type WorkerView struct {
	Worker *backend.Worker
	// Load is the worker's load from all gateways.
	Load backend.Load
	// Ejected is set while the worker is ejected or unreachable, and Changing while it changes its role.
	Ejected  bool
	Changing bool
	// BackingOff is set while the worker has asked this gateway not to send requests.
	BackingOff bool
	// Quota is this gateway's quota of a rate-limited worker; nil if the worker has no rate limit.
	Quota *balance.Quota
}

// Workers returns all workers ordered by id.
func (d *Dispatcher) Workers() []WorkerView {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	var views []WorkerView
	for _, id := range d.balancer.IDs() {
		worker, _ := d.balancer.Worker(id)
		ejected, changing := d.balancer.Skipped(now, id)
		var quota *balance.Quota
		if limited, found := d.balancer.QuotaOf(id); found {
			quota = &limited
		}
		views = append(views, WorkerView{
			Quota: quota, Worker: worker, Load: d.balancer.TotalLoad(id), Ejected: ejected, Changing: changing,
			BackingOff: now.Before(d.balancer.BackOffUntil(id)),
		})
	}
	return views
}

// maxRecentLabels bounds the number of remembered label sets.
const maxRecentLabels = 64

// recentLabels remembers the distinct label sets of recent requests. It is safe for concurrent use.
type recentLabels struct {
	mu   sync.Mutex
	keys []string
	sets map[string]map[string]string
}

// add adds a label set and evicts the oldest if there are too many.
func (r *recentLabels) add(labels map[string]string) {
	var pairs []string
	for name, value := range labels {
		pairs = append(pairs, name+"="+value)
	}
	slices.Sort(pairs)
	key := strings.Join(pairs, ",")
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.sets[key]; known {
		return
	}
	if r.sets == nil {
		r.sets = map[string]map[string]string{}
	}
	if len(r.keys) >= maxRecentLabels {
		delete(r.sets, r.keys[0])
		r.keys = r.keys[1:]
	}
	r.keys = append(r.keys, key)
	r.sets[key] = labels
}

// RecentLabels returns the label sets of recent requests, oldest first.
func (h *Handler) RecentLabels() []map[string]string {
	h.recent.mu.Lock()
	defer h.recent.mu.Unlock()
	var sets []map[string]string
	for _, key := range h.recent.keys {
		sets = append(sets, h.recent.sets[key])
	}
	return sets
}
