package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// setDecoders replaces the decode engines by one for each version. The addresses depend on the seed, so that different engines are preferred.
func (f *fixture) setDecoders(seed int, versions ...string) {
	changes := backend.Changes{}
	for i := range 3 {
		changes.Removed = append(changes.Removed, fmt.Sprint(backend.RoleDecode, i))
	}
	for i, version := range versions {
		id := fmt.Sprintf("engine-%d-%d", seed, i)
		changes.Updated = append(changes.Updated, &backend.Worker{
			ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: 4, SoftwareVersion: version,
		})
	}
	f.handler.dispatcher.ChangeWorkers(changes)
}

// versionsRun returns the software versions of the workers at which the request ran, in order.
func (f *fixture) versionsRun() []string {
	f.workers.mutex.Lock()
	defer f.workers.mutex.Unlock()
	var versions []string
	for _, id := range f.workers.ranAt {
		worker, _ := f.handler.dispatcher.balancer.Worker(id)
		versions = append(versions, worker.SoftwareVersion)
	}
	return versions
}

// TestContinuationKeepsSoftwareVersion guards against a stream that goes on, within one answer, at a worker of another software version than
// the one that sent its first event.
func TestContinuationKeepsSoftwareVersion(t *testing.T) {
	const seeds = 8
	cases := []struct {
		desc      string
		resumable bool
		first     scriptedResponse
		versions  []string
		// wantWhole is set if the stream can go on, because each version has two engines.
		wantWhole bool
	}{
		{"a break is resumed", true, scriptedResponse{3, endBreak}, []string{"a", "b", "a", "b"}, true},
		{"a stall is resumed", true, scriptedResponse{3, endStall}, []string{"a", "b", "a", "b"}, true},
		{"a break is continued from the copy", false, scriptedResponse{3, endBreak}, []string{"a", "b", "a", "b"}, true},
		{"a stall is continued from the copy", false, scriptedResponse{3, endStall}, []string{"a", "b", "a", "b"}, true},
		{"no version is a version, too", true, scriptedResponse{3, endBreak}, []string{"", "b", "", "b"}, true},
		{"the other engines have other versions", true, scriptedResponse{3, endBreak}, []string{"a", "b", "c", "d"}, false},
		{"no engine of the version can keep a copy", false, scriptedResponse{3, endBreak}, []string{"a", "b", "c", "d"}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			for seed := range seeds {
				f := newContinuationFixture(t, c.resumable, &scriptedFleet{total: 8, responses: []scriptedResponse{c.first}})
				f.setDecoders(seed, c.versions...)
				_, body, err := f.get(t)
				f.server.Close()
				if whole := err == nil && body == events(0, 8); whole != c.wantWhole {
					t.Errorf("seed %d: got %q, %v", seed, body, err)
				}
				versions := f.versionsRun()
				for _, version := range versions {
					if version != versions[0] {
						t.Fatalf("seed %d: the stream ran at the versions %q", seed, versions)
					}
				}
			}
		})
	}
}

// TestAttemptWithoutEventBindsNoVersion guards against a stream that is bound to the version of an attempt which failed before its first event.
func TestAttemptWithoutEventBindsNoVersion(t *testing.T) {
	f := newContinuationFixture(t, true, &scriptedFleet{total: 8, responses: []scriptedResponse{{0, endBreak}}})
	f.setDecoders(0, "a", "b")
	if _, body, err := f.get(t); err != nil || body != events(0, 8) {
		t.Errorf("got %q, %v", body, err)
	}
	if versions := f.versionsRun(); len(versions) != 2 || versions[0] == versions[1] {
		t.Errorf("ran at the versions %q", versions)
	}
}

