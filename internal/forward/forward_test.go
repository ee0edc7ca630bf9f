package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/routing"
)

// plainProtocol copies the request line and uses a fixed id.
type plainProtocol struct{ demand backend.Demand }

// Key implements Protocol.
func (plainProtocol) Key(incoming *http.Request) string { return incoming.Header.Get("Key") }

// Complete implements Protocol.
func (plainProtocol) Complete(*Request) error { return nil }

// Read implements Protocol.
func (p plainProtocol) Read(incoming *http.Request) (*Request, error) {
	return &Request{
		ID: "r1", Method: incoming.Method, Target: incoming.RequestURI, Header: http.Header{}, Demand: p.demand,
		ResumeAfter: incoming.Header.Get("Last-Event-Id"), Resumes: incoming.Header.Get("Begun-By"),
	}, nil
}

// fakeWorkers implements Workers with functions and records the calls.
type fakeWorkers struct {
	run     func(ctx context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error)
	prefill func(ctx context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error)

	// connect is called to open a connection in advance; nil opens one.
	connect func(worker *backend.Worker) error
	// connecting is called while a connection for a run or a prefill opens, and returns why it does not; may be nil.
	connecting func() error
	// onRun is called for each run; may be nil.
	onRun func(request *Request)

	mutex          sync.Mutex
	runOptions     []RunOptions
	ranAt          []string
	prefillOptions []PrefillOptions
	prefilledAt    []string
	released       []string
}

func (f *fakeWorkers) Run(ctx context.Context, worker *backend.Worker, request *Request, options RunOptions) (*Response, error) {
	if err := f.open(options.MaySend); err != nil {
		return nil, err
	}
	if f.onRun != nil {
		f.onRun(request)
	}
	f.mutex.Lock()
	f.runOptions = append(f.runOptions, options)
	f.ranAt = append(f.ranAt, worker.ID)
	number := len(f.runOptions)
	f.mutex.Unlock()
	return f.run(ctx, number, worker, options)
}

func (f *fakeWorkers) Prefill(ctx context.Context, worker *backend.Worker, _ *Request, options PrefillOptions) (*PrefilledPrompt, error) {
	if err := f.open(options.MaySend); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.prefilledAt = append(f.prefilledAt, worker.ID)
	f.prefillOptions = append(f.prefillOptions, options)
	number := len(f.prefilledAt)
	f.mutex.Unlock()
	if f.prefill != nil {
		return f.prefill(ctx, number, worker)
	}
	return &PrefilledPrompt{Engine: worker, Handle: fmt.Sprint("h", number)}, nil
}

// open opens a connection for a request, and returns an error if the request may not be sent any more.
func (f *fakeWorkers) open(maySend func() error) error {
	if f.connecting != nil {
		if err := f.connecting(); err != nil {
			return err
		}
	}
	if maySend == nil {
		return nil
	}
	if err := maySend(); err != nil {
		return &httpclient.Error{Step: httpclient.StepConnect, Peer: "w", Cause: err}
	}
	return nil
}

func (f *fakeWorkers) Connect(_ context.Context, worker *backend.Worker) error {
	if f.connect != nil {
		return f.connect(worker)
	}
	return nil
}

func (f *fakeWorkers) ReleasePrompt(_ context.Context, prompt *PrefilledPrompt) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released = append(f.released, prompt.Handle)
}

// wholeResponse returns a complete response.
func wholeResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

// truncatedResponse returns a response that is cut off after the body.
func truncatedResponse(body string) *Response {
	reader := io.MultiReader(strings.NewReader(body), failingReader{})
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(reader)}
}

// failingReader fails like a connection that was reset.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: io.ErrUnexpectedEOF}
}

// awaitCancel blocks until the context ends.
func awaitCancel(ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, &httpclient.Error{Step: httpclient.StepAwait, Peer: "w", Cause: context.Cause(ctx)}
}

var (
	refusalError = &Refusal{Peer: "w", Status: http.StatusServiceUnavailable}
	resetError   = &httpclient.Error{Step: httpclient.StepAwait, Peer: "w", Cause: io.ErrUnexpectedEOF}
	connectError = &httpclient.Error{Step: httpclient.StepConnect, Peer: "w", Cause: io.ErrUnexpectedEOF}
)

// reportRecorder keeps the last report.
type reportRecorder struct {
	mutex sync.Mutex
	last  Report
}

func (r *reportRecorder) RequestEnded(report *Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.last = *report
}

