package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// CrashingPart makes clients send prompts with a part that crashes each worker which begins to answer them, until the end of the round. Each
// request has a body and a last part of its own.
type CrashingPart struct {
	// Number tells the parts of a run apart, from 1.
	Number int
	Place  PartPlace
	// SharedPrefixes is the number of first parts that the prompts have in common with those of sound requests.
	SharedPrefixes int
	// OneIn is the reciprocal of the share of streams that have the part.
	OneIn int
}

// PartPlace is the place of the crashing part in prompts.
type PartPlace string

// The places of a crashing part. In the first one, the prompts share a later part with sound requests.
const (
	PartFirst         PartPlace = "first"
	PartMiddle        PartPlace = "in the middle"
	PartMiddleOfThree PartPlace = "in the middle of three"
)

func (CrashingPart) isFault() {}

func (f CrashingPart) String() string {
	return fmt.Sprintf("a part of prompts, %s of one in %d, ends each worker that answers, beside %d first ones", f.Place, f.OneIn, f.SharedPrefixes)
}

const (
	// partStream is the random stream of crashing parts, and partTrafficStream that of the requests with them.
	partStream        = 1 << 41
	partTrafficStream = partStream - 1
	// partCrashStream is the random stream of the crash point of a seed.
	partCrashStream = partStream - 2
	// firstPartSeed is the first seed with crashing parts. Lower seeds reproduce their earlier schedules.
	firstPartSeed = 14_000
)

// partCrashOf returns when crashing parts crash workers.
func partCrashOf(seed uint64) fleet.CrashPoint {
	if seed < firstPartSeed {
		return fleet.CrashBeforeFirstEvent
	}
	random := rand.New(rand.NewPCG(seed, partCrashStream))
	points := []fleet.CrashPoint{fleet.CrashBeforeFirstEvent, fleet.CrashAfterFirstEvent, fleet.CrashWithWholeEnd}
	return points[random.IntN(len(points))]
}

// drawCrashingPart returns the crashing part of a round with what happens beside it, and whether these are its only faults. Three rounds in
// four have one, and two of these have no other fault.
func drawCrashingPart(seed uint64, number, gateways, workers, zones int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, partStream+uint64(number)))
	variant := random.IntN(4)
	if seed < firstPartSeed || variant == 0 {
		return nil, false
	}
	part := CrashingPart{
		Number: number + 1, Place: []PartPlace{PartFirst, PartMiddle, PartMiddleOfThree}[random.IntN(3)],
		SharedPrefixes: []int{2, sharedPrefixes}[random.IntN(2)], OneIn: []int{3, 6, 10, 20}[random.IntN(4)],
	}
	// What is served without crashes shows before.
	at := minPartStart + time.Duration(random.Int64N(int64(maxPartStart-minPartStart)))
	faults = append(faults, ScheduledFault{At: at, Fault: part})
	if variant == 3 {
		return faults, false
	}
	faults = append(faults, drawGatewaySignals(random, gateways)...)
	if random.IntN(3) == 0 {
		cut := PathFault{
			Gateways: drawCutOff(random, gateways, zones), Service: serviceEngine, Mode: []netproxy.Mode{netproxy.ModeCut, netproxy.ModeHang, netproxy.ModeRefuse}[random.IntN(3)],
			Duration: time.Duration(1000+random.IntN(3000)) * time.Millisecond,
		}
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(seriesTime))), Fault: cut})
	}
	for range random.IntN(3) {
		restart := WorkerRestart{random.IntN(workers), drawVersion(random)}
		faults = append(faults, ScheduledFault{At: time.Duration(random.Int64N(int64(seriesTime))), Fault: restart})
	}
	if random.IntN(4) == 0 {
		kill := AllGatewaysKill{Down: time.Duration(100+random.IntN(900)) * time.Millisecond}
		faults = append(faults, ScheduledFault{At: seriesTime + time.Duration(random.Int64N(int64(faultTime-seriesTime))), Fault: kill})
	}
	return faults, true
}

// Bounds of the start of a crashing part in its round.
const minPartStart, maxPartStart = 500 * time.Millisecond, 1500 * time.Millisecond

// Parts of prompts that sound requests have. drawRequest draws the first ones.
const sharedPrefixes = 8

var laterParts = []string{"c0", "c1"}

// addParts gives a stream further parts of its prompt, and makes some streams have the crashing part.
func (s *system) addParts(random *rand.Rand, request *RequestRecord) {
	later, share, prefix := random.IntN(len(laterParts)+1), random.Float64(), random.IntN(sharedPrefixes)
	if request.Kind != KindStream || request.CrashID > 0 {
		return
	}
	call := &request.Request
	call.LastPart = call.ID
	if later < len(laterParts) {
		call.Parts = laterParts[later : later+1]
	}
	part := s.crashingPart.Load()
	if part == nil || share*float64(part.OneIn) >= 1 {
		return
	}
	request.PartID, request.WantBody = part.Number, ""
	crashing := fleet.CrashingPart(part.Number)
	call.SharedPrefix = fmt.Sprintf("a%x", prefix%part.SharedPrefixes)
	switch part.Place {
	case PartFirst:
		call.SharedPrefix, call.Parts = crashing, laterParts[:1]
	case PartMiddle:
		call.Parts = []string{crashing}
	case PartMiddleOfThree:
		call.Parts = []string{crashing, laterParts[0]}
	}
}

