package settings

import "testing"

// FuzzSettings guards against settings files that end the process when they are loaded again, and against accepted values out of range.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(minimalSettings + "timings: {grace: 99999999h, drain: -1s}\ncores: .nan\nlogLevel: loud\n"))
	f.Add([]byte(minimalSettings + "retries: {ratio: .inf, window: 1ns}\ndescriptors: 9223372036854775807\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := Parse(content)
		if err == nil && (settings.Grace <= 0 || settings.LeaseTTL <= 0 || !(settings.Cores > 0) || settings.RetryWindow <= 0) {
			t.Errorf("got %+v", settings)
		}
	})
}