// TestStreamWithoutWorkerOfItsVersionEndsAtOnce guards against a caller that waits until its deadline for a continuation that can't come.
func TestStreamWithoutWorkerOfItsVersionEndsAtOnce(t *testing.T) {
	f := newContinuationFixture(t, true, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}})
	f.setDecoders(0, "a", "b", "c")
	start := time.Now()
	if _, body, err := f.get(t); err == nil || body != events(0, 3) {
		t.Errorf("got %q, %v", body, err)
	}
	if took, timeout := time.Since(start), f.rule().Timeout; took > timeout/2 {
		t.Errorf("the caller learned it after %v of %v", took, timeout)
	}
	f.server.Close()
	if reason := f.reports.last.Reason; reason != ReasonVersionGone {
		t.Errorf("the reason is %q", reason)
	}
}

// rule returns the only rule of the fixture.
func (f *fixture) rule() *routing.Rule { return &f.handler.Table().Configuration().Rules[0] }

// fakeStreams is a StreamVersions that finds one version and records what begins.
type fakeStreams struct {
	finding streamversion.Finding

	mu    sync.Mutex
	began []streamversion.Record
	found []streamversion.Stream
}

func (f *fakeStreams) Began(stream streamversion.Stream, version streamversion.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = append(f.began, streamversion.Record{Key: stream.Key, Version: version, Lifetime: stream.Lifetime})
}

func (f *fakeStreams) Find(_ context.Context, stream streamversion.Stream) streamversion.Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.found = append(f.found, stream)
	return f.finding
}

// versions returns the versions that were told, in order.
func (f *fakeStreams) versions() []streamversion.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []streamversion.Version
	for _, record := range f.began {
		versions = append(versions, record.Version)
	}
	return versions
}

// resume sends a request that takes up a stream after its third event.
func (f *fixture) resume(t *testing.T) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, f.server.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Last-Event-Id", "3")
	request.Header.Set("Begun-By", "r0")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestResumptionRunsAtItsVersion guards against a stream that a caller takes up and that goes on at another version than the one that began it,
// or at a guess.
func TestResumptionRunsAtItsVersion(t *testing.T) {
	version := func(service, software string) streamversion.Version {
		return streamversion.Version{Service: service, Software: software}
	}
	for _, c := range []struct {
		desc       string
		finding    streamversion.Finding
		wantStatus int
		wantReason Reason
	}{
		{"a record of this gateway", streamversion.Finding{Version: version("g", "b"), Source: streamversion.SourceOwnRecord}, 200, ReasonServed},
		{"a record of another one", streamversion.Finding{Version: version("g", "b"), Source: streamversion.SourcePeer}, 200, ReasonServed},
		{"unknown", streamversion.Finding{Source: streamversion.SourceUnknown}, 503, ReasonVersionUnknown},
		{"no worker of the version", streamversion.Finding{Version: version("g", "z"), Source: streamversion.SourcePeer}, 503, ReasonVersionGone},
		{"the version of another service", streamversion.Finding{Version: version("other", "b"), Source: streamversion.SourcePeer}, 503, ReasonVersionGone},
	} {
		t.Run(c.desc, func(t *testing.T) {
			for seed := range 6 {
				streams := &fakeStreams{finding: c.finding}
				f := newContinuationFixture(t, true, &scriptedFleet{total: 8})
				f.handler.SetStreamVersions(streams)
				f.setDecoders(seed, "a", "b", "a")
				response, body, err := f.resume(t)
				f.server.Close()
				if err != nil || response.StatusCode != c.wantStatus || f.reports.last.Reason != c.wantReason {
					t.Fatalf("%v, %v, reason %q", response, err, f.reports.last.Reason)
				}
				if c.wantStatus != 200 {
					if len(f.workers.ranAt) > 0 || response.Header.Get("Retry-After") != "" {
						t.Errorf("ran at %v, Retry-After %q", f.workers.ranAt, response.Header.Get("Retry-After"))
					}
					continue
				}
				if versions := f.versionsRun(); body != events(3, 8) || !slices.Equal(versions, []string{"b"}) {
					t.Errorf("got %q at the versions %v", body, versions)
				}
				if want := streamversion.KeyOf("", "r0"); streams.found[0].Key != want || streams.began[0].Key != want || streams.began[0].Version != c.finding.Version {
					t.Errorf("found %+v, began %+v", streams.found, streams.began)
				}
			}
		})
	}
}