// fixture is a handler with fake workers behind an HTTP server.
type fixture struct {
	workers *fakeWorkers
	handler *Handler
	server  *httptest.Server
	reports *reportRecorder
}

// fixtureOptions configure a fixture.
type fixtureOptions struct {
	rule      routing.Rule
	engine    bool
	demand    backend.Demand
	allowance float64
}

// newFixture returns a fixture with three workers of each role.
func newFixture(t *testing.T, options fixtureOptions, workers *fakeWorkers) *fixture {
	t.Helper()
	rule := options.rule
	rule.Match, rule.Shares = routing.PathMatch{Host: "127.0.0.1", PathPrefix: "/"}, []routing.Share{{Group: "g", Weight: 1}}
	if rule.Timeout == 0 {
		rule.Timeout = 2 * time.Second
	}
	rule.MaxAttempts = max(rule.MaxAttempts, 1)
	group := routing.Group{Name: "g"}
	if options.engine {
		group.Engine = &routing.Engine{}
	}
	configuration := &routing.Configuration{
		Version: 1, Rules: []routing.Rule{rule}, Groups: []routing.Group{group}, Limits: routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000},
	}
	if err := configuration.Validate(); err != nil {
		t.Fatal(err)
	}
	settings := DefaultDispatchSettings()
	// A budget stores at most half of its allowance; double it so that options.allowance retries are available.
	settings.Budget = retrybudget.Settings{Ratio: 0, Allowance: 2 * options.allowance, Window: 10 * time.Second, Safety: 1}
	settings.CopyBytes = 1 << 30
	dispatcher := NewDispatcher(settings, time.Now)
	accrueFully(dispatcher)
	set := backend.Set{}
	roles := []backend.Role{backend.RoleNone}
	if options.engine {
		roles = []backend.Role{backend.RolePrefill, backend.RoleDecode}
	}
	for _, role := range roles {
		for i := range 3 {
			id := fmt.Sprint(role, i)
			set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: role, Slots: 4}
		}
	}
	dispatcher.SetWorkers(set)
	f := &fixture{workers: workers, reports: &reportRecorder{}}
	f.handler = NewHandler(DefaultSettings(), plainProtocol{demand: options.demand}, workers, dispatcher, f.reports)
	f.handler.SetTable(routing.NewTable(configuration, nil))
	f.server = httptest.NewServer(f.handler)
	t.Cleanup(f.server.Close)
	return f
}

// accrueFully fills the retry budgets by advancing their clock by a minute, with the share confirmed every second. Nothing confirms the share while a
// test runs, so it is confirmed for longer than any test takes: without a share there are no retries.
func accrueFully(dispatcher *Dispatcher) {
	const longestTest = time.Hour
	start, elapsed := boottime.Now(), time.Duration(0)
	dispatcher.retries.now = func() time.Time { return start.Add(elapsed) }
	for ; elapsed < time.Minute; elapsed += time.Second {
		dispatcher.ConfirmShare(start.Add(elapsed))
	}
	for ahead := time.Duration(0); ahead < longestTest; ahead += time.Second {
		dispatcher.ConfirmShare(start.Add(elapsed + ahead))
	}
	dispatcher.retries.now = func() time.Time { return boottime.Now().Add(elapsed) }
}

// get sends one request.
func (f *fixture) get(t *testing.T) (*http.Response, string, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Get(f.server.URL + "/x")
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestAttemptIsRetriedOnlyIfSafe guards against running a request twice that may run once, and against failing one that a worker refused.
func TestAttemptIsRetriedOnlyIfSafe(t *testing.T) {
	runOnce := routing.Rule{Kind: routing.KindAtMostOnce}
	repeatable := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
	cases := []struct {
		desc       string
		rule       routing.Rule
		first      error
		wantStatus int
		wantRuns   int
	}{
		{"refused", runOnce, refusalError, 200, 2},
		{"unreachable", runOnce, connectError, 200, 2},
		{"reset, may run once", runOnce, resetError, 502, 1},
		{"reset, repeatable", repeatable, resetError, 200, 2},
		{"invalid response, may run once", runOnce, &InvalidResponse{Peer: "w"}, 502, 1},
		{"invalid response, repeatable", repeatable, &InvalidResponse{Peer: "w"}, 200, 2},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{}
			workers.run = func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number == 1 {
					return nil, c.first
				}
				return wholeResponse(200, "answer"), nil
			}
			response, _, err := newFixture(t, fixtureOptions{rule: c.rule, allowance: 10}, workers).get(t)
			if err != nil || response.StatusCode != c.wantStatus || len(workers.runOptions) != c.wantRuns {
				t.Fatalf("got %v, %v after %d runs, want %d after %d", response, err, len(workers.runOptions), c.wantStatus, c.wantRuns)
			}
			if len(workers.ranAt) == 2 && workers.ranAt[0] == workers.ranAt[1] {
				t.Error("the request was retried at the same worker")
			}
		})
	}
}

