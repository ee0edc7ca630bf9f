package configuration

import (
	"testing"
	"time"
)

// FuzzEditRequest guards against edits of operators that end the process, and against accepted edits that can't be compiled.
func FuzzEditRequest(f *testing.F) {
	f.Add([]byte(`{"changeID":"c","edits":[{"kind":"setLabel","worker":"127.0.0.1:1","label":"pool","value":"x"}]}`))
	f.Add([]byte(`{"changeID":"c","edits":[{"kind":"put","group":{"name":"g","of":"app","selector":"pool=x"}},{"kind":"put","rule":{"name":"r","timeout":"1s"}}]}`))
	f.Add([]byte(`{"changeID":"c","baseRevision":18446744073709551615,"edits":[{"kind":"delete","object":"group","name":"g"},{"kind":"apply","spec":{}}]}`))
	f.Add([]byte("edits: [null, {kind: put}]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := ParseEditRequest(body)
		if err != nil {
			return
		}
		next, conflicts, err := Preview(Document{}, request, time.Unix(1000, 0))
		if err != nil || len(conflicts) > 0 {
			return
		}
		if _, err := Compile(next); err != nil {
			t.Errorf("an accepted edit can't be compiled: %v", err)
		}
	})
}

// FuzzDocument guards against documents that end the process, and against valid ones that can't be compiled.
func FuzzDocument(f *testing.F) {
	f.Add([]byte("spec: {groups: [{name: g, of: app, selector: 'pool=x'}], rules: [{name: r, selector: 'a>3', timeout: 1s}], workerLabels: {'10.0.0.1:1': {pool: x}}}\n"))
	f.Add([]byte(`{"spec":{"rules":[null],"groups":[{}]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		document, fieldErrors := ParseAndValidate(body)
		if _, err := Compile(document); err != nil && len(fieldErrors) == 0 {
			t.Errorf("a valid document can't be compiled: %v", err)
		}
	})
}