// TestVersionIsToldBeforeTheFirstEvent guards against a stream whose caller comes back to another gateway before that knows the version.
func TestVersionIsToldBeforeTheFirstEvent(t *testing.T) {
	streams := &fakeStreams{}
	var toldBefore bool
	f := newContinuationFixture(t, true, &scriptedFleet{total: 8, responses: []scriptedResponse{{0, endBreak}}})
	f.handler.SetStreamVersions(streams)
	f.setDecoders(0, "a", "b")
	f.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handler.ServeHTTP(&firstWriteObserver{ResponseWriter: w, onFirst: func() { toldBefore = len(streams.began) > 0 }}, r)
	})
	if _, body, err := f.get(t); err != nil || body != events(0, 8) {
		t.Fatalf("got %q, %v", body, err)
	}
	f.server.Close()
	versions := f.versionsRun()
	want := streamversion.Record{
		Key: streamversion.KeyOf("", "r1"), Version: streamversion.Version{Service: "g", Software: versions[len(versions)-1]}, Lifetime: 4 * time.Second,
	}
	if !toldBefore || len(streams.began) != 1 || streams.began[0] != want {
		t.Errorf("told before the first byte: %t, began %+v, want %+v", toldBefore, streams.began, want)
	}
	if len(streams.found) > 0 {
		t.Errorf("a new stream was looked for: %+v", streams.found)
	}
}

// firstWriteObserver calls onFirst before the head of the response is written.
type firstWriteObserver struct {
	http.ResponseWriter
	onFirst func()
}

func (w *firstWriteObserver) WriteHeader(status int) {
	w.onFirst()
	w.ResponseWriter.WriteHeader(status)
}

func (w *firstWriteObserver) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestBoundStreamAsksReusedIDs guards against a stream that goes on at a worker which was started again under its id, as another software
// version, before its record shows it, and against questions where the id of a request already tells the incarnation.
func TestBoundStreamAsksReusedIDs(t *testing.T) {
	for _, c := range []struct {
		desc      string
		record    string
		confirm   error
		wantAsked bool
		wantWhole bool
	}{
		{"the same incarnation", "reused", nil, true, true},
		{"another incarnation", "reused", &ReplacedError{Peer: "w"}, true, false},
		{"no answer", "reused", io.ErrUnexpectedEOF, true, false},
		{"ids are not used again", "", &ReplacedError{Peer: "w"}, false, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			f := newContinuationFixture(t, true, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}})
			f.setDecoders(0, "a", "a", "b")
			for _, id := range []string{"engine-0-0", "engine-0-1", "engine-0-2"} {
				worker, _ := f.handler.dispatcher.balancer.Worker(id)
				reused := *worker
				reused.Record = c.record
				f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{&reused}})
			}
			var asked []string
			f.handler.SetConfirmation(func(_ context.Context, worker *backend.Worker) error {
				asked = append(asked, worker.ID)
				return c.confirm
			})
			_, body, err := f.get(t)
			f.server.Close()
			ranAt := f.workers.ranAt
			if f.versionsRun()[0] == "b" {
				t.Fatal("the stream began at the version with one engine, so the test checks nothing")
			}
			if whole := err == nil && body == events(0, 8); whole != c.wantWhole || (len(ranAt) == 2) != c.wantWhole {
				t.Errorf("got %q, %v, ran at %v", body, err, ranAt)
			}
			if isAsked := len(asked) > 0; isAsked != c.wantAsked || (isAsked && asked[0] == ranAt[0]) {
				t.Errorf("asked %v, ran at %v", asked, ranAt)
			}
		})
	}
}

