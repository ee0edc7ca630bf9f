package adminapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// fakeBackend returns fixed values.
type fakeBackend struct {
	Backend
	document configuration.Document
	proposed configuration.ProposalResult
	retained []decision.Record
	stream   chan decision.Record
}

// startedAt is the start time of the fake gateway.
var startedAt = time.Unix(1_700_000_000, 0).UTC()

func (b *fakeBackend) Status() GatewayStatus {
	return GatewayStatus{Gateway: "gateway-a-1", StartedAt: startedAt}
}
func (b *fakeBackend) Document() configuration.Document { return b.document }
func (b *fakeBackend) KnownWorkers() []configuration.WorkerInfo {
	return []configuration.WorkerInfo{{Address: "w1", Service: "roastmind", Labels: map[string]string{"pool": "counter"}}}
}
func (b *fakeBackend) KnownRequests() []map[string]string {
	return []map[string]string{{"class": "quick", "repeatable": "true"}}
}
func (b *fakeBackend) Propose(_ context.Context, request configuration.EditRequest) configuration.ProposalResult {
	result := b.proposed
	result.ChangeID = request.ChangeID
	return result
}
func (b *fakeBackend) Decisions(since uint64) []decision.Record {
	return DecisionFilter{Since: since}.Select(b.retained)
}
func (b *fakeBackend) FollowDecisions() (<-chan decision.Record, func()) { return b.stream, func() {} }

// startServer starts the API on loopback and returns its address.
func startServer(t *testing.T, backend Backend) string {
	t.Helper()
	mux := http.NewServeMux()
	Register(humago.New(mux, huma.DefaultConfig("granitebay", "1")), backend)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// exampleDocument returns the Fès example at a revision.
func exampleDocument(t *testing.T, revision uint64) configuration.Document {
	t.Helper()
	document, err := configuration.Example(configuration.ExampleFes)
	if err != nil {
		t.Fatal(err)
	}
	document.Revision = revision
	return document
}

// TestEditOutcomes guards against an outcome or an HTTP status that does not match what happened to the edit.
func TestEditOutcomes(t *testing.T) {
	label := []configuration.Edit{configuration.SetLabel("w1", "pool", "x")}
	unknownGroup := configuration.DefaultRule()
	unknownGroup.Name, unknownGroup.Groups, unknownGroup.Precedence = "urgent", []configuration.GroupShare{{Group: "nowhere", Weight: 1}}, 99
	tests := []struct {
		desc     string
		proposed configuration.ProposalResult
		request  configuration.EditRequest
		dryRun   bool
		want     EditOutcome
	}{
		{desc: "accepted", proposed: configuration.ProposalResult{Accepted: true, Revision: 4}, want: EditAccepted},
		{desc: "nothing to change", proposed: configuration.ProposalResult{Accepted: true, Unchanged: true}, want: EditUnchanged},
		{desc: "conflict", proposed: configuration.ProposalResult{Conflicts: []configuration.Conflict{{ChangeID: "other"}}}, want: EditConflict},
		{desc: "old base", proposed: configuration.ProposalResult{Err: configuration.ErrUnknownBase}, want: EditConflict},
		{desc: "invalid", proposed: configuration.ProposalResult{Err: configuration.FieldErrors{{Field: "spec"}}}, want: EditInvalid},
		{desc: "store down", proposed: configuration.ProposalResult{Err: configuration.ErrStoreUnavailable}, want: EditUnavailable},
		{desc: "outcome unknown", proposed: configuration.ProposalResult{Err: configuration.ErrOutcomeUnknown}, want: EditUnknown},
		{desc: "dry run", dryRun: true, request: configuration.EditRequest{BaseRevision: 3, Edits: label}, want: EditPreview},
		{
			desc: "dry run of an invalid edit", dryRun: true, want: EditInvalid,
			request: configuration.EditRequest{BaseRevision: 3, Edits: []configuration.Edit{configuration.PutRule(unknownGroup)}},
		},
		{desc: "dry run on an unknown base", dryRun: true, request: configuration.EditRequest{BaseRevision: 9, Edits: label}, want: EditConflict},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			backend := &fakeBackend{document: exampleDocument(t, 3), proposed: test.proposed}
			client := NewClient([]string{"127.0.0.1:1", startServer(t, backend)}, http.DefaultClient)
			request := test.request
			request.ChangeID = "mine"
			result, err := client.Edit(t.Context(), request, test.dryRun)
			if err != nil || result.Outcome != test.want || result.ChangeID != "mine" {
				t.Fatalf("result %+v, %v; want %s", result, err, test.want)
			}
			if test.want == EditPreview && len(result.Consequences.WorkerMoves) != 1 {
				t.Errorf("consequences %+v, want w1 to leave its group", result.Consequences)
			}
		})
	}
}

