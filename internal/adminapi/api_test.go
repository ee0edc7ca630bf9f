package adminapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// fakeBackend gives fixed answers.
type fakeBackend struct {
	Backend
	document configuration.Document
	proposed configuration.ProposeResult
	waitErr  error
	kept     []decision.Record
	news     chan decision.Record
	// others are decisions of another router.
	others []decision.Record
}

func (b *fakeBackend) FleetStatus(context.Context) (FleetStatus, error) {
	return FleetStatus{Router: "router-a-1"}, nil
}
func (b *fakeBackend) RouterView(context.Context) (RouterView, error) {
	return RouterView{Router: "router-a-1"}, nil
}
func (b *fakeBackend) Engines(context.Context) ([]EngineStatus, error) {
	return nil, errors.New("the router is starting")
}
func (b *fakeBackend) Configuration(context.Context) (configuration.Document, error) {
	return b.document, nil
}
func (b *fakeBackend) KnownEngines(context.Context) ([]configuration.EngineInfo, error) {
	return []configuration.EngineInfo{{Name: "engine-a-1", Labels: map[string]string{"zone": "zone-a"}}}, nil
}
func (b *fakeBackend) KnownRequests(context.Context) ([]map[string]string, error) {
	return []map[string]string{{"class": "quick", "repeatable": "true"}}, nil
}
func (b *fakeBackend) Propose(_ context.Context, request configuration.EditRequest) (configuration.ProposeResult, error) {
	result := b.proposed
	result.ChangeID = request.ChangeID
	return result, b.waitErr
}
func (b *fakeBackend) Decisions(since uint64) []decision.Record {
	return DecisionFilter{Since: since}.Select(b.kept)
}
func (b *fakeBackend) FollowDecisions() (<-chan decision.Record, func()) { return b.news, func() {} }

// FollowOthers hands out the decisions of the other router, and then counts a third one as not followed.
func (b *fakeBackend) FollowOthers(ctx context.Context, _ StreamFilter, take func(decision.Record)) func() []string {
	go func() {
		for _, record := range b.others {
			take(record)
		}
	}()
	return func() []string { return []string{"router-c-1"} }
}

// serve starts the API on loopback and returns its address.
func serve(t *testing.T, backend Backend) string {
	t.Helper()
	mux := http.NewServeMux()
	Register(humago.New(mux, huma.DefaultConfig("granitebay", "1")), backend)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// fesDocument returns the example of Fès at a revision.
func fesDocument(t *testing.T, revision uint64) configuration.Document {
	t.Helper()
	document, err := configuration.Example(configuration.ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	document.Revision = revision
	return document
}

func TestEditOutcomes(t *testing.T) {
	label := []configuration.Edit{configuration.SetLabel("engine-a-1", "pool", "x")}
	unknownGroup := configuration.DefaultRule()
	unknownGroup.Name, unknownGroup.Groups, unknownGroup.Precedence = "urgent", []string{"nowhere"}, 99
	tests := []struct {
		desc     string
		proposed configuration.ProposeResult
		waitErr  error
		request  configuration.EditRequest
		dryRun   bool
		want     EditOutcome
	}{
		{desc: "accepted", proposed: configuration.ProposeResult{Accepted: true, Revision: 4}, want: EditAccepted},
		{desc: "nothing to change", proposed: configuration.ProposeResult{Accepted: true, Unchanged: true}, want: EditUnchanged},
		{desc: "conflict", proposed: configuration.ProposeResult{Conflicts: []configuration.Conflict{{ChangeID: "other"}}}, want: EditConflict},
		{desc: "old base", proposed: configuration.ProposeResult{Err: configuration.ErrUnknownBase}, want: EditConflict},
		{desc: "invalid", proposed: configuration.ProposeResult{Err: configuration.FieldErrors{{Field: "spec"}}}, want: EditInvalid},
		{desc: "store down", proposed: configuration.ProposeResult{Err: configuration.ErrStoreUnavailable}, want: EditUnavailable},
		{desc: "answer lost", proposed: configuration.ProposeResult{Err: configuration.ErrOutcomeUnknown}, want: EditUnknown},
		{desc: "wait ended", waitErr: context.DeadlineExceeded, want: EditUnknown},
		{desc: "dry run", dryRun: true, request: configuration.EditRequest{BaseRevision: 3, Edits: label}, want: EditPreview},
		{
			desc: "dry run of an invalid edit", dryRun: true, want: EditInvalid,
			request: configuration.EditRequest{BaseRevision: 3, Edits: []configuration.Edit{configuration.PutRule(unknownGroup)}},
		},
		{desc: "dry run on an unknown base", dryRun: true, request: configuration.EditRequest{BaseRevision: 9, Edits: label}, want: EditConflict},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			backend := &fakeBackend{document: fesDocument(t, 3), proposed: test.proposed, waitErr: test.waitErr}
			client := NewClient([]string{"127.0.0.1:1", serve(t, backend)}, http.DefaultClient)
			request := test.request
			request.ChangeID = "mine"
			result, err := client.Edit(t.Context(), request, test.dryRun)
			if err != nil || result.Outcome != test.want || result.ChangeID != "mine" {
				t.Fatalf("result %+v, %v; want %s", result, err, test.want)
			}
			if test.want == EditPreview && len(result.Consequences.EngineMoves) != 1 {
				t.Errorf("consequences %+v, want engine-a-1 to leave its group", result.Consequences)
			}
		})
	}
}

