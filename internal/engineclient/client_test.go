package engineclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
	"github.com/granitebay/granitebay/internal/standin/engineserver"
)

const testEngine = "engine-a-1"

// pipeNetwork connects an HTTP client and a server within the bubble of a test.
type pipeNetwork struct {
	connections chan net.Conn
	done        chan struct{}
	mutex       sync.Mutex
	refusing    bool
	open        []net.Conn
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{connections: make(chan net.Conn), done: make(chan struct{})}
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case connection := <-n.connections:
		return connection, nil
	case <-n.done:
		return nil, net.ErrClosed
	}
}

func (n *pipeNetwork) Close() error   { close(n.done); return nil }
func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (n *pipeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.refusing {
		return nil, &net.OpError{Op: "dial", Err: io.EOF}
	}
	ours, theirs := net.Pipe()
	select {
	case n.connections <- theirs:
		n.open = append(n.open, ours)
		return ours, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refuse cuts all connections and refuses new ones.
func (n *pipeNetwork) refuse() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refusing = true
	for _, connection := range n.open {
		_ = connection.Close()
	}
}

// fixture is a client and an engine within a bubble.
type fixture struct {
	*engineclient.Client
	network *pipeNetwork
	server  *engineserver.Server
	events  chan engine.Event
}

func quietLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func newFixture(t *testing.T, change func(*enginemodel.Settings)) *fixture {
	t.Helper()
	settings := enginemodel.DefaultSettings(testEngine, 0)
	if change != nil {
		change(&settings)
	}
	server, err := engineserver.New(engineserver.Options{Model: settings, Logger: quietLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	f := newClient(t, server.Handler())
	f.server = server
	return f
}

// newClient connects a client to a handler in place of an engine.
func newClient(t *testing.T, handler http.Handler) *fixture {
	t.Helper()
	network := newPipeNetwork()
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(network) }()
	events := make(chan engine.Event, 1<<16)
	client := engineclient.New(engineclient.Options{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: network.dial, MaxIdleConnsPerHost: 512}},
		Deliver:    func(event engine.Event) { events <- event },
		Logger:     quietLogger(),
	})
	client.SetAddress(testEngine, "engine:80")
	t.Cleanup(func() {
		client.Close()
		_ = httpServer.Close()
	})
	return &fixture{Client: client, network: network, events: events}
}

// next returns the next event.
func next[T engine.Event](t *testing.T, f *fixture) T {
	t.Helper()
	select {
	case event := <-f.events:
		typed, ok := event.(T)
		if !ok {
			t.Fatalf("got %T %+v, want %T", event, event, typed)
		}
		return typed
	case <-time.After(time.Hour):
		t.Fatal("no event within an hour")
		panic("unreachable")
	}
}

// order gives the engine its first configuration and waits until it is ready.
func (f *fixture) order(t *testing.T, generation uint64, role engine.Role) engine.OrderResult {
	t.Helper()
	f.Do(engine.Order{
		Engine:              testEngine,
		ExpectedIncarnation: f.server.Incarnation(),
		Fence:               engine.Fence{Epoch: 1, Generation: generation},
		Configuration:       engine.Configuration{Role: role, Model: "roast"},
	})
	result := next[engine.OrderResult](t, f)
	time.Sleep(time.Minute)
	return result
}

func (f *fixture) submit(requestID string, tokens uint32) engine.Submit {
	return engine.Submit{
		Engine: testEngine, ExpectedIncarnation: f.server.Incarnation(), ExpectedGeneration: 1,
		RequestID: requestID, Model: "roast", Prompt: "grind for the long blend", MaxTokens: tokens,
	}
}

