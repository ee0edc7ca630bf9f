package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// checkVersions: a stream has events of one software version, over all tries of its client.
func checkVersions(h *History) []Violation {
	tries := map[string][]*RequestRecord{}
	var order []string
	for i := range h.Requests {
		r := &h.Requests[i]
		if len(r.Response.Versions) == 0 {
			continue
		}
		stream := r.stream()
		if tries[stream] == nil {
			order = append(order, stream)
		}
		tries[stream] = append(tries[stream], r)
	}
	var found []Violation
	for _, stream := range order {
		var versions, details []string
		for _, r := range tries[stream] {
			versions = append(versions, r.Response.Versions...)
			details = append(details, fmt.Sprintf("%s at %s %s: events of %v, runs %+v", r.Request.ID, r.Gateway, r.Sent.Format(timeFormat), r.Response.Versions, h.Runs[r.Request.ID]))
		}
		slices.Sort(versions)
		if versions = slices.Compact(versions); len(versions) > 1 {
			found = append(found, Violation{"ORDER", stream, fmt.Sprintf("the stream has events of %v: %s", versions, strings.Join(details, "; "))})
		}
	}
	return found
}

// stream returns the ID of the first try of the stream to which a request belongs.
func (r *RequestRecord) stream() string {
	if r.Stream != "" {
		return r.Stream
	}
	return r.Request.ID
}

// Bounds on resumptions.
const (
	// minResumptions is the number from which the share of resumptions that go on counts.
	minResumptions = 12
	// minServingEngines is the number of engines of its version that have to serve for a resumption to count.
	minServingEngines = 2
	// knowledgeTime is the time after its start from which a gateway has to know which version began a stream.
	knowledgeTime = 3 * time.Second
	// minResumedShare is the share of the resumptions that go on, relative to the share of new streams that begin.
	minResumedShare = 0.5
)

// resumptionTotals count resumptions by outcome, and new streams.
type resumptionTotals struct {
	wentOn, refused, failed int
	// counted are the resumptions that count towards the share, of which countedOn went on.
	counted, countedOn int
	// begun are the new streams that began, of those that were sent.
	sent, begun int
}

// String implements fmt.Stringer.
func (t resumptionTotals) String() string {
	return fmt.Sprintf("%d resumptions went on, %d were refused, %d failed; of those while two workers of their version served, %d of %d went on; %d of %d new streams began",
		t.wentOn, t.refused, t.failed, t.countedOn, t.counted, t.begun, t.sent)
}

// resumptionTotals counts the resumptions and the new streams. Only those at gateways in touch count towards the shares.
func (h *History) resumptionTotals() resumptionTotals {
	var t resumptionTotals
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != KindStream || r.crashesWorkers() {
			continue
		}
		hasBegun := r.Response.Status == http.StatusOK && r.Response.LastEventID() != ""
		// A client that left early says nothing about the gateway.
		counts := (hasBegun || r.leftAt().IsZero() && !r.crossedClose()) && h.inTouch(r)
		switch {
		case r.Resumption == 0 && counts:
			t.sent, t.begun = t.sent+1, t.begun+count(hasBegun)
		case r.Resumption == 0:
		case hasBegun:
			t.wentOn++
		case r.Response.Status == http.StatusServiceUnavailable || r.Response.Status == http.StatusTooManyRequests:
			t.refused++
		default:
			t.failed++
		}
		if r.Resumption > 0 && counts && r.ServingEngines >= minServingEngines {
			t.counted, t.countedOn = t.counted+1, t.countedOn+count(hasBegun)
		}
	}
	return t
}

// count returns one for true.
func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}

// inTouch reports whether the gateway of a request was running, reached the others and had been started long enough before.
func (h *History) inTouch(r *RequestRecord) bool {
	if errors.Is(r.Response.Err, fleet.ErrNotConnected) || h.wasKilled(r.Gateway, r.Sent, r.Ended) {
		return false
	}
	index := slices.Index(h.Gateways, r.Gateway)
	for _, start := range h.Starts {
		if start.Gateway == r.Gateway && !start.At.After(r.Sent) && r.Sent.Sub(start.At) < knowledgeTime {
			return false
		}
	}
	return !slices.ContainsFunc(h.Spans, func(span Span) bool {
		return separates(span.Fault, index) && span.Begun.Before(r.Ended) && (span.Ended.IsZero() || span.Ended.After(r.Sent))
	})
}

// separates reports whether a fault keeps a gateway from its clients, from workers, from the store or from other gateways.
func separates(fault Fault, gateway int) bool {
	switch f := fault.(type) {
	case GatewayPause:
		return slices.Contains(f.Gateways, gateway)
	case GatewayFreeze:
		return f.Gateway == gateway
	case StoreNetworkFault:
		return slices.Contains(f.Gateways, gateway)
	case PathFault:
		return slices.Contains(f.Gateways, gateway)
	case SilentConnections:
		return f.Path != PathWorker && f.Index == gateway
	default:
		return false
	}
}

// checkResumptions: while two engines of their software version serve, resumptions go on at least half as often as new streams begin.
func checkResumptions(h *History) []Violation {
	t := h.resumptionTotals()
	if t.counted < minResumptions || t.sent == 0 {
		return nil
	}
	if float64(t.countedOn)/float64(t.counted) >= minResumedShare*float64(t.begun)/float64(t.sent) {
		return nil
	}
	return []Violation{{"LOST", "resumptions", t.String()}}
}