// TestRefusalByAllWorkersIsReportedAsNotRun guards against refusals that do not tell the caller when to retry.
func TestRefusalByAllWorkersIsReportedAsNotRun(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) { return nil, refusalError }}
	response, _, err := newFixture(t, fixtureOptions{allowance: 10}, workers).get(t)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, %v, want status %d", response, err, http.StatusServiceUnavailable)
	}
}

// TestPossibleRunIsReportedAsFailed guards against a 503 when a first worker may have run the request and a second refused it.
func TestPossibleRunIsReportedAsFailed(t *testing.T) {
	workers := &fakeWorkers{run: func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number == 1 {
			return nil, resetError
		}
		return nil, refusalError
	}}
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
	response, _, err := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers).get(t)
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v, %v, want status %d", response, err, http.StatusBadGateway)
	}
}

// TestWorkerErrorIsForwardedWhenRetriesFail guards against replacing the error response of a worker by one of the gateway.
func TestWorkerErrorIsForwardedWhenRetriesFail(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(500, "sorry"), nil
	}}
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
	response, body, err := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers).get(t)
	if err != nil || response.StatusCode != 500 || body != "sorry" || len(workers.runOptions) != 2 {
		t.Fatalf("got %v, %q, %v after %d runs", response, body, err, len(workers.runOptions))
	}
}

// TestRequestEndsAtRuleTimeout guards against requests that outlive the timeout of their rule.
func TestRequestEndsAtRuleTimeout(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		return awaitCancel(ctx)
	}}
	start := time.Now()
	response, _, err := newFixture(t, fixtureOptions{rule: routing.Rule{Timeout: 200 * time.Millisecond}}, workers).get(t)
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v, want status %d", response, err, http.StatusGatewayTimeout)
	}
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("the response took %s", took)
	}
}

// TestSilentWorkerIsAbandonedOnlyWithRetry guards against responding with 502 while a silent worker may still respond and no retry is left.
func TestSilentWorkerIsAbandonedOnlyWithRetry(t *testing.T) {
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	answerLate := func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number > 1 {
			return wholeResponse(200, "second"), nil
		}
		select {
		case <-ctx.Done():
			return awaitCancel(ctx)
		case <-time.After(300 * time.Millisecond):
			return wholeResponse(200, "first"), nil
		}
	}
	for allowance, want := range map[float64]string{0: "first", 10: "second"} {
		response, body, err := newFixture(t, fixtureOptions{rule: rule, allowance: allowance}, &fakeWorkers{run: answerLate}).get(t)
		if err != nil || response.StatusCode != 200 || body != want {
			t.Errorf("with %v retries: got %v, %q, %v, want %q", allowance, response, body, err, want)
		}
	}
}

// TestOnlyWorkerIsNotAbandoned guards against abandoning a silent worker when the group has no other.
func TestOnlyWorkerIsNotAbandoned(t *testing.T) {
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		select {
		case <-ctx.Done():
			return awaitCancel(ctx)
		case <-time.After(300 * time.Millisecond):
			return wholeResponse(200, "late"), nil
		}
	}})
	only := &backend.Worker{ID: "only", Group: "g", Address: "only", Slots: 4}
	f.handler.dispatcher.SetWorkers(backend.Set{only.ID: only})
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != 200 || body != "late" {
		t.Errorf("got %v, %q, %v", response, body, err)
	}
}

// lateReader delivers its data when the context ends, and then fails like a closed connection.
type lateReader struct {
	ctx  context.Context
	text io.Reader
}

func (l lateReader) Read(p []byte) (int, error) {
	<-l.ctx.Done()
	n, err := l.text.Read(p)
	if err != nil {
		return n, &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: context.Cause(l.ctx)}
	}
	return n, nil
}