// answer collects an answer from an offset on and checks it.
func (f *fixture) answer(t *testing.T, submit engine.Submit, offset uint32) {
	t.Helper()
	digest := engine.PromptDigest(submit.Model, submit.Adapter, submit.Prompt)
	for {
		tokens := next[engine.Tokens](t, f)
		if tokens.Offset != offset || tokens.RequestID != submit.RequestID || tokens.Error != "" {
			t.Fatalf("got %+v, want offset %d", tokens, offset)
		}
		for i, token := range tokens.Tokens {
			if want := engine.AnswerToken(digest, offset+uint32(i)); token != want {
				t.Fatalf("token %d is %q, want %q", offset+uint32(i), token, want)
			}
		}
		offset += uint32(len(tokens.Tokens))
		if tokens.Finished {
			if offset != submit.MaxTokens || tokens.Total != offset {
				t.Fatalf("the answer ends at %d of %d, want %d", offset, tokens.Total, submit.MaxTokens)
			}
			return
		}
	}
}

func TestClientRunsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		if result := f.order(t, 1, engine.RoleDecode); !result.Accepted {
			t.Fatalf("order refused: %+v", result)
		}
		submit := f.submit("fes/01J", 40)
		f.Do(submit)
		f.answer(t, submit, 0)
		f.Do(engine.Probe{Engine: testEngine})
		status := next[engine.Status](t, f)
		if status.Fence.Generation != 1 || status.Configuration.Role != engine.RoleDecode || status.Changing {
			t.Fatalf("got status %+v", status)
		}
	})
}

func TestClientTakesAStreamUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.order(t, 1, engine.RoleDecode)
		submit := f.submit("fes/01J", 400)
		f.Do(submit)
		first := next[engine.Tokens](t, f)
		f.Do(engine.Attach{Engine: testEngine, ExpectedIncarnation: f.server.Incarnation(), RequestID: submit.RequestID, StreamOffset: 100})
		offset := uint32(len(first.Tokens))
		for {
			tokens := next[engine.Tokens](t, f)
			if tokens.Offset == 100 && offset != 100 {
				break // the old stream ended without a sign, the new one goes on
			}
			offset += uint32(len(tokens.Tokens))
		}
		synctest.Wait()
	})
}

func TestClientDeliversRefusals(t *testing.T) {
	tests := []struct {
		desc   string
		change func(*engine.Submit)
		want   engine.Refusal
	}{
		{"old incarnation", func(s *engine.Submit) { s.ExpectedIncarnation-- }, engine.RefusalIncarnation},
		{"old generation", func(s *engine.Submit) { s.ExpectedGeneration = 0 }, engine.RefusalGeneration},
		{"other model", func(s *engine.Submit) { s.Model = "grind" }, engine.RefusalModel},
		{"unknown adapter", func(s *engine.Submit) { s.Adapter = "mill" }, engine.RefusalModel},
		{"too long", func(s *engine.Submit) { s.MaxTokens = 1 << 30 }, engine.RefusalTooLong},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil)
				f.order(t, 1, engine.RoleDecode)
				submit := f.submit("fes/01J", 4)
				test.change(&submit)
				f.Do(submit)
				refused := next[engine.Refused](t, f)
				if refused.Refusal != test.want || refused.Generation != 1 || refused.RequestID != "fes/01J" {
					t.Fatalf("got %+v, want %s", refused, test.want)
				}
			})
		})
	}
}

func TestClientCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.order(t, 1, engine.RoleDecode)
		f.Do(engine.Cancel{Engine: testEngine, RequestID: "fes/late%2F 1"})
		if cancelled := next[engine.Cancelled](t, f); cancelled.Started || cancelled.RequestID != "fes/late%2F 1" {
			t.Fatalf("got %+v", cancelled)
		}
		f.Do(f.submit("fes/late%2F 1", 4))
		if refused := next[engine.Refused](t, f); refused.Refusal != engine.RefusalCancelled {
			t.Fatalf("got %+v", refused)
		}
	})
}