// startBrokenServer starts a server that closes each connection without a response.
func startBrokenServer(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestEditTriesGatewaysUntilOutcomeIsFinal guards against an edit that is reported as failed although a gateway may have accepted
// it.
func TestEditTriesGatewaysUntilOutcomeIsFinal(t *testing.T) {
	unavailable := configuration.ProposalResult{Err: configuration.ErrStoreUnavailable}
	unknown := configuration.ProposalResult{Err: configuration.ErrOutcomeUnknown}
	accepted := configuration.ProposalResult{Accepted: true, Revision: 4}
	answering := func(result configuration.ProposalResult) func(*testing.T) string {
		return func(t *testing.T) string { return startServer(t, &fakeBackend{proposed: result}) }
	}
	unreachable := func(*testing.T) string { return "127.0.0.1:1" }
	tests := []struct {
		desc     string
		gateways []func(*testing.T) string
		// want is empty if an error is expected.
		want EditOutcome
	}{
		{"unavailable, then accepted", []func(*testing.T) string{answering(unavailable), answering(accepted)}, EditAccepted},
		{"unknown, then accepted", []func(*testing.T) string{answering(unknown), answering(accepted)}, EditAccepted},
		{"unknown, then unavailable", []func(*testing.T) string{answering(unknown), answering(unavailable)}, EditUnknown},
		{"broken connection, then unavailable", []func(*testing.T) string{startBrokenServer, answering(unavailable)}, EditUnknown},
		{"broken connection, then unreachable", []func(*testing.T) string{startBrokenServer, unreachable}, EditUnknown},
		{"unreachable, then unavailable", []func(*testing.T) string{unreachable, answering(unavailable)}, EditUnavailable},
		{"unreachable", []func(*testing.T) string{unreachable}, ""},
		{"no gateways", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var addresses []string
			for _, start := range test.gateways {
				addresses = append(addresses, start(t))
			}
			result, err := NewClient(addresses, http.DefaultClient).Edit(t.Context(), configuration.EditRequest{ChangeID: "mine"}, false)
			if result.Outcome != test.want || (err != nil) != (test.want == "") {
				t.Errorf("result %+v, %v; want %q", result, err, test.want)
			}
		})
	}
}