// TestAbandonedResponseIsNotForwarded guards against forwarding the beginning of a response that arrives just as its worker is abandoned as
// silent.
func TestAbandonedResponseIsNotForwarded(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number > 1 {
			return wholeResponse(200, firstEvents+lastEvents), nil
		}
		body := io.NopCloser(lateReader{ctx, strings.NewReader(firstEvents)})
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: body}, nil
	}}
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	_, body, err := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers).get(t)
	if err != nil || body != firstEvents+lastEvents {
		t.Fatalf("got %q, %v", body, err)
	}
	if after := workers.runOptions[1].ResumeAfter; after != "" {
		t.Errorf("a worker was abandoned as silent after its events up to %s were forwarded", after)
	}
}

// slowReader delivers its parts with a pause between them, until the context ends.
type slowReader struct {
	ctx     context.Context
	parts   []string
	pause   time.Duration
	started bool
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	pause := time.Duration(0)
	if s.started {
		pause = s.pause
	}
	s.started = true
	select {
	case <-s.ctx.Done():
		return 0, context.Cause(s.ctx)
	case <-time.After(pause):
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

// TestStartedStreamOutlastsResponseTimeout guards against truncating a stream that has started when the response timeout passes.
func TestStartedStreamOutlastsResponseTimeout(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number > 1 {
			return wholeResponse(200, lastEvents), nil
		}
		body := io.NopCloser(&slowReader{ctx: ctx, parts: []string{firstEvents, lastEvents}, pause: 200 * time.Millisecond})
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: body}, nil
	}}
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	_, body, err := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers).get(t)
	if err != nil || body != firstEvents+lastEvents || len(workers.runOptions) != 1 {
		t.Fatalf("got %q, %v after %d runs", body, err, len(workers.runOptions))
	}
}

// TestNoRetryAfterCompleteResponse guards against a second run and a spent retry when writing a complete response takes longer than the
// response timeout.
func TestNoRetryAfterCompleteResponse(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(200, "answer"), nil
	}}
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers)
	f.handler.ServeHTTP(slowWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/x", nil))
	for _, budget := range f.handler.dispatcher.Budgets() {
		if budget.Granted > 0 {
			t.Errorf("%d retries were taken from the budget", budget.Granted)
		}
	}
	if len(workers.runOptions) != 1 {
		t.Errorf("the request ran %d times", len(workers.runOptions))
	}
}

// slowWriter is a caller that reads the response slowly.
type slowWriter struct{ http.ResponseWriter }

func (s slowWriter) Write(body []byte) (int, error) {
	time.Sleep(300 * time.Millisecond)
	return s.ResponseWriter.Write(body)
}

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvents  = "id: 3\ndata: c\n\n"
)

// TestResumableStreamContinuesAfterLastEvent guards against events that are lost or repeated when another worker continues a stream.
func TestResumableStreamContinuesAfterLastEvent(t *testing.T) {
	workers := &fakeWorkers{run: func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number == 1 {
			return truncatedResponse(firstEvents + "id: 3\nda"), nil
		}
		return wholeResponse(200, "id: 2\ndata: b\n\n"+lastEvents), nil
	}}
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}
	_, body, err := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers).get(t)
	if err != nil || body != firstEvents+lastEvents {
		t.Fatalf("got %q, %v", body, err)
	}
	if workers.runOptions[1].ResumeAfter != "2" {
		t.Errorf("resumed after %q", workers.runOptions[1].ResumeAfter)
	}
}

// TestTruncatedStreamLooksTruncated guards against a truncated stream that the caller takes for complete.
func TestTruncatedStreamLooksTruncated(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return truncatedResponse(firstEvents), nil
	}}
	_, body, err := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, allowance: 10}, workers).get(t)
	if err == nil {
		t.Fatalf("the stream ended regularly after %q", body)
	}
	if len(workers.runOptions) != 1 {
		t.Errorf("a stream that may run once ran %d times", len(workers.runOptions))
	}
}

// TestCallerDisconnectCancelsRun guards against runs that continue after their caller has disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	ended := make(chan error, 1)
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		response, err := awaitCancel(ctx)
		ended <- err
		return response, err
	}}
	f := newFixture(t, fixtureOptions{}, workers)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/x", nil)
	if _, err := http.DefaultClient.Do(request); err == nil {
		t.Fatal("got a response")
	}
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
	case <-time.After(time.Second):
		t.Fatal("the run was not cancelled")
	}
}

// longPrompt is prefilled on a separate engine.
var longPrompt = backend.Demand{PromptTokens: 9000, Segments: []backend.Segment{{ID: "a", Tokens: 8000}, {ID: "b", Tokens: 1000}}}

