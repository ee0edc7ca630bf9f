package changefeed

import (
	"encoding/json"
	"net/url"
	"testing"
)

// FuzzRequest guards against requests of other gateways that end the process, or that are accepted with values out of range.
func FuzzRequest(f *testing.F) {
	f.Add("after=7&era=3&hold=100&shards=4&seat=99&upto=x&all=1&compressed=1")
	f.Add("after=-1&hold=9223372036854775807&shards=0")
	f.Add("after=9223372036854775807&era=8191&hold=0&shards=2147483648")
	f.Fuzz(func(t *testing.T, query string) {
		values, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		request, err := parseRequest(values)
		if err == nil && (request.Shards < 0 || request.After < 0) {
			t.Errorf("%q: got %+v", query, request)
		}
	})
}

// FuzzChanges guards against responses of other gateways that end the process.
func FuzzChanges(f *testing.F) {
	f.Add([]byte(`{"full":true,"at":7,"changed":[{"key":"a","value":"eA==","revision":3},{"key":"b","compressed":"AAAA"}],"items":[{"key":"c","compressed":"S0wEAA=="}]}`))
	f.Add([]byte(`{"changed":[null],"items":[null]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var changes wireChanges
		if json.Unmarshal(body, &changes) == nil {
			_, _ = changes.unpack()
		}
		var snapshot wireSnapshot
		if json.Unmarshal(body, &snapshot) == nil {
			if unpacked, err := snapshot.unpack(); err == nil {
				unpacked.ResolveEra(0)
			}
		}
	})
}