func TestClientTellsWhatWasNotSent(t *testing.T) {
	tests := []struct {
		desc    string
		prepare func(*fixture)
		reason  string
	}{
		{"connection refused", func(f *fixture) { f.network.refuse() }, "EOF"},
		{"no address", func(f *fixture) { f.SetAddress(testEngine, "") }, "no address known"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil)
				test.prepare(f)
				f.Do(f.submit("fes/01J", 4))
				unreachable := next[engine.Unreachable](t, f)
				if !unreachable.NotSent || unreachable.RequestID != "fes/01J" || !strings.Contains(unreachable.Reason, test.reason) {
					t.Fatalf("got %+v", unreachable)
				}
			})
		})
	}
}

func TestClientTellsThatAStreamBroke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.order(t, 1, engine.RoleDecode)
		f.Do(f.submit("fes/01J", 4000))
		next[engine.Tokens](t, f)
		f.server.Crash(time.Second)
		for {
			event := <-f.events
			if _, isTokens := event.(engine.Tokens); isTokens {
				continue
			}
			if unreachable, ok := event.(engine.Unreachable); !ok || unreachable.NotSent || unreachable.RequestID != "fes/01J" {
				t.Fatalf("got %+v", event)
			}
			return
		}
	})
}

func TestClientGivesUpASilentEngine(t *testing.T) {
	tests := []struct {
		desc    string
		command engine.Command
		// header tells whether the engine begins to answer.
		header bool
	}{
		{"no answer to a probe", engine.Probe{Engine: testEngine}, false},
		{"no answer to a submit", engine.Submit{Engine: testEngine, RequestID: "fes/01J"}, false},
		{"silent stream", engine.Submit{Engine: testEngine, RequestID: "fes/01J"}, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newClient(t, http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body) // the server sees only then that the caller goes away
					if test.header {
						_ = http.NewResponseController(response).Flush()
					}
					<-request.Context().Done()
				}))
				f.Do(test.command)
				unreachable := next[engine.Unreachable](t, f)
				if unreachable.NotSent || unreachable.After != engineclient.DefaultTimeout {
					t.Fatalf("got %+v", unreachable)
				}
			})
		})
	}
}

func TestClientIsSilentOnceClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.order(t, 1, engine.RoleDecode)
		f.Do(f.submit("fes/01J", 4000))
		next[engine.Tokens](t, f)
		f.Close()
		delivered := len(f.events)
		f.Do(engine.Probe{Engine: testEngine})
		time.Sleep(time.Minute)
		if len(f.events) != delivered {
			t.Fatalf("%d events after Close", len(f.events)-delivered)
		}
	})
}

func TestClientTransfersKV(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		f.order(t, 1, engine.RoleDecode)
		f.Do(engine.ImportKV{
			Engine: testEngine, ExpectedIncarnation: f.server.Incarnation(), TransferID: 9, Model: "roast", Blocks: []uint64{1 << 63, 2},
		})
		if imported := next[engine.KVImported](t, f); imported.TransferID != 9 || imported.Blocks != 2 || imported.Refusal != "" {
			t.Fatalf("got %+v", imported)
		}
		f.Do(engine.ExportKV{Engine: testEngine, Blocks: []uint64{1 << 63, 2, 3}})
		exported := next[engine.KVExported](t, f)
		if len(exported.Blocks) != 2 || exported.Blocks[0] != 1<<63 || exported.Model != "roast" {
			t.Fatalf("got %+v", exported)
		}
	})
}

func TestClientWatchesTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(s *enginemodel.Settings) { s.CacheEventLossProbability = 0 })
		f.order(t, 1, engine.RoleDecode)
		f.Do(engine.WatchCache{Engine: testEngine})
		time.Sleep(time.Second)
		submit := f.submit("fes/01J", 1)
		submit.Prompt = strings.Repeat("blend ", 300)
		f.Do(submit)
		f.answer(t, submit, 0)
		event := next[engine.CacheEvent](t, f)
		want := engine.PrefixBlocks(submit.Model, submit.Prompt)
		if event.Sequence != 1 || len(event.Stored) != 1 || event.Stored[0] != want[0] {
			t.Fatalf("got %+v, want %v stored", event, want)
		}
	})
}
