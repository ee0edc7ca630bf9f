package completions

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/tenant"
)

// describeRequest returns the parsed request, or the error, in the format of the script.
func describeRequest(head, body string) string {
	r := httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body))
	for line := range strings.Lines(head) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Set(name, value)
	}
	labelSet, matched := Protocol{}.Labels(r, nil)
	if !matched {
		return "error not a request of this protocol"
	}
	request, err := Protocol{}.Read(r)
	if err == nil {
		request.Body = []byte(body)
		err = Protocol{}.Complete(request)
	}
	if err != nil {
		return "error " + strings.ReplaceAll(err.Error(), "\n", "\nerror ")
	}
	var segments []string
	for _, segment := range request.Demand.Segments {
		segments = append(segments, fmt.Sprint(segment.Tokens))
	}
	return fmt.Sprintf("labels %s\nid %s tenant %s timeout %s at-most-once %t unstreamed %t\ntokens %d,%d segments %s",
		labels.Set(labelSet), request.ID, request.Tenant, request.CallerTimeout, request.RunOnce, request.Unstreamed,
		request.Demand.PromptTokens, request.Demand.OutputTokens, strings.Join(segments, ","))
}

// TestParseRequests guards against requests that are parsed wrongly, or rejected without naming the invalid field. Each
// line of a case must be contained in the description of the request.
func TestParseRequests(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/read.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for pair := range slices.Chunk(archive.Files, 2) {
		name := strings.TrimSuffix(pair[0].Name, "/request")
		t.Run(name, func(t *testing.T) {
			// A case without headers begins with the empty line that separates them from the body.
			head, body, _ := strings.Cut("\n"+string(pair[0].Data), "\n\n")
			got := describeRequest(strings.TrimPrefix(head, "\n"), body)
			for line := range strings.Lines(string(pair[1].Data)) {
				if !strings.Contains(got, strings.TrimSpace(line)) {
					t.Errorf("got\n%s\nwant it to contain %q", got, strings.TrimSpace(line))
				}
			}
		})
	}
}

// TestLabelsRejectsOtherRequests guards against taking requests with other paths or methods for completions requests.
func TestLabelsRejectsOtherRequests(t *testing.T) {
	for _, r := range []*http.Request{
		httptest.NewRequest(http.MethodGet, Path, nil), httptest.NewRequest(http.MethodPost, "/v1/other", nil),
	} {
		if _, matched := (Protocol{}).Labels(r, nil); matched {
			t.Errorf("%s %s is accepted", r.Method, r.URL)
		}
	}
}

// TestSharedPrefixDeterminesAffinityKey guards against sending prompts with the same prefix to different workers.
func TestSharedPrefixDeterminesAffinityKey(t *testing.T) {
	affinityKey := func(prompt string) string {
		body := RequestBody{Model: "m", Prompt: prompt, SharedPrefixTokens: 2}
		return body.demand().AffinityKey()
	}
	if affinityKey("a b c") != affinityKey("a b d") || affinityKey("a b c") == affinityKey("a c c") {
		t.Error("affinity key does not depend on exactly the shared prefix")
	}
}

// TestTenantOfKeyOverridesHeader guards against selecting rules by a tenant that the caller merely claims to be.
func TestTenantOfKeyOverridesHeader(t *testing.T) {
	table, err := tenant.NewTable([]tenant.KeyGrant{{Name: "tenant-a", Keys: []string{"key-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodPost, Path, nil)
	r.Header.Set(HeaderTenant, "tenant-b")
	r.Header.Set("Authorization", "Bearer key-1")
	owner, _ := table.Find(Protocol{}.Key(r))
	for want, owner := range map[string]*tenant.Tenant{"tenant-a": owner, "tenant-b": nil} {
		if labels, _ := (Protocol{}).Labels(r, owner); labels[configuration.LabelTenant] != want {
			t.Errorf("got %v, want tenant %s", labels, want)
		}
	}
}

// TestResumptionNamesItsFirstRequest guards against a stream whose version can't be found because the name of the request that began it is lost.
func TestResumptionNamesItsFirstRequest(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, Path, nil)
	r.Header.Set(HeaderLastEvent, "7")
	r.Header.Set(HeaderResumes, "first")
	request, err := Protocol{}.Read(r)
	if err != nil || request.ResumeAfter != "7" || request.Resumes != "first" {
		t.Errorf("got %+v, %v", request, err)
	}
}