// endCrashingPart ends the crashing part of the round, if it has one.
func (s *system) endCrashingPart() {
	if part := s.crashingPart.Swap(nil); part != nil {
		s.endFault(*part)
	}
}

// Bounds of the rules for crashing parts.
const (
	// contactTime is the time after which gateways in touch with each other have to act on what one of them knows.
	contactTime = 3 * time.Second
	// partCrashThreshold is the number of crashes after which at most maxPartRequests requests with the part may reach workers.
	partCrashThreshold, maxPartRequests = 5, 3
	// minSharedServed is the share of the sound requests that begin, relative to that without crashes. minSharedRequests is the number from
	// which it counts.
	minSharedServed, minSharedRequests = 0.5, 12
)

// partHistory is what happened under one crashing part.
type partHistory struct {
	span Span
	part CrashingPart
	// crashes are the times of the crashes that count, in order. crashed is the number of all, and last the time of the last one.
	crashes []time.Time
	crashed int
	last    time.Time
}

// partHistories returns the crashing parts under which workers crashed.
func (h *History) partHistories() []partHistory {
	requests := h.requestsByID()
	var found []partHistory
	for _, span := range h.Spans {
		part, isPart := span.Fault.(CrashingPart)
		if !isPart {
			continue
		}
		var at []time.Time
		for _, crash := range h.Crashes {
			if requests[crash.ID].PartID == part.Number {
				at = append(at, crash.At)
			}
		}
		if len(at) > 0 {
			slices.SortFunc(at, time.Time.Compare)
			last := at[len(at)-1]
			found = append(found, partHistory{span: span, part: part, crashes: h.rememberedCrashes(at), crashed: len(at), last: last})
		}
	}
	return found
}

// rememberedCrashes returns the crashes of which some gateway knows: those before a time at which no gateway was left in touch don't count,
// unless the part had to be barred by then and the store had no fault since.
func (h *History) rememberedCrashes(at []time.Time) []time.Time {
	for _, lost := range h.lossesOfKnowledge() {
		barred := len(at) >= partCrashThreshold && at[partCrashThreshold-1].Add(contactTime).Before(lost)
		if barred && !h.hasFault(isStoreFault, at[0], lost) {
			break
		}
		at = slices.DeleteFunc(at, func(crash time.Time) bool { return crash.Before(lost) })
	}
	return at
}

// lossesOfKnowledge returns the times at which the last gateway was killed that had not been killed or separated within the contact time
// before, in order.
func (h *History) lossesOfKnowledge() []time.Time {
	var lost []time.Time
	for _, exit := range h.Exits {
		from := exit.At.Add(-contactTime)
		isGone := func(index int) bool {
			return h.wasKilled(h.Gateways[index], from, exit.At) || exit.Gateway == h.Gateways[index] || h.wasSeparated(index, from, exit.At)
		}
		all := exit.Killed
		for index := range h.Gateways {
			all = all && isGone(index)
		}
		if all {
			lost = append(lost, exit.At)
		}
	}
	slices.SortFunc(lost, time.Time.Compare)
	return lost
}

// isStoreFault reports whether a fault may keep the store from holding what gateways write.
func isStoreFault(f Fault) bool {
	switch f.(type) {
	case StoreFault, StoreNetworkFault, StoreRestore:
		return true
	default:
		return false
	}
}

// wasSeparated reports whether a gateway was separated from others within a time span or contactTime before it.
func (h *History) wasSeparated(gateway int, from, until time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(span Span) bool {
		return separates(span.Fault, gateway) && span.Begun.Before(until) && (span.Ended.IsZero() || span.Ended.Add(contactTime).After(from))
	})
}

// inTouchLong reports whether the gateway of a request has been in touch for contactTime.
func (h *History) inTouchLong(r *RequestRecord) bool {
	return h.inTouch(r) && !h.wasSeparated(slices.Index(h.Gateways, r.Gateway), r.Sent, r.Ended)
}

// lateRequests returns the requests with a crashing part that reached workers later than contactTime after the fifth crash, through gateways
// in touch.
func (h *History) lateRequests(p partHistory) []string {
	if len(p.crashes) < partCrashThreshold {
		return nil
	}
	limit := p.crashes[partCrashThreshold-1].Add(contactTime)
	requests, late := h.requestsByID(), []string{}
	for _, arrival := range h.Arrivals {
		r := requests[arrival.ID]
		if r.PartID == p.part.Number && arrival.At.After(limit) && h.inTouchLong(&r) {
			late = append(late, arrival.ID)
		}
	}
	slices.Sort(late)
	return slices.Compact(late)
}

