package platformmodel

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/platform"
)

// weightStore is the store of model weights.
type weightStore struct {
	settings WeightSettings
	regions  map[string]*region
}

// region is the bucket of bytes that all loads of a region share.
type region struct {
	// available bytes at the time updated; below zero when loads have taken bytes ahead.
	available float64
	updated   time.Time
	// finishes are the ends of the loads under way, earliest first.
	finishes []time.Time
}

func newWeightStore(settings WeightSettings) weightStore {
	return weightStore{settings: settings, regions: map[string]*region{}}
}

// fetch admits a load and tells how long it takes, or when to ask again.
func (w *weightStore) fetch(now time.Time, request platform.FetchWeights) platform.Response {
	shared := w.region(now, request.Zone)
	shared.finishes = slices.DeleteFunc(shared.finishes, func(end time.Time) bool { return !end.After(now) })
	if w.settings.MaximumLoads > 0 && len(shared.finishes) >= w.settings.MaximumLoads {
		return platform.Response{Failure: platform.FailureRateLimited, RetryAfter: shared.finishes[0].Sub(now)}
	}
	size := float64(w.size(request.Model))
	duration := shared.take(size, w.settings.BytesPerSecond) + transferTime(size, w.settings.LoadBytesPerSecond)
	shared.finishes = append(shared.finishes, now.Add(duration))
	slices.SortFunc(shared.finishes, time.Time.Compare)
	return platform.Response{Duration: duration}
}

func (w *weightStore) size(model string) int64 {
	if size, known := w.settings.ModelBytes[model]; known {
		return size
	}
	return w.settings.DefaultModelBytes
}

// region returns the bucket of the region of a zone, filled up to now.
func (w *weightStore) region(now time.Time, zone string) *region {
	name := w.settings.RegionOfZone[zone]
	shared, known := w.regions[name]
	if !known {
		shared = &region{available: w.settings.BurstBytes, updated: now}
		w.regions[name] = shared
	}
	added := now.Sub(shared.updated).Seconds() * w.settings.BytesPerSecond
	shared.available = min(shared.available+added, w.settings.BurstBytes)
	shared.updated = now
	return shared
}

// take takes bytes and returns how long the bucket needs to make up for those that it did not have.
func (r *region) take(size, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	r.available -= size
	return transferTime(max(-r.available, 0), bytesPerSecond)
}

// transferTime returns how long so many bytes take; nothing when the rate has no limit.
func transferTime(size, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(size / bytesPerSecond * float64(time.Second))
}