// TestEditWithUnknownFields guards against misspelled fields that are ignored.
func TestEditWithUnknownFields(t *testing.T) {
	address := startServer(t, &fakeBackend{document: exampleDocument(t, 3)})
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

// TestClientSkipsUnreachableGateways guards against a client that stops at an unreachable gateway, and an error that does not
// name the gateway.
func TestClientSkipsUnreachableGateways(t *testing.T) {
	client := NewClient([]string{"127.0.0.1:1", startServer(t, &fakeBackend{document: exampleDocument(t, 3)})}, http.DefaultClient)
	document, err := client.Configuration(t.Context())
	if err != nil || document.Revision != 3 || len(document.Rules) != 4 {
		t.Errorf("configuration %d with %d rules, %v", document.Revision, len(document.Rules), err)
	}
	broken := NewClient([]string{startBrokenServer(t)}, http.DefaultClient)
	if _, err = broken.Configuration(t.Context()); err == nil || !strings.Contains(err.Error(), "ask gateway") {
		t.Errorf("error %v, want one that names the gateway", err)
	}
}

// TestDecisionsAreFilteredAndFollowed guards against decisions that a filter or the start of a stream loses or repeats.
func TestDecisionsAreFilteredAndFollowed(t *testing.T) {
	records := []decision.Record{
		{Sequence: 1, Kind: decision.KindRequest, Subject: "req-1", Outcome: "w1"},
		{Sequence: 2, Kind: decision.KindRequest, Subject: "req-2", Outcome: "w2"},
		{Sequence: 3, Kind: decision.KindRole, Subject: "w1", Inputs: map[string]string{InputGroup: "counter"}},
		{Sequence: 4, Kind: decision.KindRefusal, Subject: "req-1"},
	}
	tests := []struct {
		desc   string
		filter DecisionFilter
		want   []uint64
	}{
		{"all", DecisionFilter{}, []uint64{1, 2, 3, 4}},
		{"since", DecisionFilter{Since: 2}, []uint64{3, 4}},
		{"kind", DecisionFilter{Kind: "request"}, []uint64{1, 2}},
		{"worker as outcome and as subject", DecisionFilter{Worker: "w1"}, []uint64{1, 3}},
		{"group as input", DecisionFilter{Group: "counter"}, []uint64{3}},
		{"request", DecisionFilter{Request: "req-1"}, []uint64{1, 4}},
		{"subject and kind", DecisionFilter{Subject: "req-1", Kind: "refusal"}, []uint64{4}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			// Two records are retained and all four arrive on the channel, so that the first two arrive twice.
			backend := &fakeBackend{retained: records[:2], stream: make(chan decision.Record, len(records))}
			for _, record := range records {
				backend.stream <- record
			}
			close(backend.stream)
			client := NewClient([]string{"127.0.0.1:1", startServer(t, backend)}, http.DefaultClient)
			var got []uint64
			_ = client.FollowDecisions(t.Context(), test.filter, func(record decision.Record) error {
				got = append(got, record.Sequence)
				return nil
			})
			checkSequences(t, "followed", got, test.want)

			backend.retained = records
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

// TestClientAcceptsAddressesAndURLs guards against a scheme or a slash in an address that breaks the client.
func TestClientAcceptsAddressesAndURLs(t *testing.T) {
	address := startServer(t, &fakeBackend{})
	for _, given := range []string{address, "http://" + address, "http://" + address + "/"} {
		client := NewClient([]string{given}, http.DefaultClient)
		if _, err := client.Status(t.Context()); err != nil {
			t.Errorf("status from %q: %v", given, err)
		}
		if got := client.Addresses(); len(got) != 1 || got[0] != address {
			t.Errorf("addresses of %q are %q, want %q", given, got, address)
		}
	}
}

// TestInitialStreamRecords guards against frequent kinds of decisions that displace rare ones at the start of a stream.
func TestInitialStreamRecords(t *testing.T) {
	records := []decision.Record{
		{Sequence: 1, Kind: decision.KindRole}, {Sequence: 2, Kind: decision.KindRequest}, {Sequence: 3, Kind: decision.KindRequest},
		{Sequence: 4, Kind: decision.KindRequest},
	}
	tests := []struct {
		desc   string
		filter StreamFilter
		want   []uint64
	}{
		{"no limit", StreamFilter{}, []uint64{1, 2, 3, 4}},
		{"frequent kinds do not displace rare ones", StreamFilter{Latest: 2}, []uint64{1, 3, 4}},
		{"with a filter", StreamFilter{Latest: 1, DecisionFilter: DecisionFilter{Kind: "request"}}, []uint64{4}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var got []uint64
			for _, record := range test.filter.Initial(records) {
				got = append(got, record.Sequence)
			}
			checkSequences(t, "kept", got, test.want)
		})
	}
}

// TestRetainedSince guards against an explanation that claims to be complete although decisions were dropped.
func TestRetainedSince(t *testing.T) {
	later := startedAt.Add(time.Hour)
	tests := []struct {
		desc     string
		retained []decision.Record
		want     time.Time
	}{
		{"no decision yet", nil, startedAt},
		{"all retained since the start", []decision.Record{{Sequence: 1, Time: later}}, startedAt},
		{"older ones dropped", []decision.Record{{Sequence: 9, Time: later}}, later},
	}
	for _, test := range tests {
		client := NewClient([]string{startServer(t, &fakeBackend{retained: test.retained})}, http.DefaultClient)
		explanation, err := client.Explain(t.Context(), "req-1")
		if err != nil || !explanation.RetainedSince.Equal(test.want) {
			t.Errorf("%s: got %s, %v, want %s", test.desc, explanation.RetainedSince, err, test.want)
		}
	}
}
