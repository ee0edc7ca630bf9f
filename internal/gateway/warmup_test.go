package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/cachesync"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
)

// reportingEngines answers Inspect for engines w0, w1, ... It implements roles.Orderer.
type reportingEngines struct {
	roles.Orderer
	mu    sync.Mutex
	asked map[string]int
}

// Inspect implements roles.Orderer. Engine w1 does not answer, w2 fails, and w3 has been replaced.
func (r *reportingEngines) Inspect(ctx context.Context, worker *backend.Worker) (roles.EngineState, error) {
	r.mu.Lock()
	r.asked[worker.ID]++
	r.mu.Unlock()
	switch worker.ID {
	case "w1":
		<-ctx.Done()
		return roles.EngineState{}, ctx.Err()
	case "w2":
		return roles.EngineState{}, errors.New("inspect")
	case "w3":
		return roles.EngineState{}, errors.Wrap(roles.ErrWorkerReplaced, "inspect")
	default:
		time.Sleep(5 * time.Millisecond)
		return roles.EngineState{Role: worker.Role, Running: 7}, nil
	}
}

// newEngineGateway returns a gateway with decode engines w0, w1, ...
func newEngineGateway(engines int, orderer roles.Orderer) *Gateway {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := Settings{Name: "a", LeaseTTL: time.Second, RetryWindow: time.Second}
	g := New(settings, Dependencies{Decoder: nopDecoder{}, PromptCache: &cacheQueryCounter{}, Orderer: orderer}, logger)
	g.dispatcher.SetGroups([]routing.Group{{Name: "g", Engine: &routing.Engine{}}})
	g.configuration = &routing.Configuration{}
	var workers []*backend.Worker
	for i := range engines {
		id := fmt.Sprint("w", i)
		workers = append(workers, &backend.Worker{ID: id, Group: "g", Role: backend.RoleDecode, Address: id, Slots: 32})
	}
	g.WorkersChanged(backend.Changes{Updated: workers})
	return g
}

// TestStartWithoutPeersAsksEachEngineOnce guards against a start of all gateways that leaves the load of engines unknown,
// asks an engine more than once, or waits for one that does not answer.
func TestStartWithoutPeersAsksEachEngineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 200
		orderer := &reportingEngines{asked: map[string]int{}}
		g := newEngineGateway(engines, orderer)
		g.entries.isEntry = true
		ctx, cancel := context.WithCancel(t.Context())
		go g.learnCachedSegments(ctx)
		g.triggerLearning()
		time.Sleep(50 * time.Millisecond)
		if share := g.dispatcher.KnownShare(); share < 0.9 || share == 1 {
			t.Errorf("after 50 ms the load of %f is known", share)
		}
		time.Sleep(probeTimeout)
		if share := g.dispatcher.KnownShare(); share != 1 {
			t.Errorf("after the warm-up the load of %f is known", share)
		}
		for i := range engines {
			if id := fmt.Sprint("w", i); orderer.asked[id] != 1 {
				t.Errorf("%s was asked %d times", id, orderer.asked[id])
			}
		}
		// Becoming an entry once more is no start.
		g.triggerLearning()
		time.Sleep(time.Second)
		if orderer.asked["w0"] != 1 {
			t.Errorf("w0 was asked %d times", orderer.asked["w0"])
		}
		reports := 0
		for _, record := range g.decisions.Latest(0) {
			if record.Outcome == "warmed up" {
				reports++
			}
		}
		if reports != 1 {
			t.Errorf("%d warm-ups are reported, want 1", reports)
		}
		cancel()
	})
}

// TestStandbyAsksNoEngine guards against calls of the hundreds of gateways that receive no callers.
func TestStandbyAsksNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		orderer := &reportingEngines{asked: map[string]int{}}
		g := newEngineGateway(4, orderer)
		ctx, cancel := context.WithCancel(t.Context())
		go g.learnCachedSegments(ctx)
		g.triggerLearning()
		time.Sleep(time.Second)
		if len(orderer.asked) > 0 {
			t.Errorf("asked %v", orderer.asked)
		}
		cancel()
	})
}

// TestTimeAsEntryIsWhatCountsAsWarm guards against a standby gateway that became an entry a moment ago, has run for long and knows no load, and
// keeps other new entries from asking the engines, and against asking them although an entry of a moment ago knows the load.
func TestTimeAsEntryIsWhatCountsAsWarm(t *testing.T) {
	g := newEngineGateway(1, nil)
	g.startedAt = time.Now().Add(-time.Hour)
	handler := g.controlHandler()
	check := func(step string, want time.Duration) {
		t.Helper()
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, cachesync.Path, nil))
		ms, err := strconv.Atoi(response.Header().Get("Entry-Ms"))
		if got := time.Duration(ms) * time.Millisecond; err != nil || got < want || got > want+time.Second {
			t.Errorf("%s: an entry for %v, error %v, want %v", step, got, err, want)
		}
	}
	// setRole changes the role, after the previous one has lasted for the given time.
	setRole := func(isEntry bool, previous time.Duration) {
		g.entries.mu.Lock()
		defer g.entries.mu.Unlock()
		g.entries.roleSince = g.entries.roleSince.Add(-previous)
		g.updateEntryRole(isEntry, 1, 2)
	}
	setRole(false, 0)
	check("standby", 0)
	setRole(true, time.Minute)
	check("new entry", 0)
	setRole(false, 3*time.Second)
	check("standby after 3 s as an entry", 3*time.Second)
	setRole(true, time.Minute)
	check("new entry again", 0)
	g.entries.roleSince = g.entries.roleSince.Add(-4 * time.Second)
	check("entry for 4 s", 4*time.Second)
}