// TestLongPromptIsPrefilledSeparately guards against prefilling long prompts on decode engines, and against releasing a prompt that is
// used.
func TestLongPromptIsPrefilledSeparately(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(200, lastEvents), nil
	}}
	rule := routing.Rule{Kind: routing.KindStream}
	_, _, err := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: longPrompt}, workers).get(t)
	if err != nil || len(workers.prefilledAt) != 1 || workers.runOptions[0].Prompt == nil || workers.runOptions[0].Prompt.Handle != "h1" {
		t.Fatalf("prefilled at %v, run with %+v, %v", workers.prefilledAt, workers.runOptions, err)
	}
	if len(workers.released) != 0 {
		t.Error("a prompt that was used was released")
	}
}

// TestPromptWithLostHandleIsNotPrefilledAgain guards against prefilling a long prompt twice: the runner fetches the prompt from the cache
// of the first engine.
func TestPromptWithLostHandleIsNotPrefilledAgain(t *testing.T) {
	workers := &fakeWorkers{run: func(_ context.Context, _ int, _ *backend.Worker, options RunOptions) (*Response, error) {
		if options.Prompt != nil {
			return nil, refusalError
		}
		return wholeResponse(200, lastEvents), nil
	}}
	rule := routing.Rule{Kind: routing.KindStream}
	response, _, err := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: longPrompt, allowance: 10}, workers).get(t)
	if err != nil || response.StatusCode != 200 || len(workers.prefilledAt) != 1 {
		t.Fatalf("got %v, %v, prefilled at %v", response, err, workers.prefilledAt)
	}
	if source := workers.runOptions[1].FetchFrom; source == nil || source.ID != workers.prefilledAt[0] {
		t.Errorf("fetched from %v", source)
	}
}

// TestFailedPrefillCountsAsNotRun guards against failing a request because its first prefill call failed.
func TestFailedPrefillCountsAsNotRun(t *testing.T) {
	workers := &fakeWorkers{
		run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
			return wholeResponse(200, lastEvents), nil
		},
		prefill: func(_ context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error) {
			if number == 1 {
				return nil, resetError
			}
			return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
		},
	}
	rule := routing.Rule{Kind: routing.KindStream}
	response, _, err := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: longPrompt, allowance: 10}, workers).get(t)
	if err != nil || response.StatusCode != 200 || len(workers.runOptions) != 1 {
		t.Fatalf("got %v, %v after %d runs", response, err, len(workers.runOptions))
	}
}

// TestLimitsOfOutdatedConfigurationDenyNothing guards against requests that are denied for good by limits which may have been raised since.
func TestLimitsOfOutdatedConfigurationDenyNothing(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(200, "x"), nil
	}}
	f := newFixture(t, fixtureOptions{}, workers)
	var stale atomic.Bool
	f.handler.SetFreshness(func() bool { return !stale.Load() })
	for _, test := range []struct {
		name string
		// header and body are lengths.
		header, body int
		isChunked    bool
		want         int
	}{
		{"long headers", 2000, 0, false, http.StatusRequestHeaderFieldsTooLarge},
		{"long body", 1, 1001, false, http.StatusRequestEntityTooLarge},
		{"long body of unknown length", 1, 1001, true, http.StatusRequestEntityTooLarge},
		{"within the limits", 1, 1, false, http.StatusOK},
	} {
		for _, isStale := range []bool{true, false} {
			stale.Store(isStale)
			request, _ := http.NewRequest(http.MethodPost, f.server.URL+"/x", strings.NewReader(strings.Repeat("x", test.body)))
			if test.isChunked {
				request.ContentLength = -1
			}
			request.Header.Set("Long", strings.Repeat("x", test.header))
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
			_ = response.Body.Close()
			want := test.want
			if isStale && want != http.StatusOK {
				want = http.StatusServiceUnavailable
			}
			if response.StatusCode != want || (want == http.StatusServiceUnavailable) != (response.Header.Get("Retry-After") != "") {
				t.Errorf("%s, stale: %t: got %d with %v, want %d", test.name, isStale, response.StatusCode, response.Header, want)
			}
		}
	}
}