// identity is what the worker of a response says of itself.
type identity struct {
	id  string
	err error
	// isLate is set if the answer is not there yet when it is first asked for.
	isLate bool
}

// answers returns a Response.Identify.
func (i identity) answers() func(ctx context.Context) (string, error) {
	var calls atomic.Int64
	return func(ctx context.Context) (string, error) {
		if calls.Add(1) == 1 && i.isLate {
			<-ctx.Done()
			return "", context.Cause(ctx)
		}
		return i.id, i.err
	}
}

// newIdentifyingFixture returns a fixture whose engines have the versions and use their ids again. The responses, in order, are of the identities;
// later ones, and those without an id, are of the incarnation of the record.
func newIdentifyingFixture(t *testing.T, resumable bool, scripted *scriptedFleet, identities []identity, versions ...string) *fixture {
	t.Helper()
	f := newContinuationFixture(t, resumable, scripted)
	f.setDecoders(0, versions...)
	for i := range versions {
		worker, _ := f.handler.dispatcher.balancer.Worker(fmt.Sprint("engine-0-", i))
		reused := *worker
		reused.Record = "reused"
		f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{&reused}})
	}
	f.workers.run = func(ctx context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error) {
		response, err := scripted.run(ctx, number, worker, options)
		if err != nil || !options.Identify {
			return response, err
		}
		says := identity{}
		if number <= len(identities) {
			says = identities[number-1]
		}
		if says.id == "" && says.err == nil {
			says.id = worker.ID
		}
		response.Identify = says.answers()
		return response, nil
	}
	return f
}

// TestStreamBeginsAtTheIncarnationThatSendsIt guards against a stream that is taken for the version of an outdated record, because its worker was
// started again under its id, and against one that can't go on although the worker is the one of the record.
func TestStreamBeginsAtTheIncarnationThatSendsIt(t *testing.T) {
	var (
		old     = streamversion.Version{Service: "g", Software: "a"}
		next    = streamversion.Version{Service: "g", Incarnation: "reused@2"}
		unknown = streamversion.Version{Service: "g", Incarnation: streamversion.UnknownIncarnation}
	)
	for _, c := range []struct {
		desc      string
		resumable bool
		says      identity
		end       ending
		wantWhole bool
		wantBegan []streamversion.Version
	}{
		{"the same incarnation", true, identity{}, endBreak, true, []streamversion.Version{old}},
		{"another incarnation", true, identity{id: "reused@2"}, endBreak, false, []streamversion.Version{next}},
		{"no answer", true, identity{err: io.ErrUnexpectedEOF}, endBreak, false, []streamversion.Version{unknown}},
		{"a late answer of the same incarnation", true, identity{isLate: true}, endBreak, true, []streamversion.Version{unknown, old}},
		{"a late answer of the same incarnation, then a stall", true, identity{isLate: true}, endStall, true, []streamversion.Version{unknown, old}},
		{"another incarnation, then a stall", true, identity{id: "reused@2"}, endStall, false, []streamversion.Version{next}},
		{"the same incarnation, with a copy", false, identity{}, endBreak, true, nil},
		{"a late answer, then a stall, with a copy", false, identity{isLate: true}, endStall, true, nil},
		{"another incarnation, then a stall, with a copy", false, identity{id: "reused@2"}, endStall, false, nil},
		{"another incarnation, with a copy", false, identity{id: "reused@2"}, endBreak, false, nil},
	} {
		t.Run(c.desc, func(t *testing.T) {
			streams := &fakeStreams{}
			f := newIdentifyingFixture(t, c.resumable, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, c.end}}}, []identity{c.says}, "a", "a")
			f.handler.SetStreamVersions(streams)
			_, body, err := f.get(t)
			f.server.Close()
			if whole := err == nil && body == events(0, 8); whole != c.wantWhole {
				t.Errorf("got %q, %v, ran at %v", body, err, f.workers.ranAt)
			}
			if !c.wantWhole && body != events(0, 3) {
				t.Errorf("the caller got %q of the run that it has", body)
			}
			if failure := f.reports.last.Attempts[0].Failure; !c.wantWhole && failure == failureStalled.String() {
				t.Errorf("the run was given up (%s), although no other worker may go on with it", failure)
			}
			// A late answer is told beside the stream.
			for range 100 {
				if slices.Equal(streams.versions(), c.wantBegan) {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("told %+v, want %+v", streams.versions(), c.wantBegan)
		})
	}
}