// serveBroken starts a server that closes each connection without a response.
func serveBroken(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestEditOverSeveralRouters(t *testing.T) {
	unavailable := configuration.ProposeResult{Err: configuration.ErrStoreUnavailable}
	unknown := configuration.ProposeResult{Err: configuration.ErrOutcomeUnknown}
	accepted := configuration.ProposeResult{Accepted: true, Revision: 4}
	answering := func(result configuration.ProposeResult) func(*testing.T) string {
		return func(t *testing.T) string { return serve(t, &fakeBackend{proposed: result}) }
	}
	unreachable := func(*testing.T) string { return "127.0.0.1:1" }
	tests := []struct {
		desc    string
		routers []func(*testing.T) string
		// want is empty when an error is wanted.
		want EditOutcome
	}{
		{"unavailable, then accepted", []func(*testing.T) string{answering(unavailable), answering(accepted)}, EditAccepted},
		{"unknown, then accepted", []func(*testing.T) string{answering(unknown), answering(accepted)}, EditAccepted},
		{"unknown, then unavailable", []func(*testing.T) string{answering(unknown), answering(unavailable)}, EditUnknown},
		{"broken connection, then unavailable", []func(*testing.T) string{serveBroken, answering(unavailable)}, EditUnknown},
		{"broken connection, then unreachable", []func(*testing.T) string{serveBroken, unreachable}, EditUnknown},
		{"unreachable, then unavailable", []func(*testing.T) string{unreachable, answering(unavailable)}, EditUnavailable},
		{"unreachable", []func(*testing.T) string{unreachable}, ""},
		{"no routers", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var addresses []string
			for _, start := range test.routers {
				addresses = append(addresses, start(t))
			}
			result, err := NewClient(addresses, http.DefaultClient).Edit(t.Context(), configuration.EditRequest{ChangeID: "mine"}, false)
			if result.Outcome != test.want || (err != nil) != (test.want == "") {
				t.Errorf("result %+v, %v; want %q", result, err, test.want)
			}
		})
	}
}

func TestEditOfUnknownForm(t *testing.T) {
	address := serve(t, &fakeBackend{document: fesDocument(t, 3)})
	body := `{"changeID": "mine", "edits": [{"kind": "put", "rule": {"name": "x", "urgent": true, "priority": "high"}}]}`
	response, err := http.Post("http://"+address+PathConfigEdits, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestClientReadsAndReportsErrors(t *testing.T) {
	client := NewClient([]string{"127.0.0.1:1", serve(t, &fakeBackend{document: fesDocument(t, 3)})}, http.DefaultClient)
	document, err := client.Configuration(t.Context())
	if err != nil || document.Revision != 3 || len(document.Rules) != 4 {
		t.Errorf("configuration %d with %d rules, %v", document.Revision, len(document.Rules), err)
	}
	_, err = client.Engines(t.Context())
	if err == nil || !strings.Contains(err.Error(), "the router is starting") {
		t.Errorf("error %v, want the reason of the router", err)
	}
}

func TestDecisionsAreFilteredAndFollowed(t *testing.T) {
	records := []decision.Record{
		{Sequence: 1, Kind: decision.KindDispatch, Subject: "req-1", Outcome: "engine-a-1"},
		{Sequence: 2, Kind: decision.KindDispatch, Subject: "req-2", Outcome: "engine-a-2"},
		{Sequence: 3, Kind: decision.KindOrder, Subject: "engine-a-1", Inputs: map[string]string{InputGroup: "counter"}},
		{Sequence: 4, Kind: decision.KindOutcome, Subject: "req-1"},
	}
	tests := []struct {
		desc   string
		filter DecisionFilter
		want   []uint64
	}{
		{"all", DecisionFilter{}, []uint64{1, 2, 3, 4}},
		{"since", DecisionFilter{Since: 2}, []uint64{3, 4}},
		{"kind", DecisionFilter{Kind: "dispatch"}, []uint64{1, 2}},
		{"engine as outcome and as subject", DecisionFilter{Engine: "engine-a-1"}, []uint64{1, 3}},
		{"group as input", DecisionFilter{Group: "counter"}, []uint64{3}},
		{"request", DecisionFilter{Request: "req-1"}, []uint64{1, 4}},
		{"subject and kind", DecisionFilter{Subject: "req-1", Kind: "outcome"}, []uint64{4}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			// Two records are kept, and all four come on the channel: the first two twice.
			backend := &fakeBackend{kept: records[:2], news: make(chan decision.Record, len(records))}
			for _, record := range records {
				backend.news <- record
			}
			close(backend.news)
			client := NewClient([]string{"127.0.0.1:1", serve(t, backend)}, http.DefaultClient)
			var got []uint64
			_ = client.FollowDecisions(t.Context(), test.filter, func(record decision.Record) error {
				got = append(got, record.Sequence)
				return nil
			})
			checkSequences(t, "followed", got, test.want)

			backend.kept = records
			list, err := client.Decisions(t.Context(), test.filter)
			if err != nil {
				t.Fatal(err)
			}
			got = nil
			for _, record := range list.Decisions {
				got = append(got, record.Sequence)
			}
			checkSequences(t, "listed", got, test.want)
		})
	}
}

func checkSequences(t *testing.T, what string, got, want []uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s %v, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s %v, want %v", what, got, want)
		}
	}
}