// TestGatewayErrorResponses guards against wrong status codes for requests that the gateway rejects itself.
func TestGatewayErrorResponses(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(200, "x"), nil
	}}
	f := newFixture(t, fixtureOptions{}, workers)
	post := func(body string) int {
		response, err := http.Post(f.server.URL+"/x", "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if got := post(strings.Repeat("x", 1001)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("long body: got %d", got)
	}
	long, _ := http.NewRequest(http.MethodGet, f.server.URL+"/x", nil)
	long.Header.Set("Long", strings.Repeat("x", 2000))
	if response, err := http.DefaultClient.Do(long); err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long headers: got %v, %v", response, err)
	}
	f.handler.Drain(drain.Schedule{})
	if got := post("x"); got != http.StatusServiceUnavailable {
		t.Errorf("while stopping: got %d", got)
	}
	fresh := NewHandler(DefaultSettings(), plainProtocol{}, workers, f.handler.dispatcher, f.reports)
	recorder := httptest.NewRecorder()
	fresh.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/x", nil))
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d", recorder.Code)
	}
	f.handler.draining.Store(nil)
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "other.example"
	recorder = httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusNotFound {
		t.Errorf("unknown host: got %d", recorder.Code)
	}
}

// TestSecondPrefillUsesRetry guards against prefill calls that are repeated without a retry from the budget.
func TestSecondPrefillUsesRetry(t *testing.T) {
	for allowance, wantPrefills := range map[float64]int{1: 1, 10: 2} {
		workers := &fakeWorkers{run: func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
			if number == 1 {
				return nil, connectError
			}
			return wholeResponse(200, lastEvents), nil
		}}
		workers.prefill = func(_ context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error) {
			// Without a delay the model would learn that prefilling takes no time and choose to colocate.
			time.Sleep(100 * time.Millisecond)
			return &PrefilledPrompt{Engine: worker, Handle: fmt.Sprint(number)}, nil
		}
		rule := routing.Rule{Kind: routing.KindStream}
		f := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: longPrompt, allowance: allowance - 1}, workers)
		if response, _, err := f.get(t); err != nil || response.StatusCode != 200 || len(workers.prefilledAt) != wantPrefills {
			t.Errorf("with %v retries: got %v, %v, prefilled at %v", allowance-1, response, err, workers.prefilledAt)
		}
	}
}

// TestMisdirectedWorkerIsAvoided guards against repeated requests to an address at which another worker now runs.
func TestMisdirectedWorkerIsAvoided(t *testing.T) {
	workers := &fakeWorkers{}
	workers.run = func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if worker.ID == "0" {
			return nil, &Refusal{Peer: "w", Status: http.StatusMisdirectedRequest, Misdirected: true}
		}
		return wholeResponse(200, "answer"), nil
	}
	f := newFixture(t, fixtureOptions{allowance: 100}, workers)
	for range 20 {
		if response, _, err := f.get(t); err != nil || response.StatusCode != 200 {
			t.Fatalf("got %v, %v, want status %d", response, err, 200)
		}
	}
	attempts := 0
	for _, id := range workers.ranAt {
		if id == "0" {
			attempts++
		}
	}
	if attempts > 1 {
		t.Errorf("the misdirected worker got %d requests", attempts)
	}
}

// TestSilentEngineLeavesTimeForAnother guards against response timeouts that exceed the objective.
func TestSilentEngineLeavesTimeForAnother(t *testing.T) {
	workers := &fakeWorkers{
		run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
			return wholeResponse(200, "answer"), nil
		},
		prefill: func(ctx context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error) {
			if number == 1 {
				<-ctx.Done()
				return nil, &httpclient.Error{Step: httpclient.StepAwait, Peer: "w", Cause: context.Cause(ctx)}
			}
			return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
		},
	}
	objective := 250 * time.Millisecond
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: objective}
	f := newFixture(t, fixtureOptions{rule: rule, engine: true, allowance: 10, demand: backend.Demand{PromptTokens: 4_000}}, workers)
	response, _, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusOK || len(workers.prefilledAt) < 2 {
		t.Fatalf("got %v, %v after %d prefill calls", response, err, len(workers.prefilledAt))
	}
	f.reports.mutex.Lock()
	defer f.reports.mutex.Unlock()
	first := f.reports.last.Attempts[0]
	want := time.Duration(responseTimeoutObjectiveShare*float64(objective)) + time.Duration(responseTimeoutCostFactor*first.Score.TimeToFirstToken*nanosecondsPerSecond)
	if waited := first.PrefillTime; waited < want || waited > want+150*time.Millisecond {
		t.Errorf("waited %s for the silent engine, want %s", waited, want)
	}
}
