package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/standin/netproxy"
)

// PathFault cuts some gateways off from the workers of a service, or from all workers if it is empty. Other gateways still reach them.
type PathFault struct {
	// Number tells the faults of a round apart.
	Number   int
	Gateways []int
	Service  string
	Mode     netproxy.Mode
	// Duration is how long the fault lasts, at most until all faults end.
	Duration time.Duration
}

func (PathFault) isFault() {}

func (f PathFault) String() string {
	service := f.Service
	if service == "" {
		service = "all workers"
	}
	return fmt.Sprintf("gateways %v and %s: %s, for %s", f.Gateways, service, f.Mode, f.Duration)
}

const (
	// pathStream is the random stream of cut paths.
	pathStream = 1 << 38
	// firstPathSeed is the first seed with cut paths. Lower seeds reproduce their earlier schedules.
	firstPathSeed = 11_000
)

// drawPathFaults returns the cut paths of a round, and whether they are its only faults, so that checkBypass applies. Five rounds in six have
// some, and most of these have no other fault.
func drawPathFaults(seed uint64, number, gateways, zones int) (faults []ScheduledFault, areOnly bool) {
	random := rand.New(rand.NewPCG(seed, pathStream+uint64(number)))
	variant := random.IntN(6)
	if seed < firstPathSeed || variant == 0 {
		return nil, false
	}
	// Sometimes the cut heals and comes again.
	for i := range 1 + random.IntN(2) {
		fault := PathFault{
			Number:   i,
			Gateways: drawCutOff(random, gateways, zones),
			Service:  []string{"", "", servicePlain, serviceEngine}[random.IntN(4)],
			Mode:     []netproxy.Mode{netproxy.ModeCut, netproxy.ModeHang, netproxy.ModeRefuse}[random.IntN(3)],
			// The first cut lasts longer than the time that gateways have to find another way.
			Duration: time.Duration(2800+random.IntN(2200)) * time.Millisecond / time.Duration(i+1),
		}
		at := time.Duration(random.Int64N(int64(faultTime / 4)))
		faults = append(faults, ScheduledFault{At: at + time.Duration(i)*faultTime/2, Fault: fault})
	}
	return faults, variant > 2
}

// drawCutOff draws the gateways that are cut off: some, most or all of them, or all of a zone.
func drawCutOff(random *rand.Rand, gateways, zones int) []int {
	switch random.IntN(4) {
	case 0:
		zone := random.IntN(zones)
		var ofZone []int
		for i := zone; i < gateways; i += zones {
			ofZone = append(ofZone, i)
		}
		return ofZone
	case 1:
		return random.Perm(gateways)[:gateways-1]
	case 2:
		return random.Perm(gateways)[:1+random.IntN(gateways)]
	default:
		return random.Perm(gateways)[:1]
	}
}

// storeFor returns the address of the store as a gateway sees it, which has its own paths to the workers.
func (s *system) storeFor(name string) (string, error) {
	view, err := serveLocally(s.paths.Store(name))
	if err != nil {
		return "", err
	}
	s.views = append(s.views, view)
	return strings.TrimPrefix(view.URL, "http://"), nil
}

// cutPaths cuts paths until the duration of the fault is over, or all faults end.
func (s *system) cutPaths(f PathFault) {
	set := func(mode netproxy.Mode) {
		for _, i := range f.Gateways {
			s.paths.Set(s.gateways[i].name, f.Service, mode)
		}
	}
	set(f.Mode)
	healing := s.healing()
	s.background.Go(func() {
		select {
		case <-time.After(f.Duration):
		case <-healing:
		}
		set(netproxy.ModePass)
		s.endPathFault(f.Number)
	})
}

// healing returns a channel that is closed when all faults of the round end.
func (s *system) healing() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.healed == nil {
		s.healed = make(chan struct{})
	}
	return s.healed
}

// endPathFaults ends the cuts of all paths.
func (s *system) endPathFaults() {
	s.mu.Lock()
	healed := s.healed
	s.healed = nil
	s.mu.Unlock()
	if healed != nil {
		close(healed)
	}
}

// endPathFault records the end of the latest path fault with a number.
func (s *system) endPathFault(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.spans {
		if f, isPathFault := s.spans[i].Fault.(PathFault); isPathFault && f.Number == number && s.spans[i].Ended.IsZero() {
			s.spans[i].Ended = time.Now()
		}
	}
}

// Bounds of checkBypass.
const (
	// bypassTime is the time within which cut-off gateways have to serve again, as their settings say.
	bypassTime = 2 * time.Second
	// minBypassRatio is the least ratio of the shares served by cut-off gateways and by the others.
	minBypassRatio = 2.0 / 3
	// bypassFailures and bypassFailureShare are how many requests, and one in how many, may fail at cut-off gateways in any case.
	bypassFailures     = 10
	bypassFailureShare = 50
)

// checkBypass: while some gateways are cut off from workers and others are not, those serve nearly as well as these, unless other unplanned
// faults interfere. While gateways are replaced by those of another build, some may run one that relays nothing.
func checkBypass(h *History) []Violation {
	var found []Violation
	for _, span := range h.Spans {
		f, isPathFault := span.Fault.(PathFault)
		if !isPathFault || span.Ended.IsZero() || len(f.Gateways) == len(h.Gateways) {
			continue
		}
		isOther := func(other Fault) bool {
			_, isUpgrade := other.(GatewayUpgrade)
			return isUpgrade || (!isPlanned(other) && !isSamePathFault(other, f))
		}
		if h.hasFault(isOther, span.Begun, span.Ended) {
			continue
		}
		var sent, served [2]int
		for _, r := range h.Requests {
			if r.Sent.Before(span.Begun.Add(bypassTime)) || r.Ended.After(span.Ended) || !r.countsAsService() {
				continue
			}
			side := 0
			if slices.Contains(f.Gateways, slices.Index(h.Gateways, r.Gateway)) {
				side = 1
			}
			sent[side]++
			if r.Response.Status == http.StatusOK && r.Response.Err == nil {
				served[side]++
			}
		}
		failed := sent[1] - served[1]
		if failed <= bypassFailures+sent[1]/bypassFailureShare || float64(served[1])*float64(sent[0]) >= minBypassRatio*float64(served[0])*float64(sent[1]) {
			continue
		}
		found = append(found, Violation{"RECOVER", f.String(), fmt.Sprintf("cut-off gateways served %d of %d from %s after the cut began, the others %d of %d",
			served[1], sent[1], bypassTime, served[0], sent[0])})
	}
	return found
}

// isSamePathFault reports whether a fault is the given path fault.
func isSamePathFault(other Fault, f PathFault) bool {
	pathFault, isPathFault := other.(PathFault)
	return isPathFault && pathFault.Number == f.Number && slices.Equal(pathFault.Gateways, f.Gateways) && pathFault.Duration == f.Duration
}
