package adminpage

import (
	"io/fs"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/decision"
)

func get(t *testing.T, path string) *httptest.ResponseRecorder {
	t.Helper()
	mux := http.NewServeMux()
	Register(mux)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestRegister(t *testing.T) {
	tests := []struct {
		desc, path  string
		status      int
		contentType string
	}{
		{"page", "/", http.StatusOK, "text/html"},
		{"style", "/page/page.css", http.StatusOK, "text/css"},
		{"script", "/page/main.js", http.StatusOK, "text/javascript"},
		{"no such file", "/page/none.js", http.StatusNotFound, ""},
		{"other path", "/none", http.StatusNotFound, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			response := get(t, test.path)
			if response.Code != test.status || !strings.HasPrefix(response.Header().Get("Content-Type"), test.contentType) {
				t.Fatalf("status %d, headers %v", response.Code, response.Header())
			}
			if test.status == http.StatusOK && !strings.Contains(response.Header().Get("Content-Security-Policy"), "default-src 'none'") {
				t.Error("the security policy allows other hosts")
			}
		})
	}
}

// TestAssetsAreSelfContained checks that assets refer only to embedded files, and that nothing interprets text as
// markup.
func TestAssetsAreSelfContained(t *testing.T) {
	reference := regexp.MustCompile(`(?:src="|href="|from "\./)([^"#][^"]*)"`)
	unsafe := regexp.MustCompile(`innerHTML|outerHTML|insertAdjacentHTML|document\.write|\beval\(|new Function|setAttribute\("on|\son[a-z]+="|\sstyle="|https?://|@import|url\(`)
	entries, err := fs.ReadDir(assets, "assets")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		data, _ := fs.ReadFile(assets, "assets/"+entry.Name())
		if found := unsafe.Find(data); found != nil {
			t.Errorf("%s contains %q", entry.Name(), found)
		}
		for _, match := range reference.FindAllSubmatch(data, -1) {
			name := strings.TrimPrefix(string(match[1]), "page/")
			if _, err := fs.Stat(assets, "assets/"+name); err != nil && name != "data:," {
				t.Errorf("%s refers to %s: %v", entry.Name(), name, err)
			}
		}
	}
}

func TestAllDecisionKindsHaveLabels(t *testing.T) {
	labels := get(t, "/page/words.js").Body.String()
	for _, kind := range decision.Kinds {
		if !strings.Contains(labels, "  "+string(kind)+": { label:") {
			t.Errorf("kind %s has no label", kind)
		}
	}
}