func TestClientTakesAddressesAndURLs(t *testing.T) {
	address := serve(t, &fakeBackend{})
	for _, given := range []string{address, "http://" + address, "http://" + address + "/"} {
		client := NewClient([]string{given}, http.DefaultClient)
		if _, err := client.FleetStatus(t.Context()); err != nil {
			t.Errorf("status from %q: %v", given, err)
		}
		if got := client.Addresses(); len(got) != 1 || got[0] != address {
			t.Errorf("addresses of %q are %q, want %q", given, got, address)
		}
	}
}

func TestStreamOfTheFleet(t *testing.T) {
	own := decision.Record{Sequence: 1, Process: "router-a-1", Kind: decision.KindPlan}
	other := decision.Record{Sequence: 1, Process: "router-b-1", Kind: decision.KindPlan}
	backend := &fakeBackend{kept: []decision.Record{own}, news: make(chan decision.Record), others: []decision.Record{other}}
	client := NewClient([]string{serve(t, backend)}, http.DefaultClient)
	enough := errors.New("both came")
	var got []string
	err := client.Follow(t.Context(), StreamFilter{Fleet: true}, StreamHandler{Decision: func(record decision.Record) error {
		got = append(got, record.Process)
		if len(got) == 2 {
			return enough
		}
		return nil
	}})
	if !errors.Is(err, enough) || got[0] != "router-a-1" || got[1] != "router-b-1" {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestStartOfAStream(t *testing.T) {
	records := []decision.Record{
		{Sequence: 1, Kind: decision.KindPlan}, {Sequence: 2, Kind: decision.KindRoute}, {Sequence: 3, Kind: decision.KindRoute},
		{Sequence: 4, Kind: decision.KindRoute},
	}
	tests := []struct {
		desc   string
		filter StreamFilter
		want   []uint64
	}{
		{"no bound", StreamFilter{}, []uint64{1, 2, 3, 4}},
		{"routine decisions leave room for rare ones", StreamFilter{Latest: 2}, []uint64{1, 3, 4}},
		{"with a filter", StreamFilter{Latest: 1, DecisionFilter: DecisionFilter{Kind: "route"}}, []uint64{4}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var got []uint64
			for _, record := range test.filter.Kept(records) {
				got = append(got, record.Sequence)
			}
			checkSequences(t, "kept", got, test.want)
		})
	}
}

func TestKeptSince(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	process := DecidingProcess{Name: "agent-a-1", StartedAt: start}
	tests := []struct {
		desc string
		kept []decision.Record
		want time.Time
	}{
		{"no decision yet", nil, start},
		{"all since the start", []decision.Record{{Sequence: 1, Time: start.Add(time.Hour)}}, start},
		{"older ones dropped", []decision.Record{{Sequence: 9, Time: start.Add(time.Hour)}}, start.Add(time.Hour)},
	}
	for _, test := range tests {
		if got := process.keptSince(test.kept); !got.Equal(test.want) {
			t.Errorf("%s: got %s, want %s", test.desc, got, test.want)
		}
	}
}
