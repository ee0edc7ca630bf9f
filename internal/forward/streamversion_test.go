package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
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