// TestStreamGoesOnOnceItsIncarnationIsRecorded guards against a stream that ends although its worker, started again under its id, has told its
// version in its record since.
func TestStreamGoesOnOnceItsIncarnationIsRecorded(t *testing.T) {
	f := newIdentifyingFixture(t, true, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}}, []identity{{id: "reused@2"}}, "a", "b", "b")
	f.handler.dispatcher.ChangeWorkers(backend.Changes{Removed: []string{"engine-0-1", "engine-0-2"}})
	f.workers.onRun = func(*Request) {
		f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{
			{ID: "reused@2", Record: "reused", Group: "g", Address: "engine-0-0", Role: backend.RoleDecode, Slots: 4, SoftwareVersion: "b"},
			{ID: "other@1", Record: "other", Group: "g", Address: "engine-0-2", Role: backend.RoleDecode, Slots: 4, SoftwareVersion: "b"},
			{ID: "third@1", Record: "third", Group: "g", Address: "engine-0-3", Role: backend.RoleDecode, Slots: 4, SoftwareVersion: "a"},
		}})
	}
	_, body, err := f.get(t)
	f.server.Close()
	if err != nil || body != events(0, 8) {
		t.Errorf("got %q, %v, ran at %v", body, err, f.workers.ranAt)
	}
	if ranAt := f.workers.ranAt; len(ranAt) != 2 || (ranAt[1] != "reused@2" && ranAt[1] != "other@1") {
		t.Errorf("ran at %v", ranAt)
	}
}

// TestRestartBesideTheQuestionEndsTheAttempt guards against a stream that goes on at a worker which was started again after it was asked and before
// it got the request, and against a copy there.
func TestRestartBesideTheQuestionEndsTheAttempt(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			f := newIdentifyingFixture(t, resumable, &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endBreak}}}, []identity{{}, {id: "reused@2"}}, "a", "a")
			f.handler.SetConfirmation(func(context.Context, *backend.Worker) error { return nil })
			_, body, err := f.get(t)
			f.server.Close()
			if err == nil || body != events(0, 3) || len(f.workers.ranAt) != 2 {
				t.Errorf("got %q, %v, ran at %v", body, err, f.workers.ranAt)
			}
		})
	}
}

// TestIdentityIsAskedWhereItMatters guards against questions about streams that no other worker may go on with, and where the id of a request
// tells the incarnation.
func TestIdentityIsAskedWhereItMatters(t *testing.T) {
	for _, c := range []struct {
		desc      string
		record    string
		resumable bool
		want      bool
	}{
		{"a resumable stream", "reused", true, true},
		{"ids are not used again", "", true, false},
		{"a stream without a copy", "reused", false, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			f := newIdentifyingFixture(t, c.resumable, &scriptedFleet{total: 8}, nil, "a")
			worker, _ := f.handler.dispatcher.balancer.Worker("engine-0-0")
			changed := *worker
			changed.Record = c.record
			f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{&changed}})
			if _, body, err := f.get(t); err != nil || body != events(0, 8) {
				t.Errorf("got %q, %v", body, err)
			}
			f.server.Close()
			if got := f.workers.runOptions[0].Identify; got != c.want {
				t.Errorf("asked %t, want %t", got, c.want)
			}
		})
	}
}