// checkCrashingParts: once a part of prompts has crashed partCrashThreshold workers, few requests with it reach workers later than
// contactTime, whatever else they hold.
func checkCrashingParts(h *History) []Violation {
	var found []Violation
	for _, p := range h.partHistories() {
		if late := h.lateRequests(p); len(late) > maxPartRequests {
			found = append(found, Violation{"BUDGET", late[maxPartRequests], fmt.Sprintf("crashing part %d: %d requests with it reached workers later than %s after the fifth crash at %s; %d crashes in total",
				p.part.Number, len(late), contactTime, p.crashes[partCrashThreshold-1].Format(timeFormat), p.crashed)})
		}
	}
	return found
}

// beginShare counts the sound streams that began at the first attempt.
type beginShare struct{ sent, begun int }

// share returns the share of the streams that began.
func (s beginShare) share() float64 { return float64(s.begun) / float64(max(s.sent, 1)) }

// soundStreams counts the sound streams that were sent within a time span and match.
func (h *History) soundStreams(from, until time.Time, matches func(*RequestRecord) bool) beginShare {
	var s beginShare
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != KindStream || r.crashesWorkers() || r.Resumption > 0 || r.Sent.Before(from) || !r.Sent.Before(until) || !matches(r) {
			continue
		}
		hasBegun := r.Response.Status == http.StatusOK && r.Response.LastEventID() != ""
		if !hasBegun && (!r.leftAt().IsZero() || r.crossedClose()) {
			continue
		}
		s.sent, s.begun = s.sent+1, s.begun+count(hasBegun)
	}
	return s
}

// sharesPart reports whether a sound stream shares a first part with the requests of a crashing part. If that part is the first one, all do.
func sharesPart(r *RequestRecord, part CrashingPart) bool {
	for prefix := range part.SharedPrefixes {
		if r.Request.SharedPrefix == fmt.Sprintf("a%x", prefix) {
			return true
		}
	}
	return part.Place == PartFirst
}

// calmTime is the time before a crashing part in which sound streams show how many begin without crashes. It is within the quiet part of the
// round before.
const calmTime = quietTime - recoverTime

// sharedServed returns how many sound streams began without crashes, and how many of those that share a first part at gateways in touch from
// two contact times after the fifth crash on, or after the last one if there are fewer.
func (h *History) sharedServed(p partHistory) (calm, crashing beginShare) {
	until := p.span.Ended
	if until.IsZero() {
		until = h.CollectedAt
	}
	from := p.last.Add(2 * contactTime)
	if len(p.crashes) >= partCrashThreshold {
		from = p.crashes[partCrashThreshold-1].Add(2 * contactTime)
	}
	crashing = h.soundStreams(from, until, func(r *RequestRecord) bool { return sharesPart(r, p.part) && h.inTouchLong(r) })
	isPart := func(f Fault) bool { _, isPart := f.(CrashingPart); return isPart }
	calm = h.soundStreams(p.span.Begun.Add(-calmTime), p.span.Begun, func(r *RequestRecord) bool {
		return !h.hasFault(isPart, r.Sent, r.Sent)
	})
	return calm, crashing
}

// checkSharedParts: sound streams that share a first part with those of a crashing part begin at the first attempt at least half as often as
// without crashes, from two contact times after the fifth crash on.
func checkSharedParts(h *History) []Violation {
	var found []Violation
	for _, p := range h.partHistories() {
		calm, crashing := h.sharedServed(p)
		wanted := minSharedServed
		// Where too few streams show what begins without crashes, it is all of them.
		if calm.sent >= minSharedRequests {
			wanted *= calm.share()
		}
		if crashing.sent >= minSharedRequests && crashing.share() < wanted {
			found = append(found, Violation{"LOST", fmt.Sprintf("crashing part %d", p.part.Number), fmt.Sprintf("%d of %d sound streams that share a first part with it began, %d of %d before it; %d crashes in total",
				crashing.begun, crashing.sent, calm.begun, calm.sent, p.crashed)})
		}
	}
	return found
}

// isBesidePart reports whether a request was in progress while clients sent requests with a crashing part.
func (h *History) isBesidePart(r *RequestRecord) bool {
	return slices.ContainsFunc(h.Spans, func(span Span) bool {
		_, isPart := span.Fault.(CrashingPart)
		return isPart && span.Begun.Before(r.Ended) && (span.Ended.IsZero() || span.Ended.After(r.Sent))
	})
}

// describeParts formats what happened under crashing parts.
func (h *History) describeParts() string {
	text := "crashing parts:"
	for _, p := range h.partHistories() {
		calm, crashing := h.sharedServed(p)
		text += fmt.Sprintf(" %d: %d crashes, %d of which count, %d late requests, sound ones %d of %d before, %d of %d after;",
			p.part.Number, p.crashed, len(p.crashes), len(h.lateRequests(p)), calm.begun, calm.sent, crashing.begun, crashing.sent)
	}
	return text
}
